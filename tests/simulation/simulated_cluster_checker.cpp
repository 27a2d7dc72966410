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
    return std::any_of(awaits.begin(), awaits.end(), [&](auto& a) { return cancel_wanted(a); });
}
double SimulatedCluster::cancelled_before(const std::string& id) const {
    double first = 1e18;
    auto& job = jobs.at(id);
    for (auto& a : awaits_of(job.spec)) {
        auto& before = jobs.at(a);
        if (before.cancel_asked && before.cancelled) first = std::min(first, before.cancelled_at);
        first = std::min(first, cancelled_before(a));
    }
    return first;
}
// --- What users are told ----------------------------------------------------------------------------------

// Answers may overtake each other. Each is held against what anyone had received before its question was
// sent: from then on nothing older is right.
void SimulatedCluster::record_answer(const Answer& a) {
    using To = Answer::To;
    if (a.id.empty()) return;  // a scripted request, judged by its test
    ++answers;
    bool yes = a.http == 200 || a.http == 201;
    auto it = jobs.find(a.id);
    if (it == jobs.end()) {
        if (yes) add_violation("invented " + a.id);
        return;
    }
    auto& job = it->second;
    auto before = [&](double received) { return received >= 0 && received < a.sent; };
    if (job.refused) {
        if (yes) add_violation("accepted_impossible " + a.id + " got " + std::to_string(a.http));
        return;
    }
    if (a.http == 404 || a.http == 400 || a.http == 422) {
        if (before(job.accepted_at)) add_violation("forgotten " + a.id + " got " + std::to_string(a.http));
        return;
    }
    if (!yes) return;
    if (a.http == 201 && before(job.accepted_at)) add_violation("accepted_twice " + a.id);
    job.answered_at = a.received;
    if (before(job.done_at) && a.status != "done") add_violation("went_back " + a.id + " from done to " + a.status);
    if (before(job.cancelled_at) && a.status != "withdrawn")
        add_violation("went_back " + a.id + " from withdrawn to " + a.status);
    check_orphaned(a);
    bool news = !job.accepted;
    if (!std::exchange(job.accepted, true)) job.accepted_at = a.received;
    if (a.status == "withdrawn" && !cancel_wanted(a.id)) add_violation("went_back " + a.id + ": nobody cancelled it");
    if (a.status == "withdrawn" && !std::exchange(job.cancelled, true))
        news = true, job.cancelled_at = a.received;
    if (a.status == "done" && !std::exchange(job.done, true)) news = true, job.done_at = a.received;
    if (a.status == "done" && !is_done(a.id)) add_violation("not_done " + a.id);
    // Of two ends one is wrong, whichever question was first.
    if (news && job.done && job.cancelled) add_violation("went_back " + a.id + ": done and withdrawn");
    if (news) query_all_controllers_repeatedly(a.id, a.to == To::submission && a.status == "pending");
}
// An answer that came so long after a job before this one was told to be cancelled must say cancelled too.
void SimulatedCluster::check_orphaned(const Answer& a) {
    if (a.status != "pending" && a.status != "running") return;
    if (a.received > cancelled_before(a.id) + options_.cancel_s) add_violation("orphaned " + a.id);
}

// --- What is on machines ----------------------------------------------------------------------------------

double SimulatedCluster::limit_of(const std::string& team) const {
    return team == "tight" ? options_.gpus_max : options_.free_gpus_max;
}
double SimulatedCluster::used_by(const std::string& team) const {
    double used = 0;
    for (auto& w : workers)
        for (auto& [name, t] : w->tasks)
            if (auto& spec = jobs.at(t.job).spec; !w->dead && present(t) && spec["crew"] == team)
                used += spec["cards"].get<double>();
    return used;
}
// For how many more tasks of this job the machine has room.
std::size_t SimulatedCluster::places(const Worker& w, const json& spec) const {
    double cards = machine_gpus;
    for (auto& [name, t] : w.tasks)
        if (present(t)) cards -= jobs.at(t.job).spec["cards"].get<double>();
    constexpr std::size_t without_end = 100'000;  // a job's tasks at most
    double each = spec["cards"].get<double>();
    return each > 0 ? static_cast<std::size_t>((cards + 1e-9) / each) : without_end;
}
void SimulatedCluster::check_start(const Worker& w, const std::string& task) {
    auto id = task.substr(0, task.find('/'));
    auto& job = jobs.at(id);
    auto& spec = job.spec;
    for (auto& before : awaits_of(spec))
        if (!is_done(before)) add_violation("too_early " + task + " before " + before);
    std::map<std::string, int> per_zone;
    for (auto& other : workers)
        for (auto& [name, t] : other->tasks) {
            if (!present(t) || other->dead) continue;
            if (name == task) add_violation("ran_twice " + task + " on " + w.id + " and " + other->id);
            if (t.job == id) ++per_zone[other->zone];
        }
    auto team = spec["crew"].get<std::string>();
    double limit = limit_of(team);
    if (limit > 0 && used_by(team) + spec["cards"].get<double>() > limit + 1e-9) add_violation("quota " + task);
    if (job.cancelled_at >= 0) ++starts_after_cancellation;
    if (job.cancelled_at >= 0 && now_ > job.cancelled_at + options_.cancel_s)
        add_violation("ran_cancelled (start) " + task);
    if (places(w, spec) == 0) return;  // refused by the worker
    int shards = spec["shards"];
    if (w.spot && !spec["driftwood"].get<bool>()) add_violation("wrong_place (spot) " + task);
    if (spec.value("reef", w.zone) != w.zone) add_violation("wrong_place (zone) " + task);
    if (spec["scatter"].get<bool>() && per_zone[w.zone] + 1 > (shards + 1) / 2)
        add_violation("wrong_place (scatter) " + task);
    if (spec["together"].get<bool>())
        for (auto& [z, n] : per_zone)
            if (n > 0 && z != w.zone) add_violation("wrong_place (together) " + task);
}
void SimulatedCluster::check_cancelled() {
    for (auto& w : workers)
        for (auto& [name, t] : w->tasks) {
            if (w->dead || !present(t)) continue;
            auto& job = jobs[t.job];
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
    for (auto& w : workers) {
        if (w->dead) continue;
        for (auto& [name, t] : w->tasks)
            if (t.job == id && present(t)) ++here, ++in_zone[w->zone], over.insert(name);
        bool usable = !w->hung && !w->fails_every_task && now_ >= w->up_at && now_ >= w->inbound_unreachable_until;
        if (usable && (!w->spot || spec["driftwood"].get<bool>())) room[w->zone] += places(*w, spec);
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
        auto n = std::min(places, most - std::min(most, in_zone[zone]));
        if (!spec["together"].get<bool>() || here == in_zone[zone]) all += n, best = std::max(best, n);
    }
    return (spec["together"].get<bool>() ? best : all) >= needs;
}
void SimulatedCluster::check_waiting() {
    if (now_ < faults_over_at) return;
    for (auto& [id, job] : jobs) {
        if (!job.accepted || job.done || cancel_wanted(id) || job.waited_too_long) continue;
        auto awaits = awaits_of(job.spec);
        bool may = !job.spec.value("mistake", false) &&
                   std::all_of(awaits.begin(), awaits.end(), [&](auto& a) { return is_done(a); });
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
