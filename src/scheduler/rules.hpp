// Rules that hold for one task on one machine, and measures of room. Pure functions.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Rules that hold for a single task, given where the job's other tasks are.
bool type_allowed(const protocol::Job& job, const std::string& type, const std::string& zone, bool spot);
bool zone_allowed(const protocol::Job& job, const ZoneCounts& zones, std::size_t zone);
// Which of the pools the job may use: what its type, zone and kind allow, and its other tasks at present.
using PoolSet = std::vector<bool>;
PoolSet allowed_pools(const protocol::Job& job, const ZoneCounts& zones, const std::vector<Pool>& pools);
bool has_image(const MachineView& m, std::uint32_t image);
bool team_allows(const config::Team& team, const protocol::Resources& used, const protocol::Resources& more);
// The largest share of a whole machine that `need` takes: processors, GPUs or memory.
double largest_share(const protocol::Resources& request, const protocol::Resources& total);
// The smallest share of a machine that the room is: what can still be used of it by tasks of any shape.
double least_share(const protocol::Resources& room, const protocol::Resources& total);
// Seconds for which a stopped task may save; 0: it has no checkpoints.
double grace_of(const protocol::Job& job);

}  // namespace coralhitch::scheduler
