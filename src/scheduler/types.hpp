// What a plan is made from and what it decides: plain values, without behaviour.
//
// Machines, instances and jobs refer to each other by their index in the input. Times are steady seconds of
// one clock, unless they are said to be unix seconds.
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

struct MachineView {
    std::string id;
    std::size_t pool = 0;                    // index of its pool
    bool usable = false;                     // tasks may start there
    bool draining = false;                   // surplus: used only if there are no free resources elsewhere
    protocol::Resources free;                // the plan's starts taken off
    int tasks = 0;                           // with the plan's starts
    int services = 0;                        // of `tasks`: those that run until they are cancelled
    std::shared_ptr<const ImageIds> images;  // in its cache; null: none
    std::vector<std::uint32_t> fetching_images;  // with those of the plan's starts
    protocol::Resources free_after_stops;        // free once all that is being stopped has ended
    protocol::Resources reserved;  // of `free_after_stops`, for tasks that wait until others have ended
};

// A task on a machine.
struct InstanceView {
    std::size_t job = 0;
    std::size_t machine = 0;
    std::uint32_t task = 0;
    bool stopping = false;
    double placed_at = 0;
    std::optional<double> running_since;  // nothing: not reported as running so far
};

// How many tasks of a job may be in each zone, by the zone's index.
using ZoneCounts = std::vector<int>;

struct JobView {
    std::shared_ptr<const protocol::Job> spec;
    // Its own, or that of a job that depends on it.
    protocol::Priority priority = protocol::Priority::low;
    double ready_at = 0;    // unix seconds: submitted, or since when its dependencies are done
    bool startable = true;  // not cancelled, in no backoff, without orphaned instances
    // Unix seconds at which it should be done, so that it and all that depend on it are in time.
    double due_at = std::numeric_limits<double>::infinity();
    std::vector<std::uint32_t> waiting_tasks;  // that the plan may start
    std::size_t unfinished_tasks = 0;          // not done
    ZoneCounts zones;                          // where tasks may still be
    int active_tasks = 0;                      // that may still be on a machine
    std::uint32_t image = 0;
    std::set<std::string> failed_on;  // machines to which its tasks don't go again
};

struct Input {
    double now = 0;
    double unix_now = 0;
    std::size_t zones = 0;  // how many there are
    std::vector<Pool> pools;
    std::vector<MachineView> machines;
    std::vector<InstanceView> instances;
    std::vector<JobView> jobs;
    std::map<std::string, protocol::Resources> team_used;
};

struct Start {
    std::size_t job = 0;
    std::uint32_t task = 0;
    std::size_t machine = 0;
};

struct Stop {
    std::size_t instance = 0;
    std::size_t for_job = 0;  // the job that preempts it
};

// Tasks that may start, and found no place.
struct UnplacedTasks {
    std::size_t job = 0;
    std::size_t count = 0;
};

// What one plan did, for metrics.
struct PlanCounts {
    std::uint64_t tasks = 0;    // placed
    std::uint64_t draws = 0;    // machines drawn at random
    std::uint64_t redraws = 0;  // further rounds of draws, since too few of the machines drawn were suitable
    std::uint64_t fallbacks = 0;  // no draw was suitable: the first suitable machine was looked for
    std::uint64_t packed = 0;     // tasks that went to the fullest machine
    std::uint64_t preempted = 0;  // instances to stop
};

struct Decisions {
    std::vector<Start> starts;  // those of one gang in sequence
    std::vector<Stop> stops;
    std::vector<UnplacedTasks> unplaced;
    PlanCounts counts;
};

}  // namespace coralhitch::scheduler
