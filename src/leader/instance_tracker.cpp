#include "leader/instance_tracker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduler/scheduler.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using protocol::ExitCause;
using protocol::JobKind;

namespace {
// Report periods for which a machine gets nothing new: after a task failed on it, and after tasks of several
// jobs did.
constexpr double one_failure_quarantine_reports = 2, many_failures_quarantine_reports = 20;
// Pauses of a job that keeps failing double this many times at the most.
constexpr int most_doublings = 5;
constexpr std::size_t most_failed_machines = 8;
}  // namespace

InstanceTracker::InstanceTracker(const PartContext& context, metrics::Metrics& metrics,
                                 cluster::TeamActivity& team_activity, MarkForDeletion mark_for_deletion)
    : LeaderPart(context),
      metrics_(metrics),
      team_activity_(team_activity),
      mark_for_deletion_(std::move(mark_for_deletion)) {}

void InstanceTracker::instance_found(const protocol::TaskId& task, const std::string& machine_id) {
    auto* job = state_.jobs.find(task.job);
    auto* machine = state_.cluster.find(machine_id);
    auto instance = machine->tasks.find(task);
    if (!job || instance == machine->tasks.end())
        return;  // of a job that is over: the cluster state stops it
    if (instance->second.confirmed) record_location(*job, task, *machine, instance->second.attempt);
    if (job->cancelled) state_.cluster.cancel(*machine, task, authority_.lease_renewal_deadline());
    if (job->is_done(task.index)) state_.cluster.stop(*machine, task, 0);
}

// Attempts are numbered in the order of their starts, and one starts when the one before is proven
// terminated: what shows the older one came late, if it is of another agent epoch or machine by now. Going by
// the order of the reports instead stopped the newer one whenever its report came second.
void InstanceTracker::record_location(jobs::JobEntry& job, const protocol::TaskId& task, Machine& machine,
                                      protocol::AttemptNumber attempt) {
    auto [active, inserted] =
        job.active.try_emplace(task.index, jobs::ActiveTask{machine.id, attempt, state_.zone_of(machine)});
    if (inserted || active->second.machine == machine.id) return;
    auto* other = state_.cluster.find(active->second.machine);
    // If one of them has not reported to this leader, what may be on it is known from the previous leader.
    bool proven = machine.reported_to_this_leader && other && other->reported_to_this_leader;
    spdlog::log(proven ? spdlog::level::err : spdlog::level::info,
                "component=leader event={} task={} machine={} other_machine={}",
                proven ? "task_runs_twice" : "task_may_run_twice", task.str(), machine.id,
                active->second.machine);
    auto* older = &machine;
    if (attempt > active->second.attempt) {
        older = other;
        active->second = {machine.id, attempt, state_.zone_of(machine)};
    }
    if (!older) return;
    if (auto instance = older->tasks.find(task); instance != older->tasks.end()) {
        instance->second.orphaned = true;
        ++job.orphaned_instances;
        state_.cluster.stop(*older, task, 0);
    }
}

void InstanceTracker::instance_ended(const cluster::InstanceEnd& end) {
    auto* job = state_.jobs.find(end.task.job);
    if (!job) {
        state_.cluster.record_outcome_stored(end.task.job);  // the job is over and stored
        return;
    }
    spdlog::debug("component=leader event=instance_ended task={} attempt={} machine={} reported={} cause={}",
                  end.task.str(), end.attempt, end.machine, end.reported, static_cast<int>(end.cause));
    if (end.orphaned) --job->orphaned_instances;
    bool was_active = release_place(*job, end);
    if (end.task.index >= job->spec->tasks) return;
    if (end.cause == ExitCause::done && job->spec->kind != JobKind::service) return task_done(*job, end);
    if (end.cause == ExitCause::done) state_.cluster.record_outcome_stored(end.task.job, {end.task.index});
    if (was_active) task_lost(*job, end);
}

// Whether the job's task was there. Its place is free if the cluster state holds nothing there any more: an
// old attempt that is reported as exited once more says nothing about the one that came after it.
bool InstanceTracker::release_place(jobs::JobEntry& job, const cluster::InstanceEnd& end) {
    auto active = job.active.find(end.task.index);
    auto* machine = state_.cluster.find(end.machine);
    bool was_active = active != job.active.end() && active->second.machine == end.machine &&
                      !(machine && machine->tasks.contains(end.task));
    if (was_active) job.active.erase(active);
    return was_active;
}

