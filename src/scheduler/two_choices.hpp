// The power of two choices: the least loaded of a few machines drawn at random.
#pragma once
#include <functional>
#include <optional>
#include <random>

#include "config/settings.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Two random choices among `n` machines: draws at random, skips those without room, and returns the one with
// the least load; after some fruitless rounds, the first that has room.
std::optional<std::size_t> draw(std::size_t n, const std::function<bool(std::size_t)>& has_room,
                                const std::function<double(std::size_t)>& load, const config::Operator& op,
                                std::mt19937_64& random, Counts& counts);

}  // namespace coralhitch::scheduler
