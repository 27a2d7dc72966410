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
// Heartbeat periods for which a machine gets no new tasks after a task of one job has failed on it, and after
// tasks of several jobs have.
constexpr double one_failure_quarantine_heartbeat_periods = 2,
                 many_failures_quarantine_heartbeat_periods = 20;
// Bounds how often the backoff of a crash-looping job doubles.
constexpr int max_backoff_doublings = 5;
// A crash-looping job's list of machines on which it failed is cleared when it has more entries than this.
constexpr std::size_t max_failed_machines = 8;
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
        return;  // the job has ended: the cluster state stops the instance
    if (instance->second.confirmed) record_location(*job, task, *machine, instance->second.attempt);
    if (job->cancelled) state_.cluster.cancel(*machine, task, authority_.lease_renewal_deadline());
    if (job->is_done(task.index)) state_.cluster.stop(*machine, task, 0);
}

// Records the machine on which a task's active attempt is. If the task is already recorded on another
// machine, keeps the attempt with the higher number and stops the other instance as orphaned. Attempts are
// numbered in the order of their starts, and an attempt starts only when there is evidence that the previous
// one has terminated. A status that shows the older attempt in another agent epoch or on another machine has
// therefore arrived late. Deciding by the order in which the statuses arrive stopped the newer attempt
// whenever its status came second.
void InstanceTracker::record_location(jobs::JobEntry& job, const protocol::TaskId& task, Machine& machine,
                                      protocol::AttemptNumber attempt) {
    job.active_instances_stopped = false;
    auto [active, inserted] =
        job.active.try_emplace(task.index, jobs::ActiveTask{machine.id, attempt, state_.zone_of(machine)});
    if (inserted || active->second.machine == machine.id) return;
    auto* other = state_.cluster.find(active->second.machine);
    // If one of the machines has sent no status to this leader, its instances are known only from the
    // previous leader and may have terminated.
    bool both_reported = machine.reported_to_this_leader && other && other->reported_to_this_leader;
    spdlog::log(both_reported ? spdlog::level::err : spdlog::level::info,
                "component=leader event={} task={} machine={} other_machine={}",
                both_reported ? "task_runs_twice" : "task_may_run_twice", task.str(), machine.id,
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
        state_.cluster.record_outcome_stored(end.task.job);  // the job has ended, and its end is stored
        return;
    }
    spdlog::debug("component=leader event=instance_ended task={} attempt={} machine={} reported={} cause={}",
                  end.task.str(), end.attempt, end.machine, end.reported, static_cast<int>(end.cause));
    if (end.orphaned) --job->orphaned_instances;
    bool was_active = clear_location(*job, end);
    if (end.task.index >= job->spec->tasks) return;
    if (end.cause == ExitCause::done && job->spec->kind != JobKind::service)
        return handle_task_done(*job, end);
    if (end.cause == ExitCause::done) state_.cluster.record_outcome_stored(end.machine, end.task);
    if (was_active) handle_task_lost(*job, end);
}

// Removes the task from the job's active tasks if it was recorded on the machine where the instance ended and
// the cluster state has no instance of the task there any more. Returns whether it was removed. An exit of an
// old attempt that is reported once more does not affect the attempt that followed on the same machine.
bool InstanceTracker::clear_location(jobs::JobEntry& job, const cluster::InstanceEnd& end) {
    auto active = job.active.find(end.task.index);
    auto* machine = state_.cluster.find(end.machine);
    bool was_active = active != job.active.end() && active->second.machine == end.machine &&
                      !(machine && machine->tasks.contains(end.task));
    if (was_active) job.active.erase(active);
    return was_active;
}

// The tasks of a gang complete together: if one is done, all are.
void InstanceTracker::handle_task_done(jobs::JobEntry& job, const cluster::InstanceEnd& end) {
    auto done_before = job.done_count;
    if (job.spec->kind != JobKind::gang)
        job.mark_done(end.task.index);
    else if (!job.all_done())
        mark_gang_done(job);
    team_activity_.completed(job.spec->team, job.done_count - done_before);
    job.consecutive_failures = 0;
    job.backoff_until = 0;
    if (auto* machine = state_.cluster.find(end.machine)) machine->jobs_with_failed_tasks.clear();
    if (job.is_done(end.task.index) && !job.unstored_tasks.contains(end.task.index))
        state_.cluster.record_outcome_stored(end.machine, end.task);
}

void InstanceTracker::mark_gang_done(jobs::JobEntry& job) {
    tasks_examined_ += job.spec->tasks;
    for (std::uint32_t task = 0; task < job.spec->tasks; ++task) job.mark_done(task);
}

