// What a plan is made from and what it decides: plain values, without behaviour.
#pragma once
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::scheduler {

using protocol::ImageIds;
using protocol::Pool;

struct MachineView {
    std::string id;
    std::size_t pool = 0;
    bool usable = false;
    bool draining = false;  // surplus: used only if there is no room elsewhere
    protocol::Resources free;
    int tasks = 0, services = 0;             // services: those of `tasks` that run until they are cancelled
    std::shared_ptr<const ImageIds> images;  // null: none
    std::vector<std::uint32_t> coming;       // images that it fetches, this plan's starts included
    protocol::Resources soon;                // free, and what is being stopped
    protocol::Resources reserved;            // of `soon`, kept for tasks that wait for places being emptied
};
struct InstanceView {
    std::size_t job = 0, machine = 0;
    std::uint32_t task = 0;
    bool stopping = false;
    double placed = 0, running_since = -1;
};
// How many tasks of a job may be in each zone, by the zone's index.
using ZoneCounts = std::vector<int>;
struct JobView {
    std::shared_ptr<const protocol::Job> spec;
    protocol::Priority priority = protocol::Priority::low;  // its own, or that of a job that needs it
    double submitted = 0;                                   // unix seconds; or since when it could start
    bool startable = true;                                  // not cancelled, not pausing, nothing unexplained
    // Unix seconds at which it should be done, so that it and all that need it are in time.
    double due = std::numeric_limits<double>::infinity();
    std::vector<std::uint32_t> waiting;
    std::size_t open = 0;  // tasks not done
    ZoneCounts zones;      // where tasks may still be
    int active = 0;
    std::uint32_t image = 0;
    std::set<std::string> failed_on;
};
struct Input {
    double now = 0, unix_now = 0;
    std::size_t zones = 0;  // how many there are
    std::vector<Pool> pools;
    std::vector<MachineView> machines;
    std::vector<InstanceView> instances;
    std::vector<JobView> jobs;
    std::map<std::string, protocol::Resources> team_used;
};
struct Start {
    std::size_t job = 0;
    std::uint32_t task = 0;
    std::size_t machine = 0;
};
struct Stop {
    std::size_t instance = 0;
    std::size_t for_job = 0;
};
struct Unplaced {
    std::size_t job = 0, count = 0;
};
struct Counts {
    std::uint64_t tasks = 0, draws = 0, redraws = 0, fallbacks = 0, packed = 0, preempted = 0;
};
struct Decisions {
    std::vector<Start> starts;
    std::vector<Stop> stops;
    std::vector<Unplaced> unplaced;
    Counts counts;
};

}  // namespace coralhitch::scheduler
