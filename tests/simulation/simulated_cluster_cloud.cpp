// The cloud.
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
http::Response SimulatedCluster::cloud(const http::Request& request) {
    if (cloud_outage_until_ > now()) return {503, R"({"error":"trouble"})"};
    if (request.target == "/flavors")
        return {200, json{{"hulls",
                           {{{"name", "g4"},
                             {"vcpus", 16},
                             {"cards", machine_gpus},
                             {"ram_gb", 64},
                             {"cache_gb", 100},
                             {"fetch_gb_per_s", 1},
                             {"hourly", 10},
                             {"spot_price", 4},
                             {"startup_s", 5},
                             {"reefs", zones}}}}}
                         .dump()};
    if (request.target == "/hosts/delete") {
        auto body = json::parse(request.body);
        for (auto& id : body["berths"])
            for (auto& worker : workers)
                if (worker->id == id) {
                    if (!worker->dead && !worker->tasks.empty()) ++machines_deleted_with_tasks;
                    worker->dead = true;
                    clear_tasks(*worker);
                }
        return {200, "{}"};
    }
    if (request.target == "/hosts" && request.method == "POST") {
        auto body = json::parse(request.body);
        auto name = body["charter"].get<std::string>();
        if (auto it = rentals_.find(name); it != rentals_.end()) return {200, it->second.dump()};
        std::size_t alive = static_cast<std::size_t>(
            std::count_if(workers.begin(), workers.end(), [](auto& worker) { return !worker->dead; }));
        if (alive >= options_.machines + 3) return {503, R"({"error":"no capacity"})"};
        json out{{"berths", {add_machine(body["reef"], body["driftwood"]).id}}};
        rentals_[name] = out;
        return {200, out.dump()};
    }
    json list = json::array();
    for (auto& worker : workers)
        if (!worker->dead)
            list.push_back({{"id", worker->id},
                            {"addr", worker->addr},
                            {"hull", worker->type},
                            {"reef", worker->zone},
                            {"driftwood", worker->spot},
                            {"status", now() < worker->up_at ? "booting" : "running"},
                            {"age_s", now() - worker->created}});
    return {200, json{{"berths", list}, {"more", false}}.dump()};
}

}  // namespace coralhitch::simulation
