// What runs where: a pure function of the picture, the jobs and randomness.
//
// The ordinary path is the power of two choices (Mitzenmacher, "On the Analysis of Randomized Load Balancing
// Schemes"): of two machines with room drawn at random, a task goes to the less loaded one.
#pragma once
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "wire/model.hpp"

namespace coralhitch::placement {

using wire::Images;
using wire::Pool;
struct MachineView {
    std::string id;
    std::size_t pool = 0;
    bool usable = false;
    bool draining = false;  // surplus: used only if there is no room elsewhere
    wire::Room free;
    int tasks = 0, services = 0;           // services: those of `tasks` that run until they are cancelled
    std::shared_ptr<const Images> images;  // null: none
    std::vector<std::uint32_t> coming;     // images that it fetches, this plan's starts included
    wire::Room soon;                       // free, and what is being stopped
    wire::Room reserved;                   // of `soon`, kept for tasks that wait for places being emptied
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
    std::shared_ptr<const wire::Job> spec;
    wire::Priority priority = wire::Priority::low;  // its own, or that of a job that needs it
    double submitted = 0;                           // unix seconds; or since when it could start
    bool startable = true;                          // not cancelled, not pausing, nothing unexplained
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
    std::map<std::string, wire::Room> team_used;
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

// Rules that hold for a single task, given where the job's other tasks are.
bool type_allowed(const wire::Job& job, const std::string& type, const std::string& zone, bool spot);
bool zone_allowed(const wire::Job& job, const ZoneCounts& zones, std::size_t zone);
// Which of the pools the job may use: what its type, zone and kind allow, and its other tasks at present.
using PoolSet = std::vector<bool>;
PoolSet allowed_pools(const wire::Job& job, const ZoneCounts& zones, const std::vector<Pool>& pools);
bool has_image(const MachineView& m, std::uint32_t image);
bool team_allows(const config::Team& team, const wire::Room& used, const wire::Room& more);
// The smallest share of a machine that the room is: what can still be used of it by tasks of any shape.
double least_share(const wire::Room& room, const wire::Room& total);
double grace_of(const wire::Job& job);
// Two random choices among `n` machines: draws at random, skips those without room, and returns the one with
// the least load; after some fruitless rounds, the first that has room.
std::optional<std::size_t> draw(std::size_t n, const std::function<bool(std::size_t)>& has_room,
                                const std::function<double(std::size_t)>& load, const config::Operator& op,
                                std::mt19937_64& random, Counts& counts);

Decisions plan(Input& in, const config::Settings& settings, std::mt19937_64& random);

}  // namespace coralhitch::placement
