#include "scale/load/gang_coordinator.hpp"

#include <utility>

#include "protocol/model.hpp"
#include "scale/process/control_server.hpp"

namespace coralhitch::scale {

GangCoordinator::GangCoordinator(event_loop::EventLoop& loop, http::Client& http,
                                 const Experiment& experiment)
    : loop_(loop), http_(http), experiment_(experiment) {}

void GangCoordinator::notify(const nlohmann::json& message) {
    for (std::uint32_t process = 0; process < experiment_.worker_processes; ++process)
        http_.send(experiment_.worker_control_addr(process),
                   {"POST", std::string(control_paths::gang), message.dump()}, control_timeout_s,
                   [](const std::optional<http::Response>&) {});
}

void GangCoordinator::end_early(const AttemptId& id) {
    auto& attempt = attempts_[id];
    if (!attempt.running || std::exchange(attempt.over, true)) return;
    loop_.after(experiment_.worker.gang_peer_s, [this, id] {
        notify({{"job", id.job}, {"attempt", id.attempt}});
    });
}

void GangCoordinator::handle_machine_gone(const std::string& machine) {
    for (auto& member : on_machine_[machine]) {
        attempts_[member.attempt].waiting.erase(member.task);
        end_early(member.attempt);
    }
    on_machine_.erase(machine);
}

void GangCoordinator::handle(const WorkerEvent& event, const TaskSpec* spec,
                             const std::function<void()>& started) {
    if (event.kind == WorkerEventKind::machine_gone) return handle_machine_gone(event.machine);
    if (!spec || spec->kind != protocol::JobKind::gang) return;
    AttemptId id{event.task.job, event.attempt};
    auto& attempt = attempts_[id];
    if (event.kind == WorkerEventKind::image_ready) {
        attempt.waiting.insert(event.task.index);
        on_machine_[event.machine].insert({id, event.task.index});
        if (attempt.running || attempt.waiting.size() < spec->tasks) return;
        attempt.running = true;
        notify({{"job", id.job}, {"attempt", id.attempt}, {"run_s", spec->run_s}});
        started();
    }
    if (event.kind == WorkerEventKind::task_ended) {
        attempt.waiting.erase(event.task.index);
        on_machine_[event.machine].erase({id, event.task.index});
        if (event.cause != protocol::ExitCause::done) end_early(id);
    }
}

}  // namespace coralhitch::scale
