// Snapshots of all that the processes of a run count.
#pragma once
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "event_loop/event_loop.hpp"
#include "scale/config/experiment.hpp"
#include "scale/runner/cluster_processes.hpp"
#include "scale/runner/control_client.hpp"

namespace coralhitch::scale {

class SnapshotCollector {
  public:
    using OnSnapshot = std::function<void(const nlohmann::json&)>;

    // All must outlive this.
    SnapshotCollector(event_loop::EventLoop& loop, const Experiment& experiment,
                      const ClusterProcesses& processes, ControlClient& control);

    // All of this moment, as near to each other as requests come: time `t`, usage of `processes`, metrics of
    // `controllers`, and what the `users`, `infrastructure` and `workers` processes say.
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
