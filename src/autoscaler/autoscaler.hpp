// The autoscaler: decides how many machines of which pools to create and which machines to delete. A pure
// function of the existing machines and of the demand that the scheduler could not place. No I/O, no clock,
// no randomness.
//
// Pools are identified by their index in `Input::pools`, zones by their index in the cluster state. Spare
// capacity is measured in machines.
#pragma once
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::autoscaler {

// A machine that is, or will soon be, available for tasks.
struct MachineView {
    std::string id;  // name of the request while the machine has only been requested
    std::size_t pool = 0;
    bool booting = false;
    protocol::Resources free;  // ignored while the machine boots
    bool empty = false;
    bool draining = false;   // chosen by a recent plan to become empty
    int tasks = 0;           // instances on the machine
    int services = 0;        // instances in `tasks` that belong to services
    double idle_s = 0;       // seconds without a task; for a booting machine, seconds since its creation
    bool suspected = false;  // has missed heartbeats, but its next one may arrive at any time
};

// Tasks of one job that the scheduler could not place.
struct UnplacedDemand {
    const protocol::Job* job = nullptr;  // must outlive the input
    std::size_t count = 0;               // number of unplaced tasks
    scheduler::ZoneCounts zones;         // number of the job's other tasks by zone
};

// Everything that one plan of the autoscaler is made from.
struct Input {
    std::vector<protocol::MachineType> types;
    std::size_t zones = 0;               // number of zones
    std::vector<scheduler::Pool> pools;  // all pools that the types allow, and any other pool with machines
    std::vector<MachineView> machines;   // machines that are, or will soon be, available for tasks
    // Number of further existing machines, which are not available: not yet reconciled, or about to be
    // preempted or deleted. They count against the operators' limit.
    std::size_t other_machines = 0;
    std::vector<UnplacedDemand> demand;
    std::set<std::size_t>
        pools_without_capacity;           // pools that lacked capacity recently; none is created there
    std::vector<bool> unreachable_zones;  // by zone index: no machine's heartbeats arrive
};

// Request to create machines of one pool.
struct ScaleOutRequest {
    std::size_t pool = 0;
    int count = 0;
};

// The decisions of one plan.
struct Decisions {
    std::vector<ScaleOutRequest> scale_out;
    std::vector<std::string> scale_in;  // ids of the machines to delete
    // Ids of machines that are to become empty: tasks start there only if no other machine has enough free
    // resources.
    std::set<std::string> drain;
};

// Returns the machines to create, delete and drain. Deletes and drains none if any machine has to be created.
[[nodiscard]] Decisions plan(const Input& input, const config::Settings& settings);

}  // namespace coralhitch::autoscaler
