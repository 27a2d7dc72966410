// Interface through which the user API asks the controller about the cluster.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::api {

// Numbers of tasks of one job, by state.
struct TaskCounts {
    std::uint64_t done = 0, running = 0;
};

// Queries and notifications that the controller implements. All functions and callbacks run on the event
// loop's thread.
class ClusterQueries {
  public:
    using TaskCountsCallback = std::function<void(std::optional<TaskCounts>)>;

    virtual ~ClusterQueries() = default;
    // Returns the machine types of the platform. The list is empty while they are not known.
    virtual const std::vector<protocol::MachineType>& machine_types() const = 0;
    // Passes the leader's task counts of a live job to `done`, or nullopt if they are not available.
    virtual void task_counts(const std::string& id, TaskCountsCallback done) = 0;
    // Tells the leader to stop the tasks of a cancelled job. `version` is that of the live record that marks
    // the job as cancelled.
    virtual void notify_cancelled(const std::string& id, std::uint64_t version) = 0;
};

}  // namespace coralhitch::api
