// The power of two choices: the least loaded of a few machines drawn at random.
#pragma once
#include <cstddef>
#include <functional>
#include <optional>
#include <random>

#include "config/settings.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Draws among `machines` machines at random, skips those that are not suitable, and returns the one with the
// least load; after some fruitless rounds, the first that is suitable. Nothing: none is suitable. How many
// are drawn a round and how many rounds there are is up to the operators.
[[nodiscard]] std::optional<std::size_t> draw(std::size_t machines,
                                              const std::function<bool(std::size_t)>& is_suitable,
                                              const std::function<double(std::size_t)>& load,
                                              const config::Operator& op, std::mt19937_64& random,
                                              PlanCounts& counts);

}  // namespace coralhitch::scheduler
