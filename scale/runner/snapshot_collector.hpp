// Takes snapshots of the statistics of all processes of a run.
#pragma once
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "event_loop/event_loop.hpp"
#include "scale/config/experiment.hpp"
#include "scale/runner/cluster_processes.hpp"
#include "scale/runner/control_client.hpp"

namespace coralhitch::scale {

// Requests the statistics of all processes and combines the answers.
class SnapshotCollector {
  public:
    using OnSnapshot = std::function<void(const nlohmann::json&)>;

    // All must outlive this.
    SnapshotCollector(event_loop::EventLoop& loop, const Experiment& experiment,
                      const ClusterProcesses& processes, ControlClient& control);

    // Takes a snapshot and passes it to `on_snapshot` once all processes have answered. The statistics are
    // from slightly different times, since each process is asked separately. Keys: time `t`, resource usage
    // of `processes`, metrics of `controllers`, and statistics of the `users`, `infrastructure` and `workers`
    // processes.
    void collect(const OnSnapshot& on_snapshot);

  private:
    struct Collection;
    void ask_roles(const std::shared_ptr<Collection>& collection);
    void ask_controllers(const std::shared_ptr<Collection>& collection);

    event_loop::EventLoop& loop_;
    const Experiment& experiment_;
    const ClusterProcesses& processes_;
    ControlClient& control_;
};

}  // namespace coralhitch::scale
