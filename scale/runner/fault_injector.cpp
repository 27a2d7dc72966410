#include "scale/runner/fault_injector.hpp"

#include "scale/process/control_server.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

// Time between two kills in a rolling restart, as a multiple of `back_s`. After its restart each controller
// has three times `back_s` to start and become stable.
constexpr double roll_interval_restart_delays = 4;

}  // namespace

FaultInjector::FaultInjector(event_loop::EventLoop& loop, const Experiment& experiment,
                             ClusterProcesses& processes, ControlClient& control, Run& run)
    : loop_(loop), experiment_(experiment), processes_(processes), control_(control), run_(run) {}

void FaultInjector::schedule_all() {
    for (auto& fault : experiment_.faults) loop_.after(fault.at_s, [this, fault] { inject(fault); });
}

void FaultInjector::inject(const Fault& fault) {
    json record{{"kind", fault.name},
                {"at_s", fault.at_s},
                {"t", run_.elapsed_s()},
                {"which", fault.which},
                {"stage", run_.stage()}};
    switch (fault.kind) {
        case FaultKind::controller:
            return end_one_controller(fault, std::move(record));
        case FaultKind::restart_all:
            restart_all(fault);
            return run_.record_fault(record);
        case FaultKind::roll:
            roll(fault);
            return run_.record_fault(record);
        case FaultKind::zone:
            end_controllers_in_zone(fault);
            return inject_into_infrastructure(fault, record);
        case FaultKind::rack:
        case FaultKind::machines:
        case FaultKind::state_outage:
            return inject_into_infrastructure(fault, record);
    }
}

void FaultInjector::end_one_controller(const Fault& fault, json record) {
    auto ended = run_.leader();
    for (std::uint32_t index = 0; index < experiment_.controllers; ++index)
        if (fault.which == Experiment::controller_label(index)) ended = index;
    end_controller(ended, fault.back_s);
    record["which"] = Experiment::controller_label(ended);
    run_.record_fault(record);
}

void FaultInjector::restart_all(const Fault& fault) {
    for (std::uint32_t index = 0; index < experiment_.controllers; ++index)
        end_controller(index, fault.back_s);
}

void FaultInjector::roll(const Fault& fault) {
    for (std::uint32_t index = 0; index < experiment_.controllers; ++index)
        loop_.after(index * (fault.back_s * roll_interval_restart_delays),
                    [this, index, back_s = fault.back_s] { end_controller(index, back_s); });
}

void FaultInjector::end_controllers_in_zone(const Fault& fault) {
    for (std::uint32_t index = 0; index < experiment_.controllers; ++index)
        if (experiment_.zone_of_controller(index) == fault.which) end_controller(index, fault.back_s);
}

void FaultInjector::inject_into_infrastructure(const Fault& fault, const json& record) {
    json message{
        {"kind", fault.name}, {"which", fault.which}, {"machines", fault.machines}, {"back_s", fault.back_s}};
    control_.post(experiment_.infrastructure_control_addr(), control_paths::fault, message,
                  [this, record](const json& answer) {
                      auto completed = record;
                      completed.update(answer);
                      run_.record_fault(completed);
                  });
}

void FaultInjector::end_controller(std::uint32_t index, double back_s) {
    if (processes_.end_controller(index))
        loop_.after(back_s, [this, index] { processes_.start_controller(index); });
}

}  // namespace coralhitch::scale
