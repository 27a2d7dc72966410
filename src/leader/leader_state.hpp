// What the leader knows: the machines with what runs on them, and the live jobs.
//
// The event loop's thread alone changes both, and holds `mutex` while it does; it reads without. The
// planner's thread only reads, and holds `mutex` while it does.
#pragma once
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "jobs/job_table.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {

struct LeaderState {
    LeaderState(std::uint64_t fencing_token, const std::vector<protocol::MachineType>& types, double value_kb)
        : cluster(fencing_token, types), jobs(value_kb) {}
    // The index of the machine's zone among those of the cluster state.
    [[nodiscard]] std::size_t zone_of(const cluster::Machine& machine) const {
        return cluster.pools()[machine.pool].zone_index;
    }

    std::mutex mutex;
    cluster::ClusterState cluster;
    jobs::JobTable jobs;
};

}  // namespace coralhitch::leader
