// Scenarios of three controllers, machines and users in a simulated cluster, among given faults. One that
// breaks a rule is shrunk to the fewest faults that still do.
#pragma once
#include <string>
#include <vector>

#include "scenarios/fault.hpp"

namespace coralhitch::simulation {

// Under the sanitizers a scenario takes ten times as long: a part of the seeds must do.
#ifdef __SANITIZE_ADDRESS__
inline constexpr std::uint64_t seeds_part = 5;
#else
inline constexpr std::uint64_t seeds_part = 1;
#endif

// Jobs of every kind come all the time, so that starts are on their way at any moment; all crash in time.
void submit_steady_jobs(SimulatedCluster& cluster, double until);
// What is wrong at the end: rules that were broken, jobs that were not accepted or have not ended.
std::vector<std::string> find_failures(const SimulatedCluster& cluster);

// What scenarios have had besides broken rules.
struct ScenarioCounts {
    std::size_t answers = 0;  // that users got
    std::size_t starts = 0;   // of tasks
    // After the cancellation was confirmed, and within `cancel_s` of it.
    std::size_t starts_after_cancellation = 0;
    std::uint64_t digest = 0;  // of the messages of the last scenario
};

struct Scenario {
    std::uint64_t seed = 1;
    std::size_t machines = 12;
    std::vector<Fault> faults;
};
// What is wrong at its end; adds to the counts, if there are any.
std::vector<std::string> run_scenario(const Scenario& scenario, ScenarioCounts* counts = nullptr);
// With the fewest faults with which something is still wrong.
Scenario shrink(Scenario scenario);

}  // namespace coralhitch::simulation
