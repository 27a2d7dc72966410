// Helpers shared by the scenario tests: lookups in the simulated cluster, checks and common jobs.
#pragma once
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "scenarios/fault_scenarios.hpp"

namespace coralhitch::simulation {

// Returns the index of the current leader, or 0 if no controller leads.
inline std::size_t leader_of(const SimulatedCluster& cluster) {
    return cluster.leader().value_or(0);
}
// Returns the IP address of a controller.
inline std::string host_of(std::size_t node) {
    return "10.0.0." + std::to_string(node + 1);
}
// Returns the IP address of a worker, without the port.
inline std::string host_of(const Worker& worker) {
    return worker.addr.substr(0, worker.addr.find(':'));
}
// Fails the test once for each violated invariant.
inline void expect_no_violations(const SimulatedCluster& cluster) {
    for (auto& violation : cluster.violations()) ADD_FAILURE() << violation;
}
// Fails the test once for each failure of the scenario (see find_failures).
inline void expect_no_failures(const SimulatedCluster& cluster) {
    for (auto& failure : find_failures(cluster)) ADD_FAILURE() << failure;
}
// Returns the number of the job's tasks that this machine holds and that have not exited, 0 if the machine is
// dead.
inline std::size_t tasks_on_machine(const Worker& worker, const std::string& job) {
    auto here = [&](auto& entry) {
        return !worker.dead && entry.second.job == job && entry.second.status != "exited";
    };
    return static_cast<std::size_t>(std::count_if(worker.tasks.begin(), worker.tasks.end(), here));
}
// Returns the number of the job's tasks on all machines that have not exited.
inline std::size_t tasks_on_machines(const SimulatedCluster& cluster, const std::string& job) {
    std::size_t count = 0;
    for (auto& worker : cluster.workers) count += tasks_on_machine(*worker, job);
    return count;
}
// Returns the number of the job's tasks on the machines of one zone that have not exited.
inline std::size_t tasks_on_machines(const SimulatedCluster& cluster, const std::string& job,
                                     const std::string& zone) {
    std::size_t count = 0;
    for (auto& worker : cluster.workers)
        if (worker->zone == zone) count += tasks_on_machine(*worker, job);
    return count;
}
// Submits the service j-9 with one task for each machine, so that no machine is idle and returned to the
// cloud. The service takes no GPU.
inline void submit_service_on_every_machine(SimulatedCluster& cluster) {
    cluster.submit("j-9", "service", static_cast<int>(cluster.workers.size()), 0,
                   {{"cards", 0.0}, {"vcpus", 13.0}});
}
// Submits the service j-9 at 2 s with one task for each machine, so that no machine is idle and returned to
// the cloud. One GPU of each machine stays free.
inline void schedule_service_on_every_machine(SimulatedCluster& cluster) {
    cluster.at(2, [&cluster] {
        cluster.submit("j-9", "service", static_cast<int>(cluster.workers.size()), 0, {{"cards", 3.0}});
    });
}

}  // namespace coralhitch::simulation
