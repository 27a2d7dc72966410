// The choice among machines with enough free resources: by tier, then a random draw or the fullest machine.
#pragma once
#include <array>
#include <cstddef>
#include <optional>

#include "scheduler/plan_state.hpp"

namespace coralhitch::scheduler {

// Constraint on the machines on which a job's tasks may start, by the state of the job's image there.
enum class ImageRequirement {
    cached_or_being_fetched,  // only machines that have the image in their cache or are fetching it
    none,                     // any machine
};

// Sets of machines, by tier; lower tiers are preferred. There are two tiers for each `ImageDistance`, of
// which the first holds the suitable machines (see `tier_of`), and a last tier for draining machines.
inline constexpr std::size_t tiers = 9;
inline constexpr std::size_t last_tier = tiers - 1;
using TieredMachines = std::array<Machines, tiers>;

// Returns the tier of a machine for the job, an index of `TieredMachines`.
//
// For a small replica of a service, the suitable machines are those that hold a replica already: when
// replicas were spread over all machines, they kept each machine from being scaled in. Large replicas are not
// packed this way, since a machine holds only a few of them: little is gained, and the loss of one machine
// would take more of them at once. For all other tasks, a machine is suitable unless the task would break up
// free resources in which a whole-machine task fits (`PlanState::splits_whole_machine`).
[[nodiscard]] std::size_t tier_of(const PlanState& plan, const JobView& job, std::size_t machine);

// Chooses a machine from the first set that is not empty: of a few machines drawn at random, the one with the
// fewest tasks. Removes the machine from its set. Returns nothing if all sets are empty.
[[nodiscard]] std::optional<std::size_t> choose_less_loaded(PlanState& plan, TieredMachines& sets);
// Chooses the fullest machine of all sets, and a draining machine only if there is no other. Among equally
// full machines, prefers the one nearest to having the job's image. Removes the machine from its set. Returns
// nothing if all sets are empty.
[[nodiscard]] std::optional<std::size_t> choose_fullest(PlanState& plan, const JobView& job,
                                                        TieredMachines& sets);

}  // namespace coralhitch::scheduler
