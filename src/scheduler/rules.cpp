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
        for (std::size_t other = 0; other < zones.size(); ++other)
            if (zones[other] > 0 && other != zone) return false;
    if (job.spread) {
        int tasks_in_zone = zone < zones.size() ? zones[zone] : 0;
        if (tasks_in_zone + 1 > static_cast<int>((job.tasks + 1) / 2)) return false;
    }
    return true;
}

PoolSet allowed_pools(const protocol::Job& job, const ZoneCounts& zones, const std::vector<Pool>& pools) {
    PoolSet allowed;
    allowed.reserve(pools.size());
    for (auto& pool : pools)
        allowed.push_back(type_allowed(job, pool.type, pool.zone, pool.spot) &&
                          zone_allowed(job, zones, pool.zone_index));
    return allowed;
}

bool has_image(const MachineView& machine, std::uint32_t image) {
    return machine.images && std::binary_search(machine.images->begin(), machine.images->end(), image);
}

bool team_allows(const config::Team& team, const Resources& used, const Resources& more) {
    constexpr double slack = 1e-6;
    if (team.cpus_max > 0 && used.cpus + more.cpus > team.cpus_max + slack) return false;
    if (team.gpus_max > 0 && used.gpus + more.gpus > team.gpus_max + slack) return false;
    return true;
}

double smallest_share(const Resources& free, const Resources& total) {
    double share = 1;
    if (total.cpus > 0) share = std::min(share, free.cpus / total.cpus);
    if (total.gpus > 0) share = std::min(share, free.gpus / total.gpus);
    if (total.memory_gb > 0) share = std::min(share, free.memory_gb / total.memory_gb);
    return std::max(0.0, share);
}

double checkpoint_grace_s(const protocol::Job& job) {
    // 50 % more time than the job's owner states, so that a slow machine can finish saving.
    constexpr double save_margin = 1.5, extra_s = 1;
    return job.checkpoint_interval_s > 0 ? job.checkpoint_save_s * save_margin + extra_s : 0;
}

double largest_share(const Resources& request, const Resources& total) {
    double share = 0;
    if (total.cpus > 0) share = std::max(share, request.cpus / total.cpus);
    if (total.gpus > 0) share = std::max(share, request.gpus / total.gpus);
    if (total.memory_gb > 0) share = std::max(share, request.memory_gb / total.memory_gb);
    return share;
}

}  // namespace coralhitch::scheduler
