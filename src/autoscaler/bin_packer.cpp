#include "autoscaler/bin_packer.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace coralhitch::autoscaler {
namespace {
constexpr double cost_tolerance = 1e-9;  // costs that differ by less count as equal

// Returns the type of the machines that can be created in the pool, or null if there is none.
const protocol::MachineType* find_type(const std::vector<protocol::MachineType>& types,
                                       const scheduler::Pool& pool) {
    const protocol::MachineType* found = nullptr;
    for (auto& type : types) {
        bool is_in_zone = std::find(type.zones.begin(), type.zones.end(), pool.zone) != type.zones.end();
        if (type.name == pool.type && is_in_zone) found = &type;
    }
    return found;
}
}  // namespace

BinPacker::BinPacker(const Input& input, const config::Settings& settings)
    : input_(input), settings_(settings), machines_per_zone_(input.zones) {
    types_.reserve(input.pools.size());
    for (auto& pool : input.pools) types_.push_back(find_type(input.types, pool));
    for (auto& machine : input.machines) add_machine(machine);
}

void BinPacker::add_machine(const MachineView& machine) {
    bool is_unreachable = is_in_unreachable_zone(machine.pool);
    auto& bins = is_unreachable || machine.suspected ? last_resort_bins_ : bins_;
    bins.push_back({machine.pool, machine.booting ? pool(machine.pool).total : machine.free, &machine});
    if (machine.suspected && !is_unreachable) {
        ++suspected_machines_;
        suspected_spare_ += free_share(bins.back());
    }
    ++machines_per_zone_[pool(machine.pool).zone_index];
}

bool BinPacker::is_in_unreachable_zone(std::size_t pool_index) const {
    auto zone = pool(pool_index).zone_index;
    return zone < input_.unreachable_zones.size() && input_.unreachable_zones[zone];
}

// Every existing machine counts against the limit, available or not, because the limit bounds the cost. When
// machines that had not reconciled yet were not counted, new leaders scaled out beyond the limit.
bool BinPacker::has_reached_limit() const {
    auto machines = bins_.size() + last_resort_bins_.size() + input_.other_machines;
    return settings_.op.max_machines > 0 && machines >= settings_.op.max_machines;
}

double BinPacker::free_share(const Bin& bin) const {
    return scheduler::smallest_share(bin.free, pool(bin.pool).total);
}

std::vector<Bin>& BinPacker::bins_of(ZoneState zones) {
    return zones == ZoneState::reachable ? bins_ : last_resort_bins_;
}

Bin* BinPacker::find_or_open(const protocol::Job& job, const scheduler::PoolSet& pools, ZoneState zones,
                             std::size_t& next) {
    auto& bins = bins_of(zones);
    while (next < bins.size() && !(pools[bins[next].pool] && bins[next].free.fits(job.request))) ++next;
    if (next < bins.size() || open_bin(job, pools, zones)) return &bins[next];
    return nullptr;
}

void BinPacker::pack(const UnplacedDemand& demand) {
    auto& job = *demand.job;
    auto tasks_per_zone = demand.zones;
    tasks_per_zone.resize(input_.zones);
    auto pools = scheduler::allowed_pools(job, tasks_per_zone, input_.pools);
    // No bin before these indices has enough free resources for another of these tasks.
    std::size_t next = 0;
    std::size_t next_unreachable = 0;
    for (std::size_t packed = 0; packed < demand.count; ++packed) {
        // It is not known when suspected machines, and machines of a zone from which no heartbeats arrive,
        // become available again. Demand is packed on them only if no other machine has enough free
        // resources and none can be created in a reachable zone.
        auto* bin = find_or_open(job, pools, ZoneState::reachable, next);
        if (!bin) bin = find_or_open(job, pools, ZoneState::unreachable, next_unreachable);
        if (!bin) return;
        bin->free -= job.request;
        if (!job.spread && !job.one_zone) continue;
        ++tasks_per_zone[pool(bin->pool).zone_index];
        pools = scheduler::allowed_pools(job, tasks_per_zone, input_.pools);
    }
}

bool BinPacker::may_create(const protocol::Job& job, std::size_t pool_index, ZoneState zones) const {
    auto* type = types_[pool_index];
    bool is_zone_wanted = is_in_unreachable_zone(pool_index) == (zones == ZoneState::unreachable);
    return type && is_zone_wanted && type->capacity.fits(job.request) &&
           !input_.pools_without_capacity.contains(pool_index);
}

double BinPacker::cost_per_task(const protocol::Job& job, std::size_t pool_index) const {
    auto& type = *types_[pool_index];
    auto& request = job.request;
    double tasks = type.capacity.gpus > 0 && request.gpus > 0 ? type.capacity.gpus / request.gpus : 1;
    if (request.cpus > 0) tasks = std::min(tasks, type.capacity.cpus / request.cpus);
    double price = pool(pool_index).spot ? type.spot_price : type.price;
    return price / std::max(1.0, std::floor(tasks));
}

bool BinPacker::open_bin(const protocol::Job& job, const scheduler::PoolSet& pools, ZoneState zones) {
    if (has_reached_limit()) return false;
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t candidate = 0; candidate < pools.size(); ++candidate) {
        if (!pools[candidate] || !may_create(job, candidate, zones)) continue;
        double cost = cost_per_task(job, candidate);
        bool is_better =
            !best || cost < best_cost - cost_tolerance ||
            (cost < best_cost + cost_tolerance &&
             machines_per_zone_[pool(candidate).zone_index] < machines_per_zone_[pool(*best).zone_index]);
        if (!is_better) continue;
        best = candidate;
        best_cost = cost;
    }
    if (!best) return false;
    ++machines_per_zone_[pool(*best).zone_index];
    bins_of(zones).push_back({*best, types_[*best]->capacity, nullptr});
    return true;
}

std::vector<ScaleOutRequest> BinPacker::machines_to_create() const {
    std::map<std::size_t, int> count_by_pool;
    for (auto* bins : {&bins_, &last_resort_bins_})
        for (auto& bin : *bins)
            if (!bin.machine) ++count_by_pool[bin.pool];
    std::vector<ScaleOutRequest> requests;
    requests.reserve(count_by_pool.size());
    for (auto& [pool, count] : count_by_pool) requests.push_back({pool, count});
    return requests;
}

}  // namespace coralhitch::autoscaler
