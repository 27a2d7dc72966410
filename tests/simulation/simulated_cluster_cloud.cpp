// The cloud.
#include <algorithm>

#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
Worker& SimulatedCluster::add_machine(const std::string& zone, bool spot) {
    auto w = std::make_unique<Worker>();
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06zu", workers.size());
    w->id = name;
    constexpr std::size_t addresses_per_block = 250;
    w->addr = "10.1." + std::to_string(workers.size() / addresses_per_block) + "." +
              std::to_string(workers.size() % addresses_per_block + 1) + ":9000";
    w->type = "g4";
    w->zone = zone;
    w->spot = spot;
    w->node = workers.size() % 3;
    w->created = now_;
    w->up_at = now_ + options_.boot_s;
    if (now_ < fast_boots_until_) w->up_at = now_ + std::uniform_real_distribution<double>(0.05, 2)(random_);
    w->last_answered = w->up_at;
    workers.push_back(std::move(w));
    auto* p = workers.back().get();
    at(p->up_at, [this, p] { send_heartbeats(*p); });
    return *p;
}
http::Response SimulatedCluster::cloud(const http::Request& r) {
    if (cloud_outage_until_ > now_) return {503, R"({"error":"trouble"})"};
    if (r.target == "/flavors")
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
    if (r.target == "/hosts/delete") {
        auto body = json::parse(r.body);
        for (auto& id : body["berths"])
            for (auto& w : workers)
                if (w->id == id) {
                    if (!w->dead && !w->tasks.empty()) ++machines_deleted_with_tasks;
                    w->dead = true;
                    w->tasks.clear();
                }
        return {200, "{}"};
    }
    if (r.target == "/hosts" && r.method == "POST") {
        auto j = json::parse(r.body);
        auto name = j["charter"].get<std::string>();
        if (auto it = rentals_.find(name); it != rentals_.end()) return {200, it->second.dump()};
        std::size_t alive = static_cast<std::size_t>(
            std::count_if(workers.begin(), workers.end(), [](auto& w) { return !w->dead; }));
        if (alive >= options_.machines + 3) return {503, R"({"error":"no capacity"})"};
        json out{{"berths", {add_machine(j["reef"], j["driftwood"]).id}}};
        rentals_[name] = out;
        return {200, out.dump()};
    }
    json list = json::array();
    for (auto& w : workers)
        if (!w->dead)
            list.push_back({{"id", w->id},
                            {"addr", w->addr},
                            {"hull", w->type},
                            {"reef", w->zone},
                            {"driftwood", w->spot},
                            {"status", now_ < w->up_at ? "booting" : "running"},
                            {"age_s", now_ - w->created}});
    return {200, json{{"berths", list}, {"more", false}}.dump()};
}

}  // namespace coralhitch::simulation
