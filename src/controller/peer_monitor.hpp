// Exchanges pings with the other controllers and evaluates the pings received.
//
// Controllers ping each other several times in a heartbeat period. A ping names the leader that the sender
// knows and the machines whose heartbeats the sender receives, and says if the sender reaches the key-value
// store. From the pings a controller derives
// - which controller leads,
// - if another controller should be elected instead of this one,
// - if a leader that receives few heartbeats is cut off itself,
// - which controller can serve a user's request.
// A leader also sends what the next leader cannot learn from heartbeats: the suspected machines and the image
// caches.
//
// Side effects: sends pings and image caches to the peers; notifies the election and the local leader of what
// the pings say.
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
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_tracker.hpp"
#include "replication/follower.hpp"

namespace coralhitch::controller {

// References to other components, which must outlive the PeerMonitor.
struct PeerMonitorDependencies {
    event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    election::Election& election;
    const KvReachability& kv_reachability;
    const LocalLeader& leader;
    const relay::HeartbeatTracker& heartbeats;  // heartbeats received here while another controller led
    const replication::Follower& replica;
    protocol::Incarnation incarnation;  // of this process
};

// A sender and receiver of pings, and the state of the peers that follows from them. Not thread safe.
class PeerMonitor {
  public:
    // Another controller that the settings name, and its last ping.
    struct Peer {
        config::Peer config;
        // The last ping, with the lists of the last full ping.
        protocol::PeerPing last_ping;
        // Seconds of the steady clock. A full ping is one that contains the sender's lists.
        std::optional<double> last_ping_at, last_full_ping_at;
        // True after the first ping to this peer was answered or failed.
        bool responded = false;
    };
    // A callback that receives the task counts of all live jobs from a ping of the leader.
    using TaskCountsReceived = std::function<void(const std::vector<protocol::PeerTaskCounts>&)>;

    PeerMonitor(PeerMonitorDependencies dependencies, TaskCountsReceived task_counts_received);
    PeerMonitor(const PeerMonitor&) = delete;  // callbacks refer to it
    PeerMonitor& operator=(const PeerMonitor&) = delete;

    // Sends the first pings and continues periodically. Call once.
    void start();
    // Evaluates a peer's ping and returns this controller's own ping as the answer.
    [[nodiscard]] protocol::PeerPing answer_ping(protocol::PeerPing ping);

    // Returns the leading controller as far as this controller knows; null if the leader is unknown or is
    // this controller.
    [[nodiscard]] const Peer* leading_peer() const;
    // Returns a peer that reaches the key-value store and supports at least these features
    // (protocol::peer_features::...), according to its recent ping; null if there is none.
    [[nodiscard]] const Peer* peer_that_reaches_kv(std::uint64_t minimum_features) const;
    // Returns true if any peer has sent or answered a ping recently.
    [[nodiscard]] bool any_reachable() const;
    // Returns true if the settings name other controllers.
    [[nodiscard]] bool has_peers() const { return !peers_.empty(); }
    // Returns the last ping of the controller with this label; null if there is no recent one.
    [[nodiscard]] const protocol::PeerPing* recent_ping(const std::string& label) const;

    // Compares the silence of machines on this controller with the heartbeats that the peers receive.
    // `silent_s` maps machines to the seconds since their last heartbeat here. For each peer, counts the
    // machines from which the peer received a heartbeat during that silence, and returns the highest count.
    // Returns nullopt if no peer that reaches the key-value store has pinged recently, because then no other
    // controller could lead.
    [[nodiscard]] std::optional<std::size_t> heartbeats_seen_by_peers(
        const std::map<std::string, double>& silent_s) const;
    // Returns true if another controller should be elected instead of this one.
    [[nodiscard]] bool should_defer() const;
    // Returns the machines that the previous leader suspected and that have not sent a heartbeat to this
    // controller since, with the seconds since their last heartbeat.
    [[nodiscard]] std::map<std::string, double> inherited_suspicions() const;

    // Returns the images in the machines' caches, as last sent by a leader.
    [[nodiscard]] const protocol::PeerImages& image_caches() const { return image_caches_; }
    void set_image_caches(protocol::PeerImages image_caches) { image_caches_ = std::move(image_caches); }

  private:
    void ping_peers();
    void send_image_caches();
    void handle_ping(protocol::PeerPing ping);
    void store_suspicions(const protocol::PeerPing& leader_ping);
    [[nodiscard]] protocol::PeerPing own_ping(bool brief) const;
    [[nodiscard]] protocol::PeerPing own_full_ping_with_leader_lists() const;
    [[nodiscard]] bool is_recent(const Peer& peer) const;
    [[nodiscard]] std::size_t heartbeats_seen_by(const Peer& peer,
                                                 const std::map<std::string, double>& silent_s) const;
    [[nodiscard]] protocol::LeaderVersion replicated_leadership() const;

    PeerMonitorDependencies dependencies_;
    TaskCountsReceived task_counts_received_;
    std::map<std::string, Peer> peers_;  // by label; entries are neither added nor removed after construction
    double started_at_ = 0;              // seconds of the steady clock
    std::uint64_t ping_rounds_as_leader_ = 0;
    // The suspected machines in the leader's last full ping, with the time of their last heartbeat in seconds
    // of the steady clock.
    std::map<std::string, double> suspected_since_;
    protocol::PeerImages image_caches_;
};

}  // namespace coralhitch::controller
