#include "verification/checker.hpp"

#include <algorithm>

namespace coralhitch::verification {
namespace {
constexpr double rounding = 1e-6;  // of sums of decimal amounts
}

void Checker::rule(double now, const std::string& what) {
    broken_.push_back(std::to_string(now) + " " + what);
}

void Checker::submitted(const protocol::Job& job) {
    jobs_[job.id].job = job;
}
void Checker::accepted(const std::string& id) {
    jobs_.at(id).accepted = true;
}
void Checker::cancel_asked(const std::string& id) {
    jobs_.at(id).cancel_asked = true;
}
bool Checker::is_done(const std::string& id) const {
    auto& o = jobs_.at(id);
    bool gang = o.job.kind == protocol::JobKind::gang;  // its tasks complete together
    return gang ? !o.tasks_done.empty() : o.tasks_done.size() >= o.job.tasks;
}
void Checker::told(double now, const std::string& id, protocol::JobState state) {
    auto found = jobs_.find(id);
    if (found == jobs_.end()) return rule(now, "invented " + id);
    auto& o = found->second;
    bool done = state == protocol::JobState::done, cancelled = state == protocol::JobState::cancelled;
    if (o.done && !done) rule(now, "went_back " + id + " from done");
    if (o.cancelled && !cancelled) rule(now, "went_back " + id + " from cancelled");
    if (cancelled && !o.cancel_asked) rule(now, "went_back " + id + ": nobody cancelled it");
    if (cancelled && !o.cancelled) {
        o.cancelled = true;
        o.cancelled_at = now;
        cancelled_.insert(id);
    }
    if (done && !o.done) {
        o.done = true;
        if (!is_done(id)) rule(now, "not_done " + id);
    }
}
void Checker::denied(double now, const std::string& id) {
    auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.accepted) rule(now, "forgotten " + id);
}

void Checker::check_quota(double now, const protocol::Job& job, const std::string& task) {
    auto limit = rules_.teams.find(job.team);
    if (limit == rules_.teams.end()) return rule(now, "quota " + task + ": unknown team " + job.team);
    auto used = used_[job.team];
    auto beyond = [](double sum, double most) { return most > 0 && sum > most + rounding; };
    if (beyond(used.cpus + job.request.cpus, limit->second.cpus_max) ||
        beyond(used.gpus + job.request.gpus, limit->second.gpus_max))
        rule(now, "quota " + task + " of " + job.team);
}
void Checker::check_place(double now, const Observed& o, const MachinePlace& place, const std::string& task) {
    auto& job = o.job;
    if (place.spot && !job.spot) rule(now, "wrong_place (spot) " + task);
    if (job.zone && *job.zone != place.zone) rule(now, "wrong_place (zone) " + task);
    if (job.types && std::find(job.types->begin(), job.types->end(), place.type) == job.types->end())
        rule(now, "wrong_place (type) " + task);
    auto here = o.per_zone.find(place.zone);
    if (job.spread && (here == o.per_zone.end() ? 0 : here->second) + 1 > (job.tasks + 1) / 2)
        rule(now, "wrong_place (spread) " + task);
    if (job.one_zone)
        for (auto& [zone, n] : o.per_zone)
            if (n > 0 && zone != place.zone) rule(now, "wrong_place (one zone) " + task);
}
void Checker::started(double now, const std::string& machine, const protocol::TaskId& task) {
    ++starts_;
    auto found = jobs_.find(task.job);
    if (found == jobs_.end()) return rule(now, "invented " + task.str() + " was started");
    auto& o = found->second;
    if (auto on = o.on.find(task.index); on != o.on.end()) {
        rule(now, "ran_twice " + task.str() + " on " + machine + " and " + on->second);
        remove(o, task.index);
    }
    for (auto& before : o.job.dependencies)
        if (!jobs_.contains(before) || !is_done(before))
            rule(now, "too_early " + task.str() + " before " + before);
    check_quota(now, o.job, task.str());
    check_place(now, o, machines_[machine], task.str());
    if (o.cancelled && now > o.cancelled_at + rules_.cancel_s)
        rule(now, "ran_cancelled (start) " + task.str());
    o.on[task.index] = machine;
    ++o.per_zone[machines_[machine].zone];
    on_machine_[machine].insert(task);
    used_[o.job.team] += o.job.request;
    ++present_;
}
void Checker::remove(Observed& o, std::uint32_t index) {
    auto on = o.on.find(index);
    --o.per_zone[machines_[on->second].zone];
    on_machine_[on->second].erase({o.job.id, index});
    used_[o.job.team] -= o.job.request;
    o.on.erase(on);
    --present_;
}
void Checker::ended(double, const std::string& machine, const protocol::TaskId& task,
                    protocol::ExitCause cause) {
    auto found = jobs_.find(task.job);
    if (found == jobs_.end()) return;
    auto& o = found->second;
    if (cause == protocol::ExitCause::done) o.tasks_done.insert(task.index);
    auto on = o.on.find(task.index);
    if (on != o.on.end() && on->second == machine) remove(o, task.index);
}
void Checker::machine_gone(const std::string& machine) {
    auto tasks = std::move(on_machine_[machine]);
    on_machine_.erase(machine);
    for (auto& t : tasks) remove(jobs_.at(t.job), t.index);
    on_machine_.erase(machine);
}
void Checker::look(double now) {
    for (auto it = cancelled_.begin(); it != cancelled_.end();) {
        auto& o = jobs_.at(*it);
        bool late = now > o.cancelled_at + rules_.cancel_s;
        if (late)
            for (auto& [index, machine] : o.on)
                rule(now, "ran_cancelled " + protocol::TaskId{*it, index}.str() + " on " + machine);
        it = late ? cancelled_.erase(it) : std::next(it);
    }
}

}  // namespace coralhitch::verification
