// Test fixture: one controller on an injected clock, an in-memory key-value store, and one peer that never
// answers.
#pragma once
#include <spdlog/spdlog.h>

#include <optional>
#include <string>

#include "controller/controller.hpp"
#include "protocol/peer_messages.hpp"
#include "support/fake_key_value_store.hpp"

namespace coralhitch::controller {

inline const std::string controller_test_peer_addr = "10.1.0.2:7000";

// Returns the body of an agent's heartbeat without tasks.
inline std::string heartbeat_of(const std::string& machine) {
    return nlohmann::json{{"berth", machine},
                          {"addr", "10.9.0.1:9000"},
                          {"hull", "g8"},
                          {"reef", "a"},
                          {"driftwood", false},
                          {"watch", 1},
                          {"tally", 1},
                          {"helm", 0},
                          {"shards", nlohmann::json::array()}}
        .dump();
}

// A network that reaches the key-value store, grants every lease, and keeps the last ping to the peer. All
// other requests time out.
class ControllerTestNetwork : public http::Requester {
  public:
    explicit ControllerTestNetwork(FakeTimers& timers) : timers_(timers), service(timers) {}
    void send(const std::string& addr, http::Request r, double timeout, http::Result result) override {
        if (addr.empty() && r.target.starts_with("/holds"))
            return void(timers_.after(0.01, [result] {
                result(http::Response{200, R"({"mooring":7,"ttl_ms":3100})"});
            }));
        if (addr.empty()) return service.send(addr, std::move(r), timeout, std::move(result));
        if (addr == controller_test_peer_addr && r.target == protocol::peer_ping_path) {
            ping_bytes = r.body.size();
            ping = protocol::unpack_peer<protocol::PeerPing>(r.body);
        }
        timers_.after(timeout, [result] { result(std::nullopt); });
    }

  private:
    FakeTimers& timers_;

  public:
    FakeKeyValueStore service;
    std::optional<protocol::PeerPing> ping;
    std::size_t ping_bytes = 0;
};

// A planner that accepts work and never runs it.
class PlannerThatNeverRuns : public leader::Planner {
  public:
    void submit(Work) override {}
};

// A controller with one configured peer; not started.
struct ControllerFixture {
    static config::Settings default_settings() {
        config::Settings s;
        s.label = "berth-0";
        s.peers = {{"berth-1", "b", controller_test_peer_addr}};
        s.cloud_addr = "10.2.0.2:8443";
        s.zones = {"a", "b"};
        s.heartbeat_interval_s = 3;
        s.lease_s = 31;
        s.cancel_s = 60;
        s.kv_rps = 1500;
        s.kv_write_rps = 600;
        s.value_kb = s.safe_value_kb = 16;
        s.txn_ops = 24;
        s.cloud_rps = 20;
        s.list_lag_s = 10;
        s.memory_mb = 136;
        s.sockets = 8000;
        return s;
    }
    ControllerFixture() { spdlog::set_level(spdlog::level::off); }
    FakeTimers timers;
    ControllerTestNetwork network{timers};
    PlannerThatNeverRuns planner;
    config::Settings settings = default_settings();
    Controller controller{timers, network, settings, planner, 1};
};

}  // namespace coralhitch::controller
