#include "scheduler/machine_choice.hpp"

#include <limits>

#include "protocol/model.hpp"
#include "scheduler/two_choices.hpp"

namespace coralhitch::scheduler {

namespace {
constexpr double small_replica_share = 0.25;  // replicas that take at most this share go together

std::size_t take_out(Machines& set, std::size_t at) {
    auto machine = set[at];
    set[at] = set.back();
    set.pop_back();
    return machine;
}

// How empty a machine is, for a task that goes to the fullest. Equally full: the one that is nearest to
// having the image.
double emptiness(const PlanState& plan, const JobView& job, std::size_t machine) {
    constexpr double tie_breaker = 1e-3;
    double left = largest_share(plan.open_room(machine), plan.total(machine));
    return left + tie_breaker * static_cast<double>(plan.image_distance(job, machine));
}
}  // namespace

std::size_t tier_of(const PlanState& plan, const JobView& job, std::size_t machine) {
    auto& view = plan.in.machines[machine];
    if (view.draining) return last_tier;
    bool stays = job.spec->kind == protocol::JobKind::service &&
                 largest_share(job.spec->request, plan.total(machine)) <= small_replica_share;
    bool fitting = stays ? view.services > 0 : !plan.breaks_up(*job.spec, machine);
    return 2 * static_cast<std::size_t>(plan.image_distance(job, machine)) + (fitting ? 0 : 1);
}

std::optional<std::size_t> choose_of_two(PlanState& plan, TieredMachines& sets) {
    for (auto& set : sets) {
        auto at = draw(
            set.size(), [](std::size_t) { return true; },
            [&](std::size_t i) { return plan.in.machines[set[i]].tasks; }, plan.settings.op, plan.random,
            plan.decisions.counts);
        if (at) return take_out(set, *at);
    }
    return std::nullopt;
}

std::optional<std::size_t> choose_fullest(PlanState& plan, const JobView& job, TieredMachines& sets) {
    Machines* from = nullptr;
    std::size_t at = 0;
    double least = std::numeric_limits<double>::max();
    for (std::size_t tier = 0; tier < tiers; ++tier) {
        if (tier == last_tier && from) break;
        for (std::size_t k = 0; k < sets[tier].size(); ++k) {
            double left = emptiness(plan, job, sets[tier][k]);
            if (left >= least) continue;
            least = left;
            from = &sets[tier];
            at = k;
        }
    }
    if (!from) return std::nullopt;
    ++plan.decisions.counts.packed;
    return take_out(*from, at);
}

}  // namespace coralhitch::scheduler
