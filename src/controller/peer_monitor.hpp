// What the other controllers last said of themselves, and what this one says to them.
//
// Controllers ping each other several times in a heartbeat period: who leads, whether the key-value store
// answers, which machines' heartbeats come to the sender. From that follow who leads, whether another
// controller should stand for election rather than this one, whether a leader that receives few heartbeats is
// cut off itself, and who can serve a user's request. A leader's pings also hand over what the next leader
// can't learn from heartbeats: suspected machines and image caches.
// May touch: the peers (pings only); tells the election and the local leader what it learns.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "controller/kv_reachability.hpp"
#include "controller/local_leader.hpp"
#include "election/election.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_tracker.hpp"
#include "replication/follower.hpp"

namespace coralhitch::controller {

// All must outlive the monitor.
struct PeerMonitorDependencies {
    event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    election::Election& election;
    const KvReachability& kv_reachability;
    const LocalLeader& leader;
    const relay::HeartbeatTracker& heartbeats;  // that came here while another controller led
    const replication::Follower& replica;
    std::uint64_t incarnation;  // of this process
};

class PeerMonitor {
  public:
    struct Peer {
        config::Peer config;
        protocol::PeerPing last_ping;  // its lists are those of the last ping that carried them
        std::optional<double> last_ping_at, last_full_ping_at;  // steady seconds; full: with its lists
        bool responded = false;  // to a ping of this controller, or the connection failed
    };
    // The task counts of all live jobs, from a ping of the leader.
    using TaskCountsReceived = std::function<void(const std::vector<protocol::PeerTaskCounts>&)>;

    PeerMonitor(PeerMonitorDependencies dependencies, TaskCountsReceived task_counts_received);
    PeerMonitor(const PeerMonitor&) = delete;  // callbacks refer to it
    PeerMonitor& operator=(const PeerMonitor&) = delete;

    // Sends pings from now on. Once.
    void start();
    // Takes in a peer's ping and returns this controller's own in answer.
    [[nodiscard]] protocol::PeerPing answer_ping(protocol::PeerPing ping);

    // The controller that leads, as far as this one knows; null if that is unknown or this one.
    [[nodiscard]] const Peer* leading_peer() const;
    // A controller that reaches the key-value store and is of a version with these features
    // (protocol::peer_features::...); null if there is none.
    [[nodiscard]] const Peer* peer_that_reaches_kv(std::uint64_t minimum_features) const;
    // Whether any other controller has pinged lately.
    [[nodiscard]] bool any_reachable() const;
    [[nodiscard]] bool has_peers() const { return !peers_.empty(); }
    // The last ping of this controller; null if that was long ago.
    [[nodiscard]] const protocol::PeerPing* recent_ping(const std::string& label) const;

    // Of these machines, silent here for so many seconds: how many another controller received heartbeats of
    // since, at the most. Nothing if no other controller that could lead pings.
    [[nodiscard]] std::optional<std::size_t> heartbeats_seen_by_peers(
        const std::map<std::string, double>& silent_s) const;
    // Whether another controller should be elected rather than this one.
    [[nodiscard]] bool should_defer() const;
    // Machines that the leader before suspected and whose heartbeats have not come here since, with the
    // seconds since their last one.
    [[nodiscard]] std::map<std::string, double> inherited_suspicions() const;

    // Which images the machines have cached, as the last leader said it.
    [[nodiscard]] const protocol::PeerImages& image_caches() const { return image_caches_; }
    void set_image_caches(protocol::PeerImages image_caches) { image_caches_ = std::move(image_caches); }

  private:
    void ping_peers();
    void send_image_caches();
    void handle_ping(protocol::PeerPing ping);
    void take_suspicions(const protocol::PeerPing& leader_ping);
    [[nodiscard]] protocol::PeerPing own_ping(bool brief) const;
    [[nodiscard]] protocol::PeerPing own_full_ping_with_leader_lists() const;
    [[nodiscard]] bool is_recent(const Peer& peer) const;
    [[nodiscard]] std::size_t heartbeats_seen_by(const Peer& peer,
                                                 const std::map<std::string, double>& silent_s) const;
    [[nodiscard]] std::uint64_t replicated_leadership() const;

    PeerMonitorDependencies dependencies_;
    TaskCountsReceived task_counts_received_;
    std::map<std::string, Peer> peers_;  // by label; the set never changes
    double started_at_ = 0;
    std::uint64_t ping_rounds_as_leader_ = 0;
    // Machines that the leader suspected when it last said so, and since when (steady seconds).
    std::map<std::string, double> suspected_since_;
    protocol::PeerImages image_caches_;
};

}  // namespace coralhitch::controller
