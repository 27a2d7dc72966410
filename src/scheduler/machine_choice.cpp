#include "scheduler/machine_choice.hpp"

#include <limits>

#include "protocol/model.hpp"
#include "scheduler/two_choices.hpp"

namespace coralhitch::scheduler {

namespace {
// Replicas that take at most this share of a machine are placed on machines that hold replicas already.
constexpr double small_replica_share = 0.25;

std::size_t remove_at(Machines& set, std::size_t at) {
    auto machine = set[at];
    set[at] = set.back();
    set.pop_back();
    return machine;
}

// Returns a score that is lowest for the fullest machine. Among equally full machines, it is lowest for the
// one nearest to having the job's image.
double emptiness(const PlanState& plan, const JobView& job, std::size_t machine) {
    constexpr double tie_breaker = 1e-3;
    double left = largest_share(plan.available(machine), plan.total(machine));
    return left + tie_breaker * static_cast<double>(plan.image_distance(job, machine));
}
}  // namespace

std::size_t tier_of(const PlanState& plan, const JobView& job, std::size_t machine) {
    auto& view = plan.input.machines[machine];
    if (view.draining) return last_tier;
    bool is_small_replica = job.spec->kind == protocol::JobKind::service &&
                            largest_share(job.spec->request, plan.total(machine)) <= small_replica_share;
    bool suitable = is_small_replica ? view.services > 0 : !plan.splits_whole_machine(*job.spec, machine);
    return 2 * static_cast<std::size_t>(plan.image_distance(job, machine)) + (suitable ? 0 : 1);
}

std::optional<std::size_t> choose_less_loaded(PlanState& plan, TieredMachines& sets) {
    for (auto& set : sets) {
        auto is_suitable = [](std::size_t) { return true; };
        auto load = [&](std::size_t at) { return plan.input.machines[set[at]].tasks; };
        auto at = draw(set.size(), is_suitable, load, plan.settings.op, plan.random, plan.decisions.counts);
        if (at) return remove_at(set, *at);
    }
    return std::nullopt;
}

std::optional<std::size_t> choose_fullest(PlanState& plan, const JobView& job, TieredMachines& sets) {
    Machines* from = nullptr;
    std::size_t at = 0;
    double least = std::numeric_limits<double>::max();
    for (std::size_t tier = 0; tier < tiers; ++tier) {
        if (tier == last_tier && from) break;
        for (std::size_t i = 0; i < sets[tier].size(); ++i) {
            double left = emptiness(plan, job, sets[tier][i]);
            if (left >= least) continue;
            least = left;
            from = &sets[tier];
            at = i;
        }
    }
    if (!from) return std::nullopt;
    ++plan.decisions.counts.packed;
    return remove_at(*from, at);
}

}  // namespace coralhitch::scheduler
