// The cloud: lists machine types and machines, rents machines and deletes them.
#include <algorithm>

#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
Worker& SimulatedCluster::add_machine(const std::string& zone, bool spot) {
    auto worker = std::make_unique<Worker>();
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06zu", workers.size());
    worker->id = name;
    constexpr std::size_t addresses_per_block = 250;
    worker->addr = "10.1." + std::to_string(workers.size() / addresses_per_block) + "." +
                   std::to_string(workers.size() % addresses_per_block + 1) + ":9000";
    worker->type = "g4";
    worker->zone = zone;
    worker->spot = spot;
    worker->node = workers.size() % 3;
    worker->created = now();
    worker->up_at = now() + options_.boot_s;
    if (now() < fast_boots_until_)
        worker->up_at = now() + std::uniform_real_distribution<double>(0.05, 2)(random_);
    worker->last_answered = worker->up_at;
    observe_machine(*worker);
    workers.push_back(std::move(worker));
    auto* machine = workers.back().get();
    at(machine->up_at, [this, machine] { send_heartbeats(*machine); });
    return *machine;
}
http::Response SimulatedCluster::serve_cloud_request(const http::Request& request) {
    if (cloud_outage_until_ > now()) return {503, R"({"error":"trouble"})"};
    if (request.target == "/flavors") return list_machine_types();
    if (request.target == "/hosts/delete") return delete_machines(json::parse(request.body));
    if (request.target == "/hosts" && request.method == "POST") return rent(json::parse(request.body));
    return list_machines();
}
http::Response SimulatedCluster::list_machine_types() const {
    json type{{"name", "g4"},    {"vcpus", 16},         {"cards", machine_gpus}, {"ram_gb", 64},
              {"cache_gb", 100}, {"fetch_gb_per_s", 1}, {"hourly", 10},          {"spot_price", 4},
              {"startup_s", 5},  {"reefs", zones}};
    return {200, json{{"hulls", json::array({type})}}.dump()};
}
http::Response SimulatedCluster::delete_machines(const json& body) {
    for (auto& id : body["berths"])
        for (auto& worker : workers) {
            if (worker->id != id) continue;
            if (!worker->dead && !worker->tasks.empty()) ++machines_deleted_with_tasks;
            worker->dead = true;
            clear_tasks(*worker);
        }
    return {200, "{}"};
}
// A request with a name that was used before gets the same machine again.
http::Response SimulatedCluster::rent(const json& body) {
    constexpr std::size_t spare_machines = 3;
    auto name = body["charter"].get<std::string>();
    if (auto rental = rentals_.find(name); rental != rentals_.end()) return {200, rental->second.dump()};
    auto alive = std::count_if(workers.begin(), workers.end(), [](auto& worker) { return !worker->dead; });
    if (static_cast<std::size_t>(alive) >= options_.machines + spare_machines)
        return {503, R"({"error":"no capacity"})"};
    json rental{{"berths", {add_machine(body["reef"], body["driftwood"]).id}}};
    rentals_[name] = rental;
    return {200, rental.dump()};
}
http::Response SimulatedCluster::list_machines() const {
    json list = json::array();
    for (auto& worker : workers) {
        if (worker->dead) continue;
        list.push_back({{"id", worker->id},
                        {"addr", worker->addr},
                        {"hull", worker->type},
                        {"reef", worker->zone},
                        {"driftwood", worker->spot},
                        {"status", now() < worker->up_at ? "booting" : "running"},
                        {"age_s", now() - worker->created}});
    }
    return {200, json{{"berths", list}, {"more", false}}.dump()};
}

}  // namespace coralhitch::simulation
