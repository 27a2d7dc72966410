// Placement rules for a single task, and measures of resources. Pure functions.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Returns whether the job allows machines of this type, zone and kind (spot or not).
[[nodiscard]] bool type_allowed(const protocol::Job& job, const std::string& type, const std::string& zone,
                                bool spot);
// Returns whether one more task may be placed in the zone, given the zones of the job's other tasks. With
// `one_zone` all tasks must be in one zone. With `spread` a zone may hold at most half of the job's tasks,
// rounded up.
[[nodiscard]] bool zone_allowed(const protocol::Job& job, const ZoneCounts& zones, std::size_t zone);
// Set of pools: one flag for each pool index.
using PoolSet = std::vector<bool>;
// Returns the pools in which the job's next task may be placed, by `type_allowed` and `zone_allowed`.
[[nodiscard]] PoolSet allowed_pools(const protocol::Job& job, const ZoneCounts& zones,
                                    const std::vector<Pool>& pools);
// Returns whether the image is in the machine's cache.
[[nodiscard]] bool has_image(const MachineView& machine, std::uint32_t image);
// Returns whether a team that uses `used` may use `more` in addition under its hard limit. A limit of 0 means
// that there is none.
[[nodiscard]] bool team_allows(const config::Team& team, const protocol::Resources& used,
                               const protocol::Resources& more);
// Returns the largest share of a whole machine that the request takes, of its processors, GPUs or memory. It
// is greater than 1 if the request does not fit.
[[nodiscard]] double largest_share(const protocol::Resources& request, const protocol::Resources& total);
// Returns the smallest share of a whole machine that is free, of its processors, GPUs or memory, from 0 to 1:
// the part of the machine that tasks of any shape can still use.
[[nodiscard]] double smallest_share(const protocol::Resources& free, const protocol::Resources& total);
// Returns the time that a stopped task gets to save a checkpoint, in seconds; 0 if the job saves none.
[[nodiscard]] double checkpoint_grace_s(const protocol::Job& job);

}  // namespace coralhitch::scheduler
