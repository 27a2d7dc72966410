// The rules about waiting: jobs for their tasks to start, and users for answers.
#include <algorithm>

#include "protocol/model.hpp"
#include "verification/checker.hpp"

namespace coralhitch::verification {
namespace {

bool allows(const protocol::Job& job, const MachinePlace& place) {
    if (place.spot && !job.spot) return false;
    if (job.zone && *job.zone != place.zone) return false;
    return !job.types || std::find(job.types->begin(), job.types->end(), place.type) != job.types->end();
}
std::size_t count_on_machines(const ObservedJob& job) {
    return job.machines_of_task.size();
}
// Returns the number of tasks that are done or on a machine.
std::size_t count_done_or_on_machines(const ObservedJob& job) {
    auto started = job.tasks_done;
    for (auto& [index, machine] : job.machines_of_task) started.insert(index);
    return started.size();
}
std::size_t tasks_in(const ObservedJob& job, const std::string& zone) {
    auto found = job.tasks_per_zone.find(zone);
    return found == job.tasks_per_zone.end() ? 0 : found->second;
}

// The number of tasks that could start now.
struct Startable {
    std::size_t in_all_zones = 0, in_best_zone = 0;
};
Startable startable(const ObservedJob& observed, const std::map<std::string, std::size_t>& free_slots) {
    auto& job = observed.job;
    std::size_t max_per_zone = job.spread ? (job.tasks + 1) / 2 : job.tasks;
    Startable result;
    for (auto& [zone, slots] : free_slots) {
        auto here = tasks_in(observed, zone);
        if (job.one_zone && count_on_machines(observed) != here) continue;  // the job is in another zone
        auto count = std::min(slots, max_per_zone - std::min(max_per_zone, here));
        result.in_all_zones += count;
        result.in_best_zone = std::max(result.in_best_zone, count);
    }
    return result;
}
}  // namespace

// Returns whether a waiting task of the job could start now on a usable machine within the team's limit. For
// a gang, all tasks must be able to start.
bool Checker::may_start(const ObservedJob& observed, const std::set<std::string>& usable_machines) {
    auto& job = observed.job;
    bool gang = job.kind == protocol::JobKind::gang;
    if (observed.is_done() || count_done_or_on_machines(observed) >= job.tasks) return false;
    if (gang && count_on_machines(observed) > 0) return false;
    std::size_t needed = gang ? job.tasks : 1;
    if (auto limit = rules_.teams.find(job.team); limit != rules_.teams.end()) {
        auto used = observations_.used_by(job.team);
        used += job.request.times(static_cast<double>(needed));
        auto exceeds = [this](double sum, double allowed) {
            return allowed > 0 && sum > allowed + rules_.rounding;
        };
        if (exceeds(used.cpus, limit->second.cpus_max) || exceeds(used.gpus, limit->second.gpus_max))
            return false;
    }
    std::map<std::string, std::size_t> free_slots;  // by zone
    for (auto& machine : usable_machines) {
        auto& place = observations_.place_of(machine);
        if (allows(job, place)) free_slots[place.zone] += observations_.free_slots_for(job, machine);
    }
    auto can_start = startable(observed, free_slots);
    return (job.one_zone ? can_start.in_best_zone : can_start.in_all_zones) >= needed;
}
void Checker::check_waiting(double now, const std::set<std::string>& usable_machines) {
    for (auto& [id, job] : observations_.jobs()) {
        bool over = job.done_at || cancel_wanted(id);
        if (!job.accepted_at || over || job.waited_too_long) continue;
        auto& awaits = job.job.dependencies;
        bool awaited_done = std::all_of(awaits.begin(), awaits.end(),
                                        [this](auto& awaited) { return observations_.is_done(awaited); });
        if (job.fails_everywhere || !awaited_done || !may_start(job, usable_machines)) {
            job.waiting_since.reset();
            continue;
        }
        if (!job.waiting_since) job.waiting_since = now;
        if (now - *job.waiting_since <= rules_.max_waiting_s) continue;
        job.waited_too_long = true;
        report(now, "left_waiting " + id + " with room and quota");
    }
}

void Checker::check_unanswered(double now, double since) {
    for (auto& [id, job] : observations_.jobs()) {
        bool too_long = now - std::max(job.answered_at, since) > rules_.max_unanswered_s;
        if (!job.accepted_at || !too_long || job.unanswered_too_long) continue;
        job.unanswered_too_long = true;
        report(now, "forgotten " + id + ": no question was answered for " +
                        std::to_string(rules_.max_unanswered_s) + " s");
    }
}

}  // namespace coralhitch::verification
