// Draws faults from a seed: random ones, and pairs of kinds that follow each other or overlap.
#pragma once
#include <cstdint>
#include <vector>

#include "scenarios/fault.hpp"

namespace coralhitch::simulation {

std::vector<Fault> draw_faults(std::uint64_t seed, std::size_t machines);

// Pairs of kinds, one after the other, overlapping, or the second inside the first. A scenario has
// `pairs_per_scenario` of the `pair_count`, so that seeds 0 to `pair_seeds - 1` have each pair once; further
// ones have them again with other times.
inline constexpr std::size_t pairs_per_scenario = 3;
inline constexpr std::size_t pair_count = fault_kind_count * fault_kind_count;
inline constexpr std::size_t pair_seeds = (pair_count + pairs_per_scenario - 1) / pairs_per_scenario;
// Each pair is next to the other in what this gives: first and second, third and fourth.
std::vector<Fault> draw_fault_pairs(std::uint64_t seed, std::size_t machines);

}  // namespace coralhitch::simulation
