// What runs where: a pure function of the cluster state, the jobs and randomness.
//
// The ordinary path is the power of two choices (Mitzenmacher, "On the Analysis of Randomized Load Balancing
// Schemes"): of two machines with room drawn at random, a task goes to the less loaded one.
#pragma once
#include <random>

#include "config/settings.hpp"
#include "scheduler/rules.hpp"
#include "scheduler/two_choices.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Decides on starts and stops. `in` is used up: it holds the room and the use of teams after the plan.
Decisions plan(Input& in, const config::Settings& settings, std::mt19937_64& random);

}  // namespace coralhitch::scheduler
