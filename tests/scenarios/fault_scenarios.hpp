// Runs scenarios: three controllers, machines and users in a simulated cluster into which given faults are
// injected. A scenario that violates an invariant can be shrunk to a small set of faults that still violates
// one.
#pragma once
#include <string>
#include <vector>

#include "scenarios/fault.hpp"

namespace coralhitch::simulation {

// Divisor of the number of seeds that a test runs. With AddressSanitizer a scenario takes ten times as long,
// so only a fifth of the seeds is run.
#ifdef __SANITIZE_ADDRESS__
inline constexpr std::uint64_t seed_count_divisor = 5;
#else
inline constexpr std::uint64_t seed_count_divisor = 1;
#endif

// Submits a job of alternating shape every 2.5 s until the given time (s), so that starts of tasks are in
// flight at any moment. Services are cancelled 30 s after that time, so that all jobs end within the
// scenario.
void submit_steady_jobs(SimulatedCluster& cluster, double until);
// Returns one line for each failure at the end of a scenario: violated invariants, too few started tasks, and
// jobs that were not accepted or have not ended. Refused jobs are not counted.
std::vector<std::string> find_failures(const SimulatedCluster& cluster);

// Counts that are summed over scenarios, whether these fail or not.
struct ScenarioCounts {
    std::size_t answers = 0;  // answers that users received
    std::size_t starts = 0;   // starts of tasks
    // Starts of tasks after the cancellation of their job was confirmed, and within `cancel_s` of it.
    std::size_t starts_after_cancellation = 0;
    std::uint64_t digest = 0;  // hash of all messages of the last scenario
};

// Input of one run: the seed of the simulation, the number of machines at the start, and the faults.
struct Scenario {
    std::uint64_t seed = 1;
    std::size_t machines = 12;
    std::vector<Fault> faults;
};
// Runs the scenario and returns its failures (see find_failures). Adds to `counts` unless it is null.
std::vector<std::string> run_scenario(const Scenario& scenario, ScenarioCounts* counts = nullptr);
// Removes faults from a failing scenario for as long as it still fails, and returns what is left. Runs the
// scenario many times.
Scenario shrink(Scenario scenario);

}  // namespace coralhitch::simulation
