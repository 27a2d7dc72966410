#include "scheduler/preemption.hpp"

#include <algorithm>
#include <tuple>

#include "protocol/model.hpp"

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Resources;

namespace {
// Time after the start of an instance within which stopping it has an extra cost.
constexpr double start_loss_heartbeat_periods = 10;
}  // namespace

bool Preemption::Choice::is_better_than(const Choice& other) const {
    return std::tie(source, lost_s) < std::tie(other.source, other.lost_s);
}

Preemption::Preemption(PlanState& plan) : plan_(plan) {
    auto& input = plan_.input;
    stopping_.resize(input.instances.size());
    by_machine_.resize(input.machines.size());
    by_job_.resize(input.jobs.size());
    lowest_rank_.assign(input.machines.size(), std::numeric_limits<int>::max());
    for (std::size_t index = 0; index < input.instances.size(); ++index) {
        auto& instance = input.instances[index];
        stopping_[index] = instance.stopping;
        by_machine_[instance.machine].push_back(index);
        by_job_[instance.job].push_back(index);
        auto& lowest = lowest_rank_[instance.machine];
        lowest = std::min(lowest, plan_.order.rank(instance.job));
    }
}

// Returns the cost of stopping an instance, in seconds of work.
double Preemption::lost_work_s(const InstanceView& instance) const {
    auto& spec = *plan_.input.jobs[instance.job].spec;
    double ran = instance.running_since ? plan_.input.now - *instance.running_since : 0;
    double age = plan_.input.now - instance.placed_at;
    double lost = spec.checkpoint_interval_s > 0 ? spec.checkpoint_save_s : ran;
    // An instance that is stopped soon after its start has gained little from it, and its image is fetched
    // again: the younger the instance, the larger the extra cost.
    return lost + spec.checkpoint_save_s +
           std::max(0.0, plan_.settings.heartbeat_interval_s * start_loss_heartbeat_periods - age);
}

// Returns how long a task of the job would fetch its image on the machine, in seconds. Returns 0 if the image
// is cached or being fetched, or if the pool's fetch rate is not positive.
double Preemption::fetch_s(const JobView& job, std::size_t machine) const {
    double rate = plan_.input.pools[plan_.input.machines[machine].pool].fetch_gb_per_s;
    bool is_nearby = plan_.image_distance(job, machine) <= ImageDistance::being_fetched;
    return rate <= 0 || is_nearby ? 0 : job.spec->image_gb / rate;
}

std::vector<std::size_t> Preemption::preemptible_on(std::size_t job, std::size_t machine) const {
    std::vector<std::size_t> found;
    for (auto instance : by_machine_[machine])
        if (!stopping_[instance] && plan_.order.may_preempt(job, plan_.input.instances[instance].job))
            found.push_back(instance);
    return found;
}

void Preemption::sort_by_cost(std::vector<std::size_t>& candidates) const {
    auto& instances = plan_.input.instances;
    std::sort(candidates.begin(), candidates.end(), [&](auto first, auto second) {
        int first_rank = plan_.order.rank(instances[first].job);
        int second_rank = plan_.order.rank(instances[second].job);
        if (first_rank != second_rank) return first_rank < second_rank;
        return lost_work_s(instances[first]) < lost_work_s(instances[second]);
    });
}

bool Preemption::is_in_gang(std::size_t instance) const {
    return plan_.input.jobs[plan_.input.instances[instance].job].spec->kind == JobKind::gang;
}

