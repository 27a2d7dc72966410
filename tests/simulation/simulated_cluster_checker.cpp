// The rules: about what starts, what stays on machines, what waits and what users are told.
#include <algorithm>

#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {

bool SimulatedCluster::is_done(const std::string& id) const {
    auto& job = jobs.at(id);
    bool gang = job.spec["shape"] == "gang";  // its tasks complete together
    return gang ? !job.tasks_done.empty() : job.tasks_done.size() >= job.spec["shards"].get<std::size_t>();
}
bool SimulatedCluster::cancel_wanted(const std::string& id) const {
    auto& job = jobs.at(id);
    if (job.cancel_asked) return true;
    auto awaits = awaits_of(job.spec);
    return std::any_of(awaits.begin(), awaits.end(), [&](auto& awaited) { return cancel_wanted(awaited); });
}
double SimulatedCluster::cancelled_before(const std::string& id) const {
    double first = 1e18;
    auto& job = jobs.at(id);
    for (auto& awaited : awaits_of(job.spec)) {
        auto& before = jobs.at(awaited);
        if (before.cancel_asked && before.cancelled) first = std::min(first, before.cancelled_at);
        first = std::min(first, cancelled_before(awaited));
    }
    return first;
}
// --- What users are told ----------------------------------------------------------------------------------

// Answers may overtake each other. Each is held against what anyone had received before its question was
// sent: from then on nothing older is right.
void SimulatedCluster::record_answer(const Answer& answer) {
    using To = Answer::To;
    if (answer.id.empty()) return;  // a scripted request, judged by its test
    ++answers;
    bool yes = answer.http == 200 || answer.http == 201;
    auto it = jobs.find(answer.id);
    if (it == jobs.end()) {
        if (yes) add_violation("invented " + answer.id);
        return;
    }
    auto& job = it->second;
    auto before = [&](double received) { return received >= 0 && received < answer.sent; };
    if (job.refused) {
        if (yes) add_violation("accepted_impossible " + answer.id + " got " + std::to_string(answer.http));
        return;
    }
    if (answer.http == 404 || answer.http == 400 || answer.http == 422) {
        if (before(job.accepted_at))
            add_violation("forgotten " + answer.id + " got " + std::to_string(answer.http));
        return;
    }
    if (!yes) return;
    if (answer.http == 201 && before(job.accepted_at)) add_violation("accepted_twice " + answer.id);
    job.answered_at = answer.received;
    if (before(job.done_at) && answer.status != "done")
        add_violation("went_back " + answer.id + " from done to " + answer.status);
    if (before(job.cancelled_at) && answer.status != "withdrawn")
        add_violation("went_back " + answer.id + " from withdrawn to " + answer.status);
    check_orphaned(answer);
    bool news = !job.accepted;
    if (!std::exchange(job.accepted, true)) job.accepted_at = answer.received;
    if (answer.status == "withdrawn" && !cancel_wanted(answer.id))
        add_violation("went_back " + answer.id + ": nobody cancelled it");
    if (answer.status == "withdrawn" && !std::exchange(job.cancelled, true))
        news = true, job.cancelled_at = answer.received;
    if (answer.status == "done" && !std::exchange(job.done, true)) news = true, job.done_at = answer.received;
    if (answer.status == "done" && !is_done(answer.id)) add_violation("not_done " + answer.id);
    // Of two ends one is wrong, whichever question was first.
    if (news && job.done && job.cancelled) add_violation("went_back " + answer.id + ": done and withdrawn");
    if (news)
        query_all_controllers_repeatedly(answer.id,
                                         answer.to == To::submission && answer.status == "pending");
}
// An answer that came so long after a job before this one was told to be cancelled must say cancelled too.
void SimulatedCluster::check_orphaned(const Answer& answer) {
    if (answer.status != "pending" && answer.status != "running") return;
    if (answer.received > cancelled_before(answer.id) + options_.cancel_s)
        add_violation("orphaned " + answer.id);
}

// --- What is on machines ----------------------------------------------------------------------------------

