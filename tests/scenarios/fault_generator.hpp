// Generates faults from a seed: either random faults, or pairs of kinds that follow each other or overlap.
#pragma once
#include <cstdint>
#include <vector>

#include "scenarios/fault.hpp"

namespace coralhitch::simulation {

// Returns random faults between 20 s and 100 s, ordered by time. The same seed always gives the same faults.
std::vector<Fault> draw_faults(std::uint64_t seed, std::size_t machines);

// The two faults of a pair follow each other, overlap, or the second lies inside the first. Each scenario has
// `pairs_per_scenario` of the `pair_count` pairs of kinds, so the seeds 0 to `pair_seeds - 1` together cover
// every pair. Higher seeds repeat the pairs with other times.
inline constexpr std::size_t pairs_per_scenario = 3;
inline constexpr std::size_t pair_count = fault_kind_count * fault_kind_count;
inline constexpr std::size_t pair_seeds = (pair_count + pairs_per_scenario - 1) / pairs_per_scenario;
// Returns the faults of `pairs_per_scenario` pairs. The two faults of a pair are adjacent: elements 0 and 1
// are the first pair, elements 2 and 3 the second.
std::vector<Fault> draw_fault_pairs(std::uint64_t seed, std::size_t machines);

}  // namespace coralhitch::simulation
