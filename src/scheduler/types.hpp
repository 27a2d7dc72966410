// The input and the output of the scheduler: plain values without behaviour.
//
// Pools, machines, instances and jobs refer to each other by their index in `Input`. Times are seconds of one
// steady clock unless they are marked as Unix time.
#pragma once
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::scheduler {

using protocol::ImageIds;
using protocol::Pool;

// A machine as one plan sees it. The plan updates the free resources, the task counts and the image fetches
// with each task that it starts.
struct MachineView {
    std::string id;
    std::size_t pool = 0;  // index of its pool
    bool usable = false;   // tasks may start on the machine
    // The autoscaler wants the machine to become empty: tasks start on it only if no other machine has enough
    // free resources.
    bool draining = false;
    protocol::Resources free;                // what remains after the starts of this plan
    int tasks = 0;                           // instances, including the starts of this plan
    int services = 0;                        // instances in `tasks` that belong to services
    std::shared_ptr<const ImageIds> images;  // cached images, sorted; null if there are none
    // Images being fetched, including those for starts of this plan.
    std::vector<std::uint32_t> fetching_images;
    protocol::Resources free_after_stops;  // `free` plus the resources of all instances being stopped
    // Part of `free_after_stops` that is kept for tasks that wait for instances to stop.
    protocol::Resources reserved;
};

// An instance: a task of a job on a machine.
struct InstanceView {
    std::size_t job = 0;
    std::size_t machine = 0;
    std::uint32_t task = 0;
    bool stopping = false;
    double placed_at = 0;
    std::optional<double> running_since;  // empty until a heartbeat has reported the instance as running
};

// Number of a job's instances in each zone, by zone index. Includes instances without evidence that they have
// terminated.
using ZoneCounts = std::vector<int>;

// A live job as one plan sees it.
struct JobView {
    std::shared_ptr<const protocol::Job> spec;
    // The highest priority of the job and of all jobs that depend on it.
    protocol::Priority priority = protocol::Priority::low;
    double ready_at = 0;    // Unix time of its submission, or when the last of its dependencies was done
    bool startable = true;  // not cancelled, not in backoff, and without orphaned instances
    // Unix time by which the job must be done so that it and all its dependents meet their deadlines.
    double due_at = std::numeric_limits<double>::infinity();
    std::vector<std::uint32_t> waiting_tasks;  // tasks that the plan may start
    std::size_t unfinished_tasks = 0;          // tasks that are not done, active or not
    ZoneCounts zones;                          // its active tasks by zone
    int active_tasks = 0;                      // tasks with an instance that may still be on a machine
    std::uint32_t image = 0;                   // index of its image in the cluster state
    std::set<std::string> failed_on;           // ids of the machines on which its tasks must not start again
};

// Everything that one plan is made from. `plan` modifies it.
struct Input {
    double now = 0;         // steady time
    double unix_now = 0;    // Unix time
    std::size_t zones = 0;  // number of zones
    std::vector<Pool> pools;
    std::vector<MachineView> machines;
    std::vector<InstanceView> instances;
    std::vector<JobView> jobs;
    std::map<std::string, protocol::Resources> team_used;  // resources in use, by team name
};

// Decision to start a task on a machine.
struct Start {
    std::size_t job = 0;
    std::uint32_t task = 0;
    std::size_t machine = 0;
};

// Decision to stop an instance.
struct Stop {
    std::size_t instance = 0;
    std::size_t for_job = 0;  // index of the job that preempts the instance
};

// Number of a job's tasks that may start but for which no machine was found.
struct UnplacedTasks {
    std::size_t job = 0;
    std::size_t count = 0;
};

// Counters of one plan, for metrics.
struct PlanCounts {
    std::uint64_t tasks = 0;    // tasks placed
    std::uint64_t draws = 0;    // machines drawn at random
    std::uint64_t redraws = 0;  // rounds of draws after the first, made when too few machines were suitable
    std::uint64_t fallbacks =
        0;  // choices without a suitable draw, which scanned for the first suitable machine
    std::uint64_t packed = 0;     // tasks placed on the fullest suitable machine
    std::uint64_t preempted = 0;  // instances to stop
};

// The decisions of one plan.
struct Decisions {
    std::vector<Start> starts;  // the starts of one gang are consecutive
    std::vector<Stop> stops;
    std::vector<UnplacedTasks> unplaced;
    PlanCounts counts;
};

}  // namespace coralhitch::scheduler