double SimulatedCluster::limit_of(const std::string& team) const {
    return team == "tight" ? options_.gpus_max : options_.free_gpus_max;
}
double SimulatedCluster::used_by(const std::string& team) const {
    double used = 0;
    for (auto& worker : workers)
        for (auto& [name, task_state] : worker->tasks)
            if (auto& spec = jobs.at(task_state.job).spec;
                !worker->dead && present(task_state) && spec["crew"] == team)
                used += spec["cards"].get<double>();
    return used;
}
// For how many more tasks of this job the machine has room.
std::size_t SimulatedCluster::places(const Worker& worker, const json& spec) const {
    double cards = machine_gpus;
    for (auto& [name, task_state] : worker.tasks)
        if (present(task_state)) cards -= jobs.at(task_state.job).spec["cards"].get<double>();
    constexpr std::size_t without_end = 100'000;  // a job's tasks at most
    double each = spec["cards"].get<double>();
    return each > 0 ? static_cast<std::size_t>((cards + 1e-9) / each) : without_end;
}
void SimulatedCluster::check_start(const Worker& worker, const std::string& task) {
    auto id = task.substr(0, task.find('/'));
    auto& job = jobs.at(id);
    auto& spec = job.spec;
    for (auto& before : awaits_of(spec))
        if (!is_done(before)) add_violation("too_early " + task + " before " + before);
    std::map<std::string, int> per_zone;
    for (auto& other : workers)
        for (auto& [name, task_state] : other->tasks) {
            if (!present(task_state) || other->dead) continue;
            if (name == task) add_violation("ran_twice " + task + " on " + worker.id + " and " + other->id);
            if (task_state.job == id) ++per_zone[other->zone];
        }
    auto team = spec["crew"].get<std::string>();
    double limit = limit_of(team);
    if (limit > 0 && used_by(team) + spec["cards"].get<double>() > limit + 1e-9)
        add_violation("quota " + task);
    if (job.cancelled_at >= 0) ++starts_after_cancellation;
    if (job.cancelled_at >= 0 && now_ > job.cancelled_at + options_.cancel_s)
        add_violation("ran_cancelled (start) " + task);
    if (places(worker, spec) == 0) return;  // refused by the worker
    int shards = spec["shards"];
    if (worker.spot && !spec["driftwood"].get<bool>()) add_violation("wrong_place (spot) " + task);
    if (spec.value("reef", worker.zone) != worker.zone) add_violation("wrong_place (zone) " + task);
    if (spec["scatter"].get<bool>() && per_zone[worker.zone] + 1 > (shards + 1) / 2)
        add_violation("wrong_place (scatter) " + task);
    if (spec["together"].get<bool>())
        for (auto& [zone, count] : per_zone)
            if (count > 0 && zone != worker.zone) add_violation("wrong_place (together) " + task);
}
void SimulatedCluster::check_cancelled() {
    for (auto& worker : workers)
        for (auto& [name, task_state] : worker->tasks) {
            if (worker->dead || !present(task_state)) continue;
            auto& job = jobs[task_state.job];
            if (job.cancelled_at >= 0 && now_ > job.cancelled_at + options_.cancel_s)
                add_violation("ran_cancelled " + name);
        }
}

// --- What waits -------------------------------------------------------------------------------------------

// Whether something of the job waits that a machine and the team's limit would take now: of a gang, all of
// it.
bool SimulatedCluster::could_start(const std::string& id) const {
    auto& job = jobs.at(id);
    auto& spec = job.spec;
    std::size_t tasks = spec["shards"].get<std::size_t>(), here = 0;
    std::map<std::string, std::size_t> in_zone, room;
    std::set<std::string> over = job.tasks_done;
    for (auto& worker : workers) {
        if (worker->dead) continue;
        for (auto& [name, task_state] : worker->tasks)
            if (task_state.job == id && present(task_state))
                ++here, ++in_zone[worker->zone], over.insert(name);
        bool usable = !worker->hung && !worker->fails_every_task && now_ >= worker->up_at &&
                      now_ >= worker->inbound_unreachable_until;
        if (usable && (!worker->spot || spec["driftwood"].get<bool>()))
            room[worker->zone] += places(*worker, spec);
    }
    bool gang = spec["shape"] == "gang";
    if (is_done(id) || over.size() >= tasks || (gang && here > 0)) return false;
    std::size_t needs = gang ? tasks : 1, all = 0, best = 0;
    auto team = spec["crew"].get<std::string>();
    double limit = limit_of(team), more = static_cast<double>(needs) * spec["cards"].get<double>();
    if (limit > 0 && used_by(team) + more > limit + 1e-9) return false;
    for (auto& [zone, places] : room) {
        if (spec.value("reef", zone) != zone) continue;
        std::size_t most = spec["scatter"].get<bool>() ? (tasks + 1) / 2 : tasks;
        auto count = std::min(places, most - std::min(most, in_zone[zone]));
        if (!spec["together"].get<bool>() || here == in_zone[zone])
            all += count, best = std::max(best, count);
    }
    return (spec["together"].get<bool>() ? best : all) >= needs;
}
void SimulatedCluster::check_waiting() {
    if (now_ < faults_over_at) return;
    for (auto& [id, job] : jobs) {
        if (!job.accepted || job.done || cancel_wanted(id) || job.waited_too_long) continue;
        auto awaits = awaits_of(job.spec);
        bool may = !job.spec.value("mistake", false) &&
                   std::all_of(awaits.begin(), awaits.end(), [&](auto& awaited) { return is_done(awaited); });
        if (!may || !could_start(id)) {
            job.waiting_since = -1;
            continue;
        }
        if (job.waiting_since < 0) job.waiting_since = now_;
        if (now_ - job.waiting_since <= options_.max_waiting_s) continue;
        job.waited_too_long = true;
        add_violation("left_waiting " + id + " with room and quota");
    }
}

}  // namespace coralhitch::simulation
