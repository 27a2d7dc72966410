// Rules that hold for one task on one machine, and measures of resources. Pure functions.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Whether the job may use such a machine at all.
[[nodiscard]] bool type_allowed(const protocol::Job& job, const std::string& type, const std::string& zone,
                                bool spot);
// Whether one more task may go to the zone, given where the job's other tasks are.
[[nodiscard]] bool zone_allowed(const protocol::Job& job, const ZoneCounts& zones, std::size_t zone);
// By pool: whether the job may use it, as its type, zone and kind allow and its other tasks at present.
using PoolSet = std::vector<bool>;
[[nodiscard]] PoolSet allowed_pools(const protocol::Job& job, const ZoneCounts& zones,
                                    const std::vector<Pool>& pools);
[[nodiscard]] bool has_image(const MachineView& machine, std::uint32_t image);
// Whether a team that uses so much may use so much more under its hard limit.
[[nodiscard]] bool team_allows(const config::Team& team, const protocol::Resources& used,
                               const protocol::Resources& more);
// The largest share of a whole machine that the request takes: of its processors, GPUs or memory.
[[nodiscard]] double largest_share(const protocol::Resources& request, const protocol::Resources& total);
// The smallest of these shares, from 0 to 1: what can still be used of free resources by tasks of any shape.
[[nodiscard]] double smallest_share(const protocol::Resources& free, const protocol::Resources& total);
// Seconds that a stopped task gets to save a checkpoint; 0 if it saves none.
[[nodiscard]] double checkpoint_grace_s(const protocol::Job& job);

}  // namespace coralhitch::scheduler
