// The choice among machines with room: by tiers, at random or the fullest.
#pragma once
#include <array>
#include <optional>

#include "scheduler/plan_state.hpp"

namespace coralhitch::scheduler {

// The draws are made from the first of these sets that has a machine with room: by how near the image is, and
// those that are fitting first. Surplus machines come last.
inline constexpr std::size_t tiers = 9;
inline constexpr std::size_t last_tier = tiers - 1;
using TieredMachines = std::array<Machines, tiers>;

// Fitting for a task that ends are machines whose room for whole-machine tasks it leaves whole; for a
// replica, which stays, those that hold one already: spread over all machines, replicas kept each of them
// from being returned. Not where a machine holds only a few: little is gained there, and a machine that dies
// takes more of them at once.
std::size_t tier_of(const PlanState& plan, const JobView& job, std::size_t machine);

// Each takes the machine out of its set; none if all sets are empty. The load measure is the number of tasks.
std::optional<std::size_t> choose_of_two(PlanState& plan, TieredMachines& sets);
std::optional<std::size_t> choose_fullest(PlanState& plan, const JobView& job, TieredMachines& sets);

}  // namespace coralhitch::scheduler
