// Makes the faults of an experiment at their times.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "event_loop/event_loop.hpp"
#include "scale/config/experiment.hpp"
#include "scale/runner/cluster_processes.hpp"
#include "scale/runner/control_client.hpp"

namespace coralhitch::scale {

class FaultInjector {
  public:
    // The run that the faults are made in.
    class Run {
      public:
        virtual ~Run() = default;
        [[nodiscard]] virtual std::uint32_t leader() const = 0;  // index of the controller
        [[nodiscard]] virtual double elapsed_s() const = 0;
        [[nodiscard]] virtual const std::string& stage() const = 0;
        // What was done, as the result file has it.
        virtual void record_fault(const nlohmann::json& fault) = 0;
    };

    // All must outlive this.
    FaultInjector(event_loop::EventLoop& loop, const Experiment& experiment, ClusterProcesses& processes,
                  ControlClient& control, Run& run);
    // From now on, when the first phase begins.
    void schedule_all();

  private:
    void inject(const Fault& fault);
    void end_one_controller(const Fault& fault, nlohmann::json record);
    void restart_all(const Fault& fault);
    void roll(const Fault& fault);
    void end_controllers_in_zone(const Fault& fault);
    void inject_into_infrastructure(const Fault& fault, const nlohmann::json& record);
    void end_controller(std::uint32_t index, double back_s);

    event_loop::EventLoop& loop_;
    const Experiment& experiment_;
    ClusterProcesses& processes_;
    ControlClient& control_;
    Run& run_;
};

}  // namespace coralhitch::scale
