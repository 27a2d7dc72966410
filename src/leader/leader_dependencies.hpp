// References, callbacks and inherited state that a controller passes to a new Leader.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "kv/kv_client.hpp"
#include "leader/planner.hpp"
#include "metrics/metrics.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_rejections.hpp"
#include "replication/replica_state.hpp"

namespace coralhitch::leader {

// Constructor arguments of the Leader. All references must outlive the Leader.
struct LeaderDependencies {
    event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    kv::KvClient& kv;
    election::Election& election;
    cloud::CloudClient& cloud;
    Planner& planner;
    metrics::Metrics& metrics;
    // Machine types that the cloud offers. After a change the controller calls Leader::update_machine_types.
    const std::vector<protocol::MachineType>& machine_types;
    // Takes machines that sent no heartbeat to this controller, with the duration of their silence in
    // seconds. Returns how many of them have sent a heartbeat to another controller since then, as the
    // maximum over the other controllers. Returns nothing if no other controller that could lead has sent a
    // ping recently.
    std::function<std::optional<std::size_t>(const std::map<std::string, double>&)> heartbeats_seen_by_peers;
    // Image caches of the machines as the previous leader sent them.
    const protocol::PeerImages& inherited_image_caches;
    // Returns true if the leader should resign because it suspects itself to be isolated, and records the
    // time. Returns false if the last such resignation was too recent.
    std::function<bool()> resign_leadership;
    protocol::Incarnation incarnation;  // of this controller's process
    // Machines that the previous leader suspected, with the duration of their silence until now in seconds.
    std::map<std::string, double> inherited_suspicions;
    // This controller's replica of the previous leader's state of the machines.
    const replication::ReplicaState& replica;
    // Returns the last ping from the controller with this label, or null if there was no recent one.
    std::function<const protocol::PeerPing*(const std::string& label)> recent_ping;
    relay::HeartbeatRejections& heartbeat_rejections;
};

}  // namespace coralhitch::leader
