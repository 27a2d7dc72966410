// What a plan is made from: copies of the cluster state and the job table, as plain values of the scheduler
// and the autoscaler. Functions only; they own nothing.
//
// Called on the planner's thread, with the state's mutex held by the caller.
#pragma once
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "config/settings.hpp"
#include "leader/leader_state.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::leader {

// The moment of a snapshot.
struct SnapshotTime {
    double now = 0;       // steady seconds
    double unix_now = 0;  // seconds since 1970
};

// Whether tasks of the job may start at that moment (steady seconds), as far as it is up to the job.
[[nodiscard]] bool may_start_tasks(const jobs::JobEntry& job, double now);
// Whether any job has tasks that may start at that moment (steady seconds).
[[nodiscard]] bool has_startable_tasks(LeaderState& state, double now);
// In how many tasks of the job each zone has a share; `zones`: how many zones there are.
[[nodiscard]] scheduler::ZoneCounts zone_counts(const jobs::JobEntry& job, std::size_t zones);

// All machines, the jobs that hold or may take places, and what the teams use.
[[nodiscard]] scheduler::Input scheduler_input(LeaderState& state, const std::vector<config::Team>& teams,
                                               const SnapshotTime& time);
// Adds to `in` the machines that can be counted on and the demand that found no place. `planned` is the
// scheduler's input as the plan left it, with what it decided to start. `now` in steady seconds.
void add_machines_and_demand(autoscaler::Input& in, LeaderState& state, const scheduler::Input& planned,
                             const scheduler::Decisions& decisions, double now);

}  // namespace coralhitch::leader
