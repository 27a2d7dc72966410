// Test fixture: the components of a controller that does not lead, on an injected clock, without the
// Controller object. Each test sets the answers of the key-value store, the cloud and the peers. No election
// takes place.
#pragma once
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "controller/controller_fixture.hpp"
#include "controller/kv_reachability.hpp"
#include "controller/local_leader.hpp"
#include "controller/peer_monitor.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/records.hpp"

namespace coralhitch::controller {

// A network that answers each request at once from a handler for its receiver. A missing handler, or nullopt
// from a handler, counts as a failed connection.
class PartsTestNetwork : public http::Requester {
  public:
    // A request that was sent, and its receiver's address.
    struct Sent {
        std::string addr;
        http::Request request;
    };
    using Handler = std::function<std::optional<http::Response>(const http::Request&)>;
    void send(const std::string& addr, http::Request request, double, http::Result result) override {
        sent.push_back({addr, request});
        auto& handler = addr.empty() ? key_value_store : addr == cloud_addr ? cloud : peer;
        result(handler ? handler(request) : std::nullopt);
    }
    [[nodiscard]] std::size_t sent_to(std::string_view path) const {
        return static_cast<std::size_t>(std::count_if(
            sent.begin(), sent.end(), [&](auto& message) { return message.request.target == path; }));
    }
    std::string cloud_addr;
    Handler key_value_store, cloud, peer;
    std::vector<Sent> sent;
};

// Returns a list with one machine type of this name, in the format of both the cloud and the key-value store.
inline std::string machine_types_body(const std::string& name) {
    protocol::MachineType type;
    type.name = name;
    type.zones = {"a"};
    return protocol::stored_types(std::span(&type, 1));
}

// The components of a follower with one configured peer.
struct PartsFixture {
    PartsFixture() {
        spdlog::set_level(spdlog::level::off);
        network.cloud_addr = settings.cloud_addr;
    }
    // Makes the key-value store answer reads, with these keys and values only.
    void key_value_store_answers(std::map<std::string, nlohmann::json> values = {}) {
        network.key_value_store = [values](const http::Request& request) {
            auto it = values.find(request.target.substr(std::string("/kv/").size()));
            if (it == values.end()) return http::Response{404, R"({"epoch":4})"};
            return http::Response{
                200, nlohmann::json{{"path", it->first}, {"value", it->second}, {"stamp", 4}}.dump()};
        };
    }
    void key_value_store_is_down() { network.key_value_store = nullptr; }
    // Reads a key, so that its answer determines the reachability of the key-value store.
    void read_key_value_store() {
        kv.get("leader", kv::RequestPriority::lease, [](kv::GetResult) {});
    }
    // Returns a ping of the only peer, a follower that reaches the key-value store.
    [[nodiscard]] static protocol::PeerPing ping_of_peer() {
        protocol::PeerPing ping;
        ping.label = "berth-1";
        ping.incarnation = protocol::Incarnation{77};
        ping.kv_reachable = true;
        ping.features = protocol::peer_features::latest;
        return ping;
    }
    void receive_ping(const protocol::PeerPing& ping) { static_cast<void>(peers.answer_ping(ping)); }

    FakeTimers timers;
    PartsTestNetwork network;
    config::Settings settings = ControllerFixture::default_settings();  // heartbeat_interval_s is 3
    kv::KvClient kv{timers, network, settings};
    KvReachability kv_reachability{kv, settings};
    election::Election election{timers, kv, settings, protocol::Incarnation{1}, 1};
    LocalLeader leader;
    replication::Follower replica{protocol::Incarnation{1}};
    relay::HeartbeatTracker tracker{9, 248};
    std::vector<protocol::PeerTaskCounts> received_counts;
    PeerMonitor peers{{timers, network, settings, election, kv_reachability, leader, tracker, replica,
                       protocol::Incarnation{1}},
                      [this](auto& counts) { received_counts = counts; }};
};

}  // namespace coralhitch::controller
