#include "scenarios/fault_scenarios.hpp"

#include <algorithm>

#include "scenarios/pipeline_generator.hpp"

namespace coralhitch::simulation {
namespace {

constexpr double submissions_until_s = 110, scenario_s = 280, long_fault_s = 20;
constexpr int submit_tries_in_long_faults = 200;

Options options_for(const Scenario& scenario) {
    Options options;
    options.seed = scenario.seed;
    options.machines = scenario.machines;
    // Each machine has four GPUs. Services take 18 GPUs in all.
    options.free_gpus_max = 2.5 * static_cast<double>(scenario.machines);
    // Users must retry their submissions for longer than the longest fault lasts.
    for (auto& fault : scenario.faults)
        if (fault.for_s > long_fault_s) options.submit_tries = submit_tries_in_long_faults;
    return options;
}

std::string job_id(int number) {
    return "j-" + std::to_string(100 + number);
}
void submit_numbered_job(SimulatedCluster& cluster, int number) {
    auto id = job_id(number);
    if (number % 5 == 0) cluster.submit(id, "service", 2, 0, {{"driftwood", false}, {"scatter", true}});
    if (number % 5 == 1) cluster.submit(id, "gang", 3, 6, {{"together", true}, {"crew", "tight"}});
    if (number % 5 >= 2) cluster.submit(id, "batch", 6, 4, {{"crew", number % 2 ? "tight" : "free"}});
    if (number % 7 == 3) cluster.at(cluster.now() + 6, [&cluster, id] { cluster.cancel(id); });
}
}  // namespace

void submit_steady_jobs(SimulatedCluster& cluster, double until) {
    constexpr double first_s = 2, period_s = 2.5, services_end_after_s = 30;
    int number = 0;
    for (double time = first_s; time < until; time += period_s, ++number)
        cluster.at(time, [&cluster, number] { submit_numbered_job(cluster, number); });
    for (int service = 0; service < number; service += 5)
        cluster.at(until + services_end_after_s, [&cluster, service] { cluster.cancel(job_id(service)); });
}
std::vector<std::string> find_failures(const SimulatedCluster& cluster) {
    constexpr std::size_t min_starts = 40;
    auto failures = cluster.violations();
    if (cluster.starts <= min_starts) failures.push_back("hardly anything was started");
    for (auto& [id, job] : cluster.jobs) {
        if (job.refused) continue;
        if (!job.accepted) failures.push_back(id + " was not accepted");
        if (!job.done && !job.cancelled) failures.push_back(id + " has not ended");
    }
    return failures;
}

std::vector<std::string> run_scenario(const Scenario& scenario, ScenarioCounts* counts) {
    SimulatedCluster cluster(options_for(scenario));
    submit_steady_jobs(cluster, submissions_until_s);
    schedule_pipeline(cluster, draw_pipeline(scenario.seed));
    cluster.faults_over_at = 0;
    for (auto& fault : scenario.faults) {
        cluster.at(fault.at, [&cluster, fault] { inject(cluster, fault); });
        cluster.faults_over_at = std::max(cluster.faults_over_at, fault.until());
    }
    cluster.run_until(scenario_s);
    if (counts) {
        counts->answers += cluster.answers;
        counts->starts += cluster.starts;
        counts->starts_after_cancellation += cluster.starts_after_cancellation();
        counts->digest = cluster.digest.value();
    }
    return find_failures(cluster);
}
Scenario shrink(Scenario scenario) {
    auto& faults = scenario.faults;
    for (std::size_t part = std::max<std::size_t>(1, faults.size() / 2); part > 0; part /= 2)
        for (std::size_t first = 0; first + part <= faults.size();) {
            auto fewer = scenario;
            auto begin = fewer.faults.begin() + static_cast<std::ptrdiff_t>(first);
            fewer.faults.erase(begin, begin + static_cast<std::ptrdiff_t>(part));
            if (run_scenario(fewer).empty())
                first += part;
            else
                faults = std::move(fewer.faults);
        }
    return scenario;
}

}  // namespace coralhitch::simulation
