// What a controller says to the others of the machines that it hears and of those that are silent, at the
// size of a large fleet.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "controller/controller.hpp"
#include "kv/keys.hpp"
#include "support/fake_key_value_store.hpp"

namespace coralhitch::controller {
namespace {

constexpr std::size_t machine_count = 8000, machines_per_page = 100;
const std::string peer_addr = "10.1.0.2:7000";

std::string machine_name(std::size_t k) {
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06zu", k);
    return name;
}
std::string report_of(std::size_t k) {
    return nlohmann::json{{"berth", machine_name(k)},
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

// The key-value store with leases that are never refused; pings to the peer are kept, nobody else answers.
class Network : public http::Requester {
  public:
    explicit Network(FakeTimers& timers) : timers_(timers), service(timers) {}
    void send(const std::string& addr, http::Request r, double timeout, http::Result result) override {
        if (addr.empty() && r.target.starts_with("/holds"))
            return void(timers_.after(0.01, [result] {
                result(http::Response{200, R"({"mooring":7,"ttl_ms":3100})"});
            }));
        if (addr.empty()) return service.send(addr, std::move(r), timeout, std::move(result));
        if (addr == peer_addr && r.target == protocol::peer_ping_path) {
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

class NoPlanner : public leader::Planner {
  public:
    void submit(Work) override {}
};

struct Bench {
    static config::Settings settings_of_one() {
        config::Settings s;
        s.label = "berth-0";
        s.peers = {{"berth-1", "b", peer_addr}};
        s.cloud_addr = "10.2.0.2:8443";
        s.zones = {"a", "b"};
        s.report_s = 3;
        s.lease_s = 31;
        s.cancel_s = 60;
        s.state_rps = 1500;
        s.state_write_rps = 600;
        s.value_kb = s.safe_value_kb = 16;
        s.txn_ops = 24;
        s.cloud_rps = 20;
        s.list_lag_s = 10;
        s.memory_mb = 136;
        s.sockets = 8000;
        return s;
    }
    Bench() { spdlog::set_level(spdlog::level::off); }
    FakeTimers timers;
    Network network{timers};
    NoPlanner planner;
    config::Settings settings = settings_of_one();
    Controller controller{timers, network, settings, planner, 1};
};

TEST(PeerPingSize, NamesAll8000MachinesThatAFollowerHears) {
    Bench bench;
    for (std::size_t k = 0; k < machine_count; ++k)
        bench.controller.serve({"POST", "/hello", report_of(k)}, [](http::Response) {});
    bench.timers.run_until(0.5);
    std::optional<protocol::PeerPing> answer;
    bench.controller.serve_peer({"POST", std::string(protocol::peer_ping_path),
                                 protocol::pack_peer(protocol::PeerPing{"berth-1", 1, 0, "", true, {}, {}})},
                                [&](http::Response r) {
                                    answer = protocol::unpack_peer<protocol::PeerPing>(r.body);
                                    RecordProperty("bytes", static_cast<int>(r.body.size()));
                                    // A message may have a thirty-second of the memory.
                                    EXPECT_LT(static_cast<double>(r.body.size()),
                                              bench.settings.memory_mb * 1024 * 1024 / 32);
                                });
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->workers.size(), machine_count);
    EXPECT_EQ(answer->ages_ms.size(), machine_count);
}

// The next leader knows of these that they were silent before it began.
TEST(PeerPingSize, HandsOverAll8000SilentMachines) {
    Bench bench;
    for (std::size_t page = 0; page * machines_per_page < machine_count; ++page) {
        auto rows = nlohmann::json::array();
        for (std::size_t k = page * machines_per_page; k < (page + 1) * machines_per_page; ++k)
            rows.push_back({machine_name(k), "10.9.0.1:9000", "g8", "a", false, false});
        bench.network.service.kv[kv::keys::machine_page(page)] = {{{"machines", rows}}, 1};
    }
    bench.controller.start();
    bench.timers.run_until(12);
    ASSERT_TRUE(bench.controller.leads());
    ASSERT_TRUE(bench.network.ping);
    RecordProperty("bytes", static_cast<int>(bench.network.ping_bytes));
    EXPECT_EQ(bench.network.ping->silent.size(), machine_count);
    EXPECT_EQ(bench.network.ping->silent_ms.size(), machine_count);
}

}  // namespace
}  // namespace coralhitch::controller
