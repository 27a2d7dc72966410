// What the users' interface needs of the controller that it is part of.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::api {

// Tasks of one job.
struct TaskCounts {
    std::uint64_t done = 0, running = 0;
};

class ClusterQueries {
  public:
    using TaskCountsCallback = std::function<void(std::optional<TaskCounts>)>;

    virtual ~ClusterQueries() = default;
    // Empty as long as they are not known.
    virtual const std::vector<protocol::MachineType>& machine_types() const = 0;
    // The counts of a live job as the leader knows them; nullopt if they can't be had.
    virtual void task_counts(const std::string& id, TaskCountsCallback done) = 0;
    // A job was cancelled, by a live record of this version: the leader is to stop its tasks.
    virtual void notify_cancelled(const std::string& id, std::uint64_t version) = 0;
};

}  // namespace coralhitch::api
