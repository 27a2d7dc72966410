// The scheduler: decides which tasks start on which machines. A pure function of the cluster state, the jobs
// and a random number generator.
//
// Most tasks are placed by the power of two choices (Mitzenmacher, "On the Analysis of Randomized Load
// Balancing Schemes"): of two suitable machines drawn at random, a task goes to the less loaded one.
#pragma once
#include <random>

#include "config/settings.hpp"
#include "scheduler/rules.hpp"
#include "scheduler/two_choices.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Returns the tasks to start and the instances to stop. Modifies `input`: afterwards it holds the resources
// that are free, and those that teams use, once the plan has been carried out.
[[nodiscard]] Decisions plan(Input& input, const config::Settings& settings, std::mt19937_64& random);

}  // namespace coralhitch::scheduler
