// The power of two choices: the least loaded of a few machines drawn at random.
#pragma once
#include <cstddef>
#include <functional>
#include <optional>
#include <random>

#include "config/settings.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Draws from the indices 0 to `machines - 1` at random, skips machines that are not suitable, and returns the
// drawn machine with the least load. If all rounds of draws find no suitable machine, returns the first
// suitable one, or nothing if no machine is suitable. The operators' settings `draws` and `draw_rounds` limit
// the draws in a round and the rounds. Adds the draws, redraws and fallbacks to `counts`.
[[nodiscard]] std::optional<std::size_t> draw(std::size_t machines,
                                              const std::function<bool(std::size_t)>& is_suitable,
                                              const std::function<double(std::size_t)>& load,
                                              const config::Operator& op, std::mt19937_64& random,
                                              PlanCounts& counts);

}  // namespace coralhitch::scheduler