// Handles the end of an active task that is not done: decides when the task may be started again, and stops
// the rest of its gang.
void InstanceTracker::handle_task_lost(jobs::JobEntry& job, const cluster::InstanceEnd& end) {
    if (end.started) team_activity_.stopped(job.spec->team);
    switch (end.cause) {
        case ExitCause::error:
            handle_task_failed(job, end);
            break;
        case ExitCause::insufficient_resources:
        case ExitCause::other_attempt_present:
            // The cluster state of this machine was wrong. It gets no new tasks until heartbeats have had
            // time to correct it.
            if (auto* machine = state_.cluster.find(end.machine))
                machine->quarantined_until = now() + settings_.heartbeat_interval_s;
            break;
        case ExitCause::unknown:
            job.backoff_until = now() + settings_.heartbeat_interval_s;
            break;
        default:
            break;
    }
    // If a gang loses a task, all of its tasks are stopped. Its next attempt starts when all tasks of the old
    // one have terminated.
    if (job.spec->kind == JobKind::gang && !job.all_done()) stop_rest_of_gang(end.task.job, job);
}

// Stops the active tasks only at the end of the first one, because all the others end as well, each with a
// call of this function.
void InstanceTracker::stop_rest_of_gang(const std::string& job_id, jobs::JobEntry& job) {
    if (std::exchange(job.active_instances_stopped, true)) return;
    stop_active(job_id, job, scheduler::checkpoint_grace_s(*job.spec));
}

// Handles a task that exited with an error. The first failures are attributed to the machine, and the task is
// started elsewhere at once. A job that keeps failing is crash-looping: it is started again only after a
// backoff that grows up to a bound, so that it does not hold up other jobs.
void InstanceTracker::handle_task_failed(jobs::JobEntry& job, const cluster::InstanceEnd& end) {
    ++job.consecutive_failures;
    job.failed_on.insert(end.machine);
    if (job.is_crash_looping()) {
        int doublings = std::min(job.consecutive_failures - jobs::JobEntry::crash_loop_threshold - 1,
                                 max_backoff_doublings);
        job.backoff_until = now() + settings_.heartbeat_interval_s * std::pow(2.0, doublings);
        if (job.failed_on.size() > max_failed_machines) job.failed_on.clear();
    }
    auto* machine = state_.cluster.find(end.machine);
    if (!machine) return;
    machine->jobs_with_failed_tasks.insert(end.task.job);
    if (job.is_crash_looping()) return;  // the failure is attributed to the job, not to the machine
    quarantine(*machine, end.task.job);
}

// Quarantines a machine on which a task of this job failed, for longer if tasks of several jobs have failed
// there. In that case an empty machine is marked for deletion too.
void InstanceTracker::quarantine(Machine& machine, const std::string& job_id) {
    if (machine.jobs_with_failed_tasks.size() < 2) {
        machine.quarantined_until =
            now() + settings_.heartbeat_interval_s * one_failure_quarantine_heartbeat_periods;
        return;
    }
    spdlog::info("component=leader event=machine_quarantined machine={} failed_jobs={} last_job={}",
                 machine.id, machine.jobs_with_failed_tasks.size(), job_id);
    metrics_.increment(metrics::Metric::leader_machines_quarantined);
    machine.quarantined_until =
        now() + settings_.heartbeat_interval_s * many_failures_quarantine_heartbeat_periods;
    machine.jobs_with_failed_tasks.clear();
    if (machine.tasks.empty()) mark_for_deletion_(machine, "fails its tasks");
}

void InstanceTracker::stop_active(const std::string& job_id, jobs::JobEntry& job, double grace_s) {
    tasks_examined_ += job.active.size();
    for (auto& [task, active] : job.active)
        if (auto* machine = state_.cluster.find(active.machine))
            state_.cluster.stop(*machine, {job_id, task}, grace_s);
}

// This leader knows all cancellations that were committed before a certain time, which the lease renewal
// deadline is derived from. A cancellation that it learns now was committed later, so the machine's lease may
// be renewed only until that deadline while the agent may not have received the stop.
void InstanceTracker::cancel_active(const std::string& job_id, jobs::JobEntry& job) {
    tasks_examined_ += job.active.size();
    for (auto& [task, active] : job.active)
        if (auto* machine = state_.cluster.find(active.machine))
            state_.cluster.cancel(*machine, {job_id, task}, authority_.lease_renewal_deadline());
}

}  // namespace coralhitch::leader