// The tasks of a gang complete together: if one is done, all are.
void InstanceTracker::task_done(jobs::JobEntry& job, const cluster::InstanceEnd& end) {
    auto done_before = job.done_count;
    if (job.spec->kind == JobKind::gang) {
        for (std::uint32_t task = 0; task < job.spec->tasks; ++task) job.mark_done(task);
    } else {
        job.mark_done(end.task.index);
    }
    team_activity_.completed(job.spec->team, job.done_count - done_before);
    job.consecutive_failures = 0;
    job.backoff_until = 0;
    if (auto* machine = state_.cluster.find(end.machine)) machine->error_jobs.clear();
    if (job.is_done(end.task.index) && !job.unstored_tasks.contains(end.task.index))
        state_.cluster.record_outcome_stored(end.task.job, {end.task.index});
}

// An active task ended before it was done.
void InstanceTracker::task_lost(jobs::JobEntry& job, const cluster::InstanceEnd& end) {
    if (end.started) team_activity_.stopped(job.spec->team);
    switch (end.cause) {
        case ExitCause::error:
            task_failed(job, end);
            break;
        case ExitCause::insufficient_resources:
        case ExitCause::other_attempt_present:
            // The cluster state of this machine was wrong: let reports mend it first.
            if (auto* machine = state_.cluster.find(end.machine))
                machine->quarantined_until = now() + settings_.heartbeat_interval_s;
            break;
        case ExitCause::unknown:
            job.backoff_until = now() + settings_.heartbeat_interval_s;
            break;
        default:
            break;
    }
    // A gang that lost a task is stopped as one; its next attempt starts when all of the old one is
    // terminated.
    if (job.spec->kind == JobKind::gang && !job.all_done())
        stop_active(end.task.job, job, scheduler::checkpoint_grace_s(*job.spec));
}

// The first failure is taken for the machine's: the task goes elsewhere at once. A job that fails on several
// machines gets pauses that grow, up to a bound, and holds nobody else up.
void InstanceTracker::task_failed(jobs::JobEntry& job, const cluster::InstanceEnd& end) {
    ++job.consecutive_failures;
    job.failed_on.insert(end.machine);
    if (job.is_crash_looping()) {
        int doublings =
            std::min(job.consecutive_failures - jobs::JobEntry::crash_loop_threshold - 1, most_doublings);
        job.backoff_until = now() + settings_.heartbeat_interval_s * std::pow(2.0, doublings);
        if (job.failed_on.size() > most_failed_machines) job.failed_on.clear();
    }
    auto* machine = state_.cluster.find(end.machine);
    if (!machine) return;
    machine->error_jobs.insert(end.task.job);
    if (job.is_crash_looping()) return;  // says more about the job than about the machine
    blame_machine(*machine, end.task.job);
}

void InstanceTracker::blame_machine(Machine& machine, const std::string& job_id) {
    if (machine.error_jobs.size() < 2) {
        machine.quarantined_until = now() + settings_.heartbeat_interval_s * one_failure_quarantine_reports;
        return;
    }
    spdlog::info("component=leader event=machine_quarantined machine={} failed_jobs={} last_job={}",
                 machine.id, machine.error_jobs.size(), job_id);
    metrics_.increment(metrics::Metric::leader_machines_quarantined);
    machine.quarantined_until = now() + settings_.heartbeat_interval_s * many_failures_quarantine_reports;
    machine.error_jobs.clear();
    if (machine.tasks.empty()) mark_for_deletion_(machine, "fails its tasks");
}

void InstanceTracker::stop_active(const std::string& job_id, jobs::JobEntry& job, double grace_s) {
    for (auto& [task, active] : job.active)
        if (auto* machine = state_.cluster.find(active.machine))
            state_.cluster.stop(*machine, {job_id, task}, grace_s);
}

// A cancellation that this leader did not know when its knowledge of them was last complete was sent after
// that, so no lease may be renewed beyond that time.
void InstanceTracker::cancel_active(const std::string& job_id, jobs::JobEntry& job) {
    for (auto& [task, active] : job.active)
        if (auto* machine = state_.cluster.find(active.machine))
            state_.cluster.cancel(*machine, {job_id, task}, authority_.lease_renewal_deadline());
}

}  // namespace coralhitch::leader
