// The choice among machines with enough free resources: by tiers, at random or the fullest. Functions only.
#pragma once
#include <array>
#include <cstddef>
#include <optional>

#include "scheduler/plan_state.hpp"

namespace coralhitch::scheduler {

// On which machines a job's tasks may start, as far as its image goes.
enum class ImageRequirement {
    cached_or_being_fetched,  // only where it is, or is being fetched
    none,
};

// Machines are drawn from the first of these sets that is not empty: by how near the image is, and those that
// are suitable first. Surplus machines come last.
inline constexpr std::size_t tiers = 9;
inline constexpr std::size_t last_tier = tiers - 1;
using TieredMachines = std::array<Machines, tiers>;

// Suitable for a task that ends are machines on which a whole-machine task still fits beside it; for a
// replica, which stays, those that hold one already: spread over all machines, replicas kept each of them
// from being scaled in. Not where a machine holds only a few: little is gained there, and a machine that dies
// takes more of them at once.
[[nodiscard]] std::size_t tier_of(const PlanState& plan, const JobView& job, std::size_t machine);

// Each takes the machine out of its set; none if all sets are empty. The load measure is the number of tasks.
[[nodiscard]] std::optional<std::size_t> choose_less_loaded(PlanState& plan, TieredMachines& sets);
[[nodiscard]] std::optional<std::size_t> choose_fullest(PlanState& plan, const JobView& job,
                                                        TieredMachines& sets);

}  // namespace coralhitch::scheduler
