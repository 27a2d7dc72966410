// The rules about tasks on machines: when and where they start, and how long they stay after a cancellation.
// The rules about answers are in answer_rules.cpp, those about waiting in waiting_rules.cpp.
#include "verification/checker.hpp"

#include <algorithm>

namespace coralhitch::verification {

void Checker::report(double now, const std::string& what) {
    violations_.push_back(std::to_string(now) + " " + what);
}

void Checker::submitted(const protocol::Job& job) {
    observations_.add_job(job);
}

void Checker::check_runs_once(double now, ObservedJob& job, const std::string& machine,
                              const protocol::TaskId& task) {
    auto [begin, end] = job.machines_of_task.equal_range(task.index);
    auto what = "ran_twice " + task.str() + " on " + machine + " and ";
    for (auto other = begin; other != end; ++other) report(now, what + other->second);
    // A second start on the same machine occupies no more resources.
    observations_.remove_task(job, task.index, machine);
}
void Checker::check_dependencies_done(double now, const protocol::Job& job, const std::string& task) {
    for (auto& awaited : job.dependencies)
        if (!observations_.is_done(awaited))
            report(now, std::string("too_early ").append(task).append(" before ").append(awaited));
}
void Checker::check_quota(double now, const protocol::Job& job, const std::string& task) {
    auto limit = rules_.teams.find(job.team);
    if (limit == rules_.teams.end()) return report(now, "quota " + task + ": unknown team " + job.team);
    auto used = observations_.used_by(job.team);
    auto exceeds = [this](double sum, double allowed) {
        return allowed > 0 && sum > allowed + rules_.rounding;
    };
    if (exceeds(used.cpus + job.request.cpus, limit->second.cpus_max) ||
        exceeds(used.gpus + job.request.gpus, limit->second.gpus_max))
        report(now, "quota " + task + " of " + job.team);
}
void Checker::check_not_cancelled(double now, const ObservedJob& job, const std::string& task) {
    if (!job.cancelled_at) return;
    ++starts_after_cancellation_;
    if (now > *job.cancelled_at + rules_.cancel_s) report(now, "ran_cancelled (start) " + task);
}
void Checker::check_place(double now, const ObservedJob& observed, const MachinePlace& place,
                          const std::string& task) {
    auto& job = observed.job;
    if (place.spot && !job.spot) report(now, "wrong_place (spot) " + task);
    if (job.zone && *job.zone != place.zone) report(now, "wrong_place (zone) " + task);
    if (job.types && std::find(job.types->begin(), job.types->end(), place.type) == job.types->end())
        report(now, "wrong_place (type) " + task);
    auto here = observed.tasks_per_zone.find(place.zone);
    auto there_already = here == observed.tasks_per_zone.end() ? 0 : here->second;
    if (job.spread && there_already + 1 > (job.tasks + 1) / 2) report(now, "wrong_place (spread) " + task);
    if (job.one_zone)
        for (auto& [zone, tasks] : observed.tasks_per_zone)
            if (tasks > 0 && zone != place.zone) report(now, "wrong_place (one zone) " + task);
}

void Checker::task_started(double now, const std::string& machine, const protocol::TaskId& task,
                           StartOutcome outcome) {
    ++starts_;
    auto* job = observations_.find(task.job);
    if (!job) return report(now, "invented " + task.str() + " was started");
    if (job->must_be_refused) return report(now, "accepted_impossible (start) " + task.str());
    job->waiting_since.reset();
    check_runs_once(now, *job, machine, task);
    check_dependencies_done(now, job->job, task.str());
    check_quota(now, job->job, task.str());
    check_not_cancelled(now, *job, task.str());
    if (outcome == StartOutcome::no_room) return;
    check_place(now, *job, observations_.place_of(machine), task.str());
    observations_.add_task(*job, task.index, machine);
    if (job->cancelled_at)
        cancelled_.insert(task.job);  // the last check_cancelled_jobs may have removed the job
}
void Checker::task_ended(const std::string& machine, const protocol::TaskId& task,
                         protocol::ExitCause cause) {
    auto* job = observations_.find(task.job);
    if (!job) return;
    if (cause == protocol::ExitCause::done) job->tasks_done.insert(task.index);
    observations_.remove_task(*job, task.index, machine);
}

void Checker::check_cancelled_jobs(double now) {
    for (auto id = cancelled_.begin(); id != cancelled_.end();) {
        auto& cancelled = known_job(*id);
        bool late = now > *cancelled.cancelled_at + rules_.cancel_s;
        if (late)
            for (auto& [index, machine] : cancelled.machines_of_task)
                report(now, "ran_cancelled " + protocol::TaskId{*id, index}.str() + " on " + machine);
        id = late ? cancelled_.erase(id) : std::next(id);
    }
}

}  // namespace coralhitch::verification
