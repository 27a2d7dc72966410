#include "verification/checker.hpp"

#include <algorithm>
#include <utility>

namespace coralhitch::verification {
namespace {
constexpr double rounding = 1e-6;  // of sums of decimal amounts
}

void Checker::add_violation(double now, const std::string& what) {
    violations_.push_back(std::to_string(now) + " " + what);
}

// --- What users do and are told -------------------------------------------------------------------------

void Checker::submitted(const protocol::Job& job) {
    jobs_[job.id].job = job;
}

void Checker::accepted(const std::string& id) {
    jobs_.at(id).accepted = true;
}

void Checker::cancel_requested(const std::string& id) {
    jobs_.at(id).cancel_requested = true;
}

bool Checker::is_done(const std::string& id) const {
    auto& observed = jobs_.at(id);
    bool is_gang = observed.job.kind == protocol::JobKind::gang;  // its tasks complete together
    return is_gang ? !observed.tasks_done.empty() : observed.tasks_done.size() >= observed.job.tasks;
}

void Checker::status_answered(double now, const std::string& id, protocol::JobState state) {
    auto found = jobs_.find(id);
    if (found == jobs_.end()) return add_violation(now, "invented " + id);
    auto& observed = found->second;
    bool done = state == protocol::JobState::done;
    bool cancelled = state == protocol::JobState::cancelled;
    if (observed.answered_done && !done) add_violation(now, "went_back " + id + " from done");
    if (observed.answered_cancelled_at && !cancelled)
        add_violation(now, "went_back " + id + " from cancelled");
    if (cancelled && !observed.cancel_requested)
        add_violation(now, "went_back " + id + ": nobody cancelled it");
    if (cancelled && !observed.answered_cancelled_at) {
        observed.answered_cancelled_at = now;
        cancelled_jobs_.insert(id);
    }
    if (done && !observed.answered_done) {
        observed.answered_done = true;
        if (!is_done(id)) add_violation(now, "not_done " + id);
    }
}

void Checker::not_found_answered(double now, const std::string& id) {
    auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.accepted) add_violation(now, "forgotten " + id);
}

// --- What happens on machines ---------------------------------------------------------------------------

void Checker::check_quota(double now, const protocol::Job& job, const std::string& task) {
    auto limit = rules_.teams.find(job.team);
    if (limit == rules_.teams.end())
        return add_violation(now, "quota " + task + ": unknown team " + job.team);
    auto used = used_by_team_[job.team];
    auto is_beyond = [](double sum, double most) { return most > 0 && sum > most + rounding; };
    if (is_beyond(used.cpus + job.request.cpus, limit->second.cpus_max) ||
        is_beyond(used.gpus + job.request.gpus, limit->second.gpus_max))
        add_violation(now, "quota " + task + " of " + job.team);
}

void Checker::check_place(double now, const ObservedJob& observed, const MachinePlace& place,
                          const std::string& task) {
    auto& job = observed.job;
    if (place.spot && !job.spot) add_violation(now, "wrong_place (spot) " + task);
    if (job.zone && *job.zone != place.zone) add_violation(now, "wrong_place (zone) " + task);
    if (job.types && std::find(job.types->begin(), job.types->end(), place.type) == job.types->end())
        add_violation(now, "wrong_place (type) " + task);
    auto in_zone = observed.tasks_by_zone.find(place.zone);
    auto others_in_zone = in_zone == observed.tasks_by_zone.end() ? 0 : in_zone->second;
    if (job.spread && others_in_zone + 1 > (job.tasks + 1) / 2)
        add_violation(now, "wrong_place (spread) " + task);
    if (!job.one_zone) return;
    for (auto& [zone, tasks] : observed.tasks_by_zone)
        if (tasks > 0 && zone != place.zone) add_violation(now, "wrong_place (one zone) " + task);
}

void Checker::check_dependencies(double now, const ObservedJob& observed, const std::string& task) {
    const std::string what = "too_early " + task + " before ";
    for (auto& dependency : observed.job.dependencies)
        if (!jobs_.contains(dependency) || !is_done(dependency)) add_violation(now, what + dependency);
}

bool Checker::is_overdue(double now, const ObservedJob& observed) const {
    return observed.answered_cancelled_at && now > *observed.answered_cancelled_at + rules_.cancel_s;
}

void Checker::task_started(double now, const std::string& machine, const protocol::TaskId& task) {
    ++started_tasks_;
    auto name = task.str();
    auto found = jobs_.find(task.job);
    if (found == jobs_.end()) return add_violation(now, "invented " + name + " was started");
    auto& observed = found->second;
    auto earlier = observed.machine_by_task.find(task.index);
    if (earlier != observed.machine_by_task.end()) {
        add_violation(now, "ran_twice " + name + " on " + machine + " and " + earlier->second);
        remove_task(observed, task.index);
    }
    check_dependencies(now, observed, name);
    check_quota(now, observed.job, name);
    check_place(now, observed, machines_[machine], name);
    if (is_overdue(now, observed)) add_violation(now, "ran_cancelled (start) " + name);
    add_task(observed, task.index, machine);
}

void Checker::add_task(ObservedJob& observed, std::uint32_t task, const std::string& machine) {
    observed.machine_by_task[task] = machine;
    ++observed.tasks_by_zone[machines_[machine].zone];
    tasks_by_machine_[machine].insert({observed.job.id, task});
    used_by_team_[observed.job.team] += observed.job.request;
    ++tasks_on_machines_;
}

void Checker::remove_task(ObservedJob& observed, std::uint32_t task) {
    auto found = observed.machine_by_task.find(task);
    auto& machine = found->second;
    --observed.tasks_by_zone[machines_[machine].zone];
    tasks_by_machine_[machine].erase({observed.job.id, task});
    used_by_team_[observed.job.team] -= observed.job.request;
    observed.machine_by_task.erase(found);
    --tasks_on_machines_;
}

void Checker::task_ended(const std::string& machine, const protocol::TaskId& task,
                         protocol::ExitCause cause) {
    auto found = jobs_.find(task.job);
    if (found == jobs_.end()) return;
    auto& observed = found->second;
    if (cause == protocol::ExitCause::done) observed.tasks_done.insert(task.index);
    auto place = observed.machine_by_task.find(task.index);
    if (place != observed.machine_by_task.end() && place->second == machine)
        remove_task(observed, task.index);
}

void Checker::machine_terminated(const std::string& machine) {
    auto tasks = std::exchange(tasks_by_machine_[machine], {});
    for (auto& task : tasks) remove_task(jobs_.at(task.job), task.index);
    tasks_by_machine_.erase(machine);
}

void Checker::check_cancelled_jobs(double now) {
    for (auto id = cancelled_jobs_.begin(); id != cancelled_jobs_.end();) {
        auto& observed = jobs_.at(*id);
        if (!is_overdue(now, observed)) {
            ++id;
            continue;
        }
        for (auto& [task, machine] : observed.machine_by_task)
            add_violation(now, "ran_cancelled " + protocol::TaskId{*id, task}.str() + " on " + machine);
        id = cancelled_jobs_.erase(id);
    }
}

}  // namespace coralhitch::verification
