// Snapshots of the cluster state and the job table, as input values for the scheduler and the autoscaler.
//
// The functions read LeaderState and keep no state of their own. The planner's thread calls them with the
// state's mutex locked. The event loop's thread may call those that take a JobEntry, and
// `has_startable_tasks`, without it.
#pragma once
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "config/settings.hpp"
#include "leader/leader_state.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::leader {

// The time of a snapshot, on both clocks.
struct SnapshotTime {
    double now = 0;       // steady seconds
    double unix_now = 0;  // seconds since 1970
};

// Returns true if the state of the job allows its tasks to start at `now` (steady seconds). Resources, quotas
// and zone limits are not considered.
[[nodiscard]] bool may_start_tasks(const jobs::JobEntry& job, double now);
// Returns true if any job has pending tasks that its state allows to start at `now` (steady seconds).
[[nodiscard]] bool has_startable_tasks(LeaderState& state, double now);
// Returns the number of active tasks of the job in each zone, by zone index. `zones` is the number of zones.
[[nodiscard]] scheduler::ZoneCounts zone_counts(const jobs::JobEntry& job, std::size_t zones);

// Returns the scheduler's input: all machines, the resources that each team uses, and all jobs except those
// that wait for dependencies and have no active tasks.
[[nodiscard]] scheduler::Input scheduler_input(LeaderState& state, const std::vector<config::Team>& teams,
                                               const SnapshotTime& time);
// Adds to `in` the machines that are usable, booting or suspected, the number of all other machines, and the
// tasks that the scheduler could not place. `planned` is the scheduler's input after planning, including the
// starts that were decided. `now` is in steady seconds.
void add_machines_and_demand(autoscaler::Input& in, LeaderState& state, const scheduler::Input& planned,
                             const scheduler::Decisions& decisions, double now);

}  // namespace coralhitch::leader
