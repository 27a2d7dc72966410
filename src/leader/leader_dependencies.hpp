// What a controller gives to the leader that it begins.
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

// What the leader is given; the references must outlive it.
struct LeaderDependencies {
    event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    kv::KvClient& kv;
    election::Election& election;
    cloud::CloudClient& cloud;
    Planner& planner;
    metrics::Metrics& metrics;
    // Of the cloud; may change, see Leader::update_machine_types.
    const std::vector<protocol::MachineType>& machine_types;
    // How many of these machines, silent here for so many seconds, another controller has had a heartbeat
    // from since, at the most; nothing if no other answers and could lead.
    std::function<std::optional<std::size_t>(const std::map<std::string, double>&)> heartbeats_seen_by_peers;
    // The machines' image caches, as the previous leader reported them.
    const protocol::PeerImages& inherited_image_caches;
    // Whether to resign for a self-suspicion; noted if so.
    std::function<bool()> resign_leadership;
    protocol::Incarnation incarnation;  // of this controller's process
    // Machines that the previous leader suspected: silent for so many seconds by now.
    std::map<std::string, double> inherited_suspicions;
    // Of what the previous leader knew of its machines.
    const replication::ReplicaState& replica;
    // What another controller last said of itself, if that is not long ago; else null.
    std::function<const protocol::PeerPing*(const std::string& label)> recent_ping;
    relay::HeartbeatRejections& heartbeat_rejections;
};

}  // namespace coralhitch::leader
