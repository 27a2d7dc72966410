// How many machines of which pools to create, and which to delete: a pure function of the machines that exist
// and of the demand that found no place. No I/O, no clock, no randomness.
//
// Pools are indices of `Input::pools`, zones those of the cluster state. Spare capacity is counted in
// machines.
#pragma once
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::autoscaler {

struct MachineView {
    std::string id;  // of one that is only requested so far: the request's name
    std::size_t pool = 0;
    bool booting = false;
    protocol::Resources free;  // not looked at while it boots
    bool empty = false;
    bool draining = false;  // lately chosen to become empty
    int tasks = 0;
    int services = 0;        // of `tasks`: those that run until they are cancelled
    double idle_s = 0;       // without a task for so many seconds; if it boots, since it was created
    bool suspected = false;  // missed heartbeats; it may send the next one any moment
};

// Tasks of one job that found no place.
struct UnplacedDemand {
    const protocol::Job* job = nullptr;  // must outlive the input
    std::size_t count = 0;
    scheduler::ZoneCounts zones;  // of the job's other tasks
};

struct Input {
    std::vector<protocol::MachineType> types;
    std::size_t zones = 0;               // how many there are
    std::vector<scheduler::Pool> pools;  // all that the types allow, and any other that has machines
    std::vector<MachineView> machines;   // those that can be counted on, now or soon
    std::size_t other_machines = 0;      // that exist too: not reconciled, about to be taken or deleted
    std::vector<UnplacedDemand> demand;
    std::set<std::size_t> pools_without_capacity;  // lately; nothing is requested there
    std::vector<bool> unreachable_zones;           // by zone: no machine's heartbeats arrive
};

struct ScaleOutRequest {
    std::size_t pool = 0;
    int count = 0;
};

struct Decisions {
    std::vector<ScaleOutRequest> scale_out;
    std::vector<std::string> scale_in;  // machines to delete
    // Machines that become empty in time: nothing new starts there while there are free resources elsewhere.
    std::set<std::string> drain;
};

// Scales in only if nothing has to be scaled out.
[[nodiscard]] Decisions plan(const Input& input, const config::Settings& settings);

}  // namespace coralhitch::autoscaler
