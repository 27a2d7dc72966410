// Injects the faults of an experiment at their times.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "event_loop/event_loop.hpp"
#include "scale/config/experiment.hpp"
#include "scale/runner/cluster_processes.hpp"
#include "scale/runner/control_client.hpp"

namespace coralhitch::scale {

// Kills and restarts controllers itself, and forwards other faults to the infrastructure process.
class FaultInjector {
  public:
    // The run into which the faults are injected.
    class Run {
      public:
        virtual ~Run() = default;
        // Returns the index of the leading controller, as last reported by the key-value store.
        [[nodiscard]] virtual std::uint32_t leader() const = 0;
        // Returns the seconds since the beginning of the run.
        [[nodiscard]] virtual double elapsed_s() const = 0;
        // Returns the name of the current phase or stage.
        [[nodiscard]] virtual const std::string& stage() const = 0;
        // Adds an injected fault to the results, in the form of the result file.
        virtual void record_fault(const nlohmann::json& fault) = 0;
    };

    // All must outlive this.
    FaultInjector(event_loop::EventLoop& loop, const Experiment& experiment, ClusterProcesses& processes,
                  ControlClient& control, Run& run);
    // Schedules all faults relative to the present time, which must be the beginning of the first phase.
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
