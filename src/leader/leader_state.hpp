// The state that all parts of the leader share: the machines with their instances, and the live jobs.
//
// Only the event loop's thread changes the state. It locks `mutex` for changes, and reads without the lock.
// The planner's thread only reads the state, and locks `mutex` while it reads.
#pragma once
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "jobs/job_table.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::leader {

// Cluster state and job table of one leadership, with the mutex that protects both.
struct LeaderState {
    LeaderState(protocol::LeaderVersion fencing_token, const std::vector<protocol::MachineType>& types,
                double value_kb)
        : cluster(fencing_token, types), jobs(value_kb) {}
    // Returns the index of the machine's zone in the cluster state.
    [[nodiscard]] std::size_t zone_of(const cluster::Machine& machine) const {
        return cluster.pools()[machine.pool].zone_index;
    }

    std::mutex mutex;
    cluster::ClusterState cluster;
    jobs::JobTable jobs;
};

}  // namespace coralhitch::leader
