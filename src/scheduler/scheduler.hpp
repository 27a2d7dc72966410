// What runs where: a pure function of the cluster state, the jobs and randomness.
//
// The ordinary path is the power of two choices (Mitzenmacher, "On the Analysis of Randomized Load Balancing
// Schemes"): of two suitable machines drawn at random, a task goes to the less loaded one.
#pragma once
#include <random>

#include "config/settings.hpp"
#include "scheduler/rules.hpp"
#include "scheduler/two_choices.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Decides on starts and stops. `input` is used up: it holds what is free and what teams use after the plan.
[[nodiscard]] Decisions plan(Input& input, const config::Settings& settings, std::mt19937_64& random);

}  // namespace coralhitch::scheduler
