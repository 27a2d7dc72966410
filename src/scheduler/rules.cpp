#include "scheduler/rules.hpp"

#include <algorithm>

namespace coralhitch::scheduler {
using protocol::Resources;

bool type_allowed(const protocol::Job& job, const std::string& type, const std::string& zone, bool spot) {
    if (job.types && std::find(job.types->begin(), job.types->end(), type) == job.types->end()) return false;
    if (job.zone && *job.zone != zone) return false;
    return job.spot || !spot;
}
bool zone_allowed(const protocol::Job& job, const ZoneCounts& zones, std::size_t zone) {
    if (job.one_zone)
        for (std::size_t z = 0; z < zones.size(); ++z)
            if (zones[z] > 0 && z != zone) return false;
    if (job.spread) {
        int there = zone < zones.size() ? zones[zone] : 0;
        if (there + 1 > static_cast<int>((job.tasks + 1) / 2)) return false;
    }
    return true;
}
PoolSet allowed_pools(const protocol::Job& job, const ZoneCounts& zones, const std::vector<Pool>& pools) {
    PoolSet set(pools.size());
    for (std::size_t p = 0; p < set.size(); ++p)
        set[p] = type_allowed(job, pools[p].type, pools[p].zone, pools[p].spot) &&
                 zone_allowed(job, zones, pools[p].zone_index);
    return set;
}
bool has_image(const MachineView& m, std::uint32_t image) {
    return m.images && std::binary_search(m.images->begin(), m.images->end(), image);
}
bool team_allows(const config::Team& team, const Resources& used, const Resources& more) {
    constexpr double slack = 1e-6;
    if (team.cpus_max > 0 && used.cpus + more.cpus > team.cpus_max + slack) return false;
    if (team.gpus_max > 0 && used.gpus + more.gpus > team.gpus_max + slack) return false;
    return true;
}
double least_share(const Resources& room, const Resources& total) {
    double s = 1;
    if (total.cpus > 0) s = std::min(s, room.cpus / total.cpus);
    if (total.gpus > 0) s = std::min(s, room.gpus / total.gpus);
    if (total.memory_gb > 0) s = std::min(s, room.memory_gb / total.memory_gb);
    return std::max(0.0, s);
}
double grace_of(const protocol::Job& job) {
    // Half as long again as the owner says, so that a slow machine still saves.
    return job.checkpoint_interval_s > 0 ? job.checkpoint_save_s * 1.5 + 1 : 0;
}
double largest_share(const Resources& request, const Resources& total) {
    double s = 0;
    if (total.cpus > 0) s = std::max(s, request.cpus / total.cpus);
    if (total.gpus > 0) s = std::max(s, request.gpus / total.gpus);
    if (total.memory_gb > 0) s = std::max(s, request.memory_gb / total.memory_gb);
    return s;
}

}  // namespace coralhitch::scheduler