// Returns the cheapest instances to stop on a machine so that a task of the job fits there, or nothing if
// even stopping all preemptible instances would not free enough.
std::optional<Preemption::Choice> Preemption::cheapest_on(std::size_t job, std::size_t machine) const {
    auto& input = plan_.input;
    auto& view = input.jobs[job];
    auto& host = input.machines[machine];
    auto& request = view.spec->request;
    if (plan_.takes_withheld_spare(view, machine)) return std::nullopt;
    Resources free = host.free_after_stops;
    free -= host.reserved;
    // A slot that is being freed already is always preferred: otherwise each plan would stop further
    // instances for the same task.
    if (free.fits(request))
        return Choice{{}, has_image(host, view.image) ? Source::stopping_with_image : Source::stopping, 0};
    if (lowest_rank_[machine] >= plan_.order.rank(job)) return std::nullopt;
    auto candidates = preemptible_on(job, machine);
    Resources free_at_most = free;
    for (auto candidate : candidates) free_at_most += plan_.request_of(input.instances[candidate]);
    if (!free_at_most.fits(request)) return std::nullopt;
    sort_by_cost(candidates);
    Choice choice{{}, Source::preemption, fetch_s(view, machine)};
    for (auto victim : candidates) {
        if (free.fits(request)) break;
        auto& instance = input.instances[victim];
        free += plan_.request_of(instance);
        choice.victims.push_back(victim);
        // If one instance of a gang is stopped, all others are stopped too.
        double stopped_instances = is_in_gang(victim) ? static_cast<double>(by_job_[instance.job].size()) : 1;
        choice.lost_s += lost_work_s(instance) * stopped_instances;
    }
    return choice;
}

void Preemption::stop(const Choice& choice, std::size_t job) {
    auto& input = plan_.input;
    for (auto victim : choice.victims) {
        auto victims = is_in_gang(victim) ? by_job_[input.instances[victim].job] : std::vector{victim};
        for (auto index : victims) {
            if (stopping_[index]) continue;
            stopping_[index] = true;
            auto& instance = input.instances[index];
            input.machines[instance.machine].free_after_stops += plan_.request_of(instance);
            plan_.decisions.stops.push_back({index, job});
            ++plan_.decisions.counts.preempted;
        }
    }
}

// Returns whether preemption failed earlier for a job of the same rank and team whose request was no larger.
// It fails for this job too, until a further slot is freed.
bool Preemption::is_known_to_fail(std::size_t job, const PoolSet& pools) const {
    auto& spec = *plan_.input.jobs[job].spec;
    return std::any_of(failed_.begin(), failed_.end(), [&](auto& failed) {
        auto& other = *plan_.input.jobs[failed.job].spec;
        return plan_.order.rank(failed.job) == plan_.order.rank(job) && other.team == spec.team &&
               spec.request.fits(other.request) && covers(failed.pools, pools);
    });
}

std::optional<std::size_t> Preemption::reserve_slot(std::size_t job, const PoolSet& pools) {
    if (is_known_to_fail(job, pools)) return std::nullopt;
    std::optional<std::size_t> best;
    Choice cheapest;
    plan_.for_each_machine(plan_.input.jobs[job], pools, [&](auto machine) {
        if (cheapest.source == Source::stopping_with_image) return;
        auto choice = cheapest_on(job, machine);
        if (!choice || !choice->is_better_than(cheapest)) return;
        cheapest = std::move(*choice);
        best = machine;
    });
    if (!best) {
        if (plan_.input.jobs[job].failed_on.empty()) failed_.push_back({job, pools});
        return std::nullopt;
    }
    stop(cheapest, job);
    plan_.input.machines[*best].reserved += plan_.input.jobs[job].spec->request;
    // The stopped instances may free further slots, on other machines too if a whole gang was stopped.
    if (!cheapest.victims.empty()) failed_.clear();
    return best;
}

// Undoes the job's reservations on the `reserved` machines, and all stops of the plan after the first
// `stops`.
void Preemption::undo(std::size_t job, const Machines& reserved, std::size_t stops) {
    auto& input = plan_.input;
    auto& decided = plan_.decisions.stops;
    for (auto machine : reserved) input.machines[machine].reserved -= input.jobs[job].spec->request;
    for (; decided.size() > stops; decided.pop_back()) {
        auto index = decided.back().instance;
        auto& instance = input.instances[index];
        stopping_[index] = false;
        input.machines[instance.machine].free_after_stops -= plan_.request_of(instance);
        --plan_.decisions.counts.preempted;
    }
    if (!reserved.empty()) failed_.clear();
}

bool Preemption::reserve_slots_for_gang(std::size_t job, const PoolSet& pools) {
    auto stops = plan_.decisions.stops.size();
    Machines reserved;
    for (std::size_t count = 0; count < plan_.input.jobs[job].waiting_tasks.size(); ++count) {
        auto machine = reserve_slot(job, pools);
        if (!machine) {
            undo(job, reserved, stops);
            return false;
        }
        reserved.push_back(*machine);
    }
    return true;
}

}  // namespace coralhitch::scheduler
