#include "scheduler/preemption.hpp"

#include <algorithm>

#include "protocol/model.hpp"

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Resources;

namespace {
// The cost of a place that is being emptied already, on a machine that has the image: below all others.
constexpr double being_emptied = -1;
// Report periods after its start for which stopping a task counts as a loss by itself.
constexpr double young_reports = 10;
}  // namespace

Preemption::Preemption(PlanState& plan) : plan_(plan) {
    auto& in = plan_.in;
    stopping_.resize(in.instances.size());
    by_machine_.resize(in.machines.size());
    by_job_.resize(in.jobs.size());
    lowest_rank_.assign(in.machines.size(), std::numeric_limits<int>::max());
    for (std::size_t k = 0; k < in.instances.size(); ++k) {
        auto& instance = in.instances[k];
        stopping_[k] = instance.stopping;
        by_machine_[instance.machine].push_back(k);
        by_job_[instance.job].push_back(k);
        auto& lowest = lowest_rank_[instance.machine];
        lowest = std::min(lowest, plan_.order.rank(instance.job));
    }
}

// What is lost by stopping an instance, in seconds of work.
double Preemption::loss(const InstanceView& instance) const {
    auto& spec = *plan_.in.jobs[instance.job].spec;
    double ran = instance.running_since >= 0 ? plan_.in.now - instance.running_since : 0;
    double age = plan_.in.now - instance.placed;
    double lost = spec.checkpoint_interval_s > 0 ? spec.checkpoint_save_s : ran;
    // Fetching the image again, and a start that counts for little if it is stopped soon after.
    return lost + spec.checkpoint_save_s +
           std::max(0.0, plan_.settings.heartbeat_interval_s * young_reports - age);
}

// How long a task of the job fetches its image there.
double Preemption::fetch_s(const JobView& job, std::size_t machine) const {
    double rate = plan_.in.pools[plan_.in.machines[machine].pool].fetch_gb_per_s;
    bool at_hand = plan_.image_distance(job, machine) <= ImageDistance::coming;
    return rate <= 0 || at_hand ? 0 : job.spec->image_gb / rate;
}

std::vector<std::size_t> Preemption::candidates_on(std::size_t job, std::size_t machine) const {
    std::vector<std::size_t> found;
    for (auto k : by_machine_[machine])
        if (!stopping_[k] && plan_.order.may_displace(job, plan_.in.instances[k].job)) found.push_back(k);
    return found;
}

void Preemption::sort_by_cost(std::vector<std::size_t>& candidates) const {
    auto& instances = plan_.in.instances;
    std::sort(candidates.begin(), candidates.end(), [&](auto a, auto b) {
        int first = plan_.order.rank(instances[a].job), second = plan_.order.rank(instances[b].job);
        if (first != second) return first < second;
        return loss(instances[a]) < loss(instances[b]);
    });
}

// The cheapest instances to stop on a machine so that a task of the job has room there.
std::optional<Preemption::Choice> Preemption::victims_on(std::size_t job, std::size_t machine) const {
    auto& in = plan_.in;
    auto& view = in.jobs[job];
    auto& need = view.spec->request;
    if (plan_.kept_spare(view, machine)) return std::nullopt;
    Resources room = in.machines[machine].soon;
    room -= in.machines[machine].reserved;
    Choice choice;
    // A place that is being emptied already always goes first: otherwise each plan would stop others.
    choice.cost = has_image(in.machines[machine], view.image) ? being_emptied : being_emptied / 2;
    if (room.fits(need)) return choice;
    choice.cost = fetch_s(view, machine);
    if (lowest_rank_[machine] >= plan_.order.rank(job)) return std::nullopt;
    auto candidates = candidates_on(job, machine);
    Resources most = room;
    for (auto k : candidates) most += plan_.need_of(in.instances[k]);
    if (!most.fits(need)) return std::nullopt;
    sort_by_cost(candidates);
    for (auto k : candidates) {
        if (room.fits(need)) break;
        room += plan_.need_of(in.instances[k]);
        choice.victims.push_back(k);
        // A gang is stopped whole.
        auto victim = in.instances[k].job;
        bool gang = in.jobs[victim].spec->kind == JobKind::gang;
        double times = gang ? static_cast<double>(by_job_[victim].size()) : 1;
        choice.cost += loss(in.instances[k]) * times;
    }
    return choice;
}

void Preemption::stop(const Choice& choice, std::size_t job) {
    auto& in = plan_.in;
    for (auto k : choice.victims) {
        auto victim = in.instances[k].job;
        bool whole = in.jobs[victim].spec->kind == JobKind::gang;
        for (auto other : whole ? by_job_[victim] : std::vector<std::size_t>{k}) {
            if (stopping_[other]) continue;
            stopping_[other] = true;
            in.machines[in.instances[other].machine].soon += plan_.need_of(in.instances[other]);
            plan_.decisions.stops.push_back({other, job});
            ++plan_.decisions.counts.preempted;
        }
    }
}

// Jobs of one rank and team that need as much find nobody to displace either, until a place is emptied.
bool Preemption::known_stuck(std::size_t job, const PoolSet& pools) const {
    auto& spec = *plan_.in.jobs[job].spec;
    return std::any_of(stuck_.begin(), stuck_.end(), [&](auto& s) {
        auto& other = *plan_.in.jobs[s.job].spec;
        return plan_.order.rank(s.job) == plan_.order.rank(job) && other.team == spec.team &&
               spec.request.fits(other.request) && covers(s.pools, pools);
    });
}

std::optional<std::size_t> Preemption::make_room(std::size_t job, const PoolSet& pools) {
    if (known_stuck(job, pools)) return std::nullopt;
    std::optional<std::size_t> best;
    Choice cheapest;
    plan_.each_machine(plan_.in.jobs[job], pools, [&](auto machine) {
        if (cheapest.cost <= being_emptied) return;
        auto choice = victims_on(job, machine);
        if (!choice || choice->cost >= cheapest.cost) return;
        cheapest = std::move(*choice);
        best = machine;
    });
    if (!best) {
        if (plan_.in.jobs[job].failed_on.empty()) stuck_.push_back({job, pools});
        return std::nullopt;
    }
    stop(cheapest, job);
    plan_.in.machines[*best].reserved += plan_.in.jobs[job].spec->request;
    // A gang that is stopped whole leaves places elsewhere, too.
    if (!cheapest.victims.empty()) stuck_.clear();
    return best;
}

// Undoes the reservations, and the stops after the first so many.
void Preemption::take_back(std::size_t job, const Machines& reserved, std::size_t stops) {
    auto& in = plan_.in;
    auto& decided = plan_.decisions.stops;
    for (auto machine : reserved) in.machines[machine].reserved -= in.jobs[job].spec->request;
    for (; decided.size() > stops; decided.pop_back()) {
        auto k = decided.back().instance;
        stopping_[k] = false;
        in.machines[in.instances[k].machine].soon -= plan_.need_of(in.instances[k]);
        --plan_.decisions.counts.preempted;
    }
    if (!reserved.empty()) stuck_.clear();
}

bool Preemption::make_room_for_all(std::size_t job, const PoolSet& pools) {
    auto stops = plan_.decisions.stops.size();
    Machines reserved;
    for (std::size_t n = 0; n < plan_.in.jobs[job].waiting.size(); ++n) {
        auto machine = make_room(job, pools);
        if (!machine) {
            take_back(job, reserved, stops);
            return false;
        }
        reserved.push_back(*machine);
    }
    return true;
}

}  // namespace coralhitch::scheduler
