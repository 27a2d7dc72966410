// What to rent and what to return: a pure function of machines and unmet need.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::autoscaler {

struct MachineView {
    std::string id;
    std::size_t pool = 0;
    bool booting = false;
    protocol::Resources free;
    bool empty = false;
    bool draining = false;  // lately chosen to be emptied
    int tasks = 0, services = 0;
    double idle_for = 0;
    bool suspected = false;  // not heard when it should have been; it may speak any moment
};
struct UnplacedDemand {
    const protocol::Job* job = nullptr;
    std::size_t count = 0;
    scheduler::ZoneCounts zones;
};
struct Input {
    std::vector<protocol::MachineType> types;
    std::size_t zones = 0;               // how many there are
    std::vector<scheduler::Pool> pools;  // all that the types allow, and any other that has machines
    std::vector<MachineView> machines;   // those that can be counted on, now or soon
    std::size_t others = 0;  // that exist beside them: not reconciled, about to be taken or deleted
    std::vector<UnplacedDemand> needs;
    std::set<std::size_t> refused;  // pools lately without capacity
    std::vector<bool> dark;         // zones from which nothing is heard
};
struct ScaleOutRequest {
    std::size_t pool = 0;
    int count = 0;
};
struct Decisions {
    std::vector<ScaleOutRequest> rents;
    std::vector<std::string> returns;
    std::set<std::string> drains;  // surplus: nothing new goes there while there is room elsewhere
};

Decisions plan(const Input& in, const config::Settings& settings);

}  // namespace coralhitch::autoscaler
