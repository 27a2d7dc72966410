// What the tests of whole clusters have in common.
#pragma once
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "scenarios/fault_scenarios.hpp"

namespace coralhitch::simulation {

inline std::size_t leader_of(const SimulatedCluster& cluster) {
    return cluster.leader().value_or(0);
}
inline std::string host_of(std::size_t node) {
    return "10.0.0." + std::to_string(node + 1);
}
inline std::string host_of(const Worker& worker) {
    return worker.addr.substr(0, worker.addr.find(':'));
}
inline void expect_no_violations(const SimulatedCluster& cluster) {
    for (auto& violation : cluster.violations()) ADD_FAILURE() << violation;
}
inline void expect_no_failures(const SimulatedCluster& cluster) {
    for (auto& failure : find_failures(cluster)) ADD_FAILURE() << failure;
}
// Tasks of the job that machines hold and that have not ended.
inline std::size_t on_machine(const Worker& worker, const std::string& job) {
    auto here = [&](auto& entry) {
        return !worker.dead && entry.second.job == job && entry.second.status != "exited";
    };
    return static_cast<std::size_t>(std::count_if(worker.tasks.begin(), worker.tasks.end(), here));
}
inline std::size_t on_machines(const SimulatedCluster& cluster, const std::string& job) {
    std::size_t n = 0;
    for (auto& worker : cluster.workers) n += on_machine(*worker, job);
    return n;
}
inline std::size_t on_machines(const SimulatedCluster& cluster, const std::string& job,
                               const std::string& zone) {
    std::size_t n = 0;
    for (auto& worker : cluster.workers)
        if (worker->zone == zone) n += on_machine(*worker, job);
    return n;
}
// A service that has one task on each machine, so that none is returned, and takes no GPU.
inline void submit_filler(SimulatedCluster& cluster) {
    cluster.submit("j-9", "service", static_cast<int>(cluster.workers.size()), 0,
                   {{"cards", 0.0}, {"vcpus", 13.0}});
}
// A service of one task for each machine, so that none is returned; each has room for one card more.
inline void keep_machines(SimulatedCluster& cluster) {
    cluster.at(2, [&cluster] {
        cluster.submit("j-9", "service", static_cast<int>(cluster.workers.size()), 0, {{"cards", 3.0}});
    });
}

}  // namespace coralhitch::simulation
