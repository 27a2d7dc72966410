#include "leader/fleet_scaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace coralhitch::leader {

namespace {
// Time for which no machines are requested from a pool that lacked capacity, in heartbeat periods.
constexpr double no_capacity_heartbeat_periods = 3;
}  // namespace

FleetScaler::FleetScaler(const PartContext& context, cloud::CloudClient& cloud,
                         const std::vector<protocol::MachineType>& types, ZoneUnreachable zone_unreachable)
    : LeaderPart(context), cloud_(cloud), types_(types), zone_unreachable_(std::move(zone_unreachable)) {}

autoscaler::Input FleetScaler::autoscaler_input() const {
    autoscaler::Input in;
    in.types = types_;
    in.pools = state_.cluster.pools();
    in.zones = state_.cluster.zone_count();
    for (std::size_t zone = 0; zone < in.zones; ++zone)
        in.unreachable_zones.push_back(zone_unreachable_(zone));
    for (auto& [name, request] : pending_)
        for (int index = 0; index < request.count; ++index) {
            autoscaler::MachineView machine;
            machine.id = name;
            machine.pool = request.pool;
            machine.booting = true;
            in.machines.push_back(std::move(machine));
        }
    for (auto& [pool, until] : pools_without_capacity_)
        if (until > timers_.now()) in.pools_without_capacity.insert(pool);
    return in;
}

void FleetScaler::scale_out(std::span<const autoscaler::ScaleOutRequest> requests) {
    constexpr int most = cloud::CloudClient::max_machines_per_create;
    for (auto& wanted : requests)
        for (int left = wanted.count; left > 0; left -= most) request({wanted.pool, std::min(left, most)});
}

void FleetScaler::retry_unanswered() {
    std::vector<std::string> names;  // a copy, since a synchronous response erases its request from the map
    for (auto& [name, request] : pending_) names.push_back(name);
    for (auto& name : names) send(name);
}

void FleetScaler::request(const autoscaler::ScaleOutRequest& request) {
    // No controller ever reuses a name, since no other leadership has the same fencing token.
    std::string name =
        "r-" + std::to_string(authority_.fencing_token().value()) + "-" + std::to_string(++requests_made_);
    auto& pool = state_.cluster.pools()[request.pool];
    pending_[name] = {request.pool, request.count, false};
    spdlog::info("component=leader event=scale_out request={} machines={} type={} zone={} spot={}", name,
                 request.count, pool.type, pool.zone, pool.spot);
    send(name);
}

void FleetScaler::send(const std::string& name) {
    auto& request = pending_.at(name);
    if (request.in_flight || !authority_.holds()) return;
    request.in_flight = true;
    auto& pool = state_.cluster.pools()[request.pool];
    cloud_.create_machines(
        {name, pool.type, pool.zone, pool.spot, request.count},
        guarded_([this, name](const cloud::CreateMachinesResult& result) { handle_response(name, result); }));
}

void FleetScaler::handle_response(const std::string& name, const cloud::CreateMachinesResult& result) {
    auto it = pending_.find(name);
    if (it == pending_.end()) return;
    auto& request = it->second;
    request.in_flight = false;
    if (result.status == cloud::CreateMachinesResult::Status::failed) return;  // retried at the next tick
    if (static_cast<int>(result.machines.size()) < request.count)
        pools_without_capacity_[request.pool] =
            timers_.now() + settings_.heartbeat_interval_s * no_capacity_heartbeat_periods;
    {
        std::lock_guard lock(state_.mutex);
        auto pool = state_.cluster.pools()[request.pool];
        for (auto& id : result.machines)
            if (!state_.cluster.is_deleted(id))
                state_.cluster.add(id, "", pool.type, pool.zone, pool.spot,
                                   cluster::Machine::Lifecycle::booting, timers_.now());
    }
    pending_.erase(it);
}

}  // namespace coralhitch::leader
