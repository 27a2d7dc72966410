// Handles the heartbeats that agents send to this controller.
//
// Heartbeats are most of a controller's work. They are read as they arrive, but handled in small batches in
// between other events. After a failover all agents send heartbeats at once, and users, health checks and the
// renewal of the leader's lease must not wait until all of these are handled. A heartbeat goes to the local
// leader if there is one. Otherwise the relay sends it to the leader. If the relay does not accept it, the
// agent is redirected with status 421.
//
// Side effects: calls the local leader, the relay (which sends to the leading peer) and the heartbeat
// tracker.
#pragma once
#include <cstdint>

#include "config/settings.hpp"
#include "controller/local_leader.hpp"
#include "controller/peer_monitor.hpp"
#include "election/election.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "protocol/numbers.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_rejections.hpp"
#include "relay/heartbeat_relay.hpp"
#include "relay/heartbeat_tracker.hpp"

namespace coralhitch::controller {

// References to other components, which must outlive the HeartbeatIntake.
struct HeartbeatIntakeDependencies {
    event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    const election::Election& election;
    const LocalLeader& leader;
    const PeerMonitor& peers;
    relay::HeartbeatTracker& tracker;
    protocol::Incarnation incarnation;  // of this process
};

// A queue of received heartbeats, each of which is passed to the local leader or to the relay, or is answered
// with a redirect. Not thread safe.
class HeartbeatIntake {
  public:
    explicit HeartbeatIntake(HeartbeatIntakeDependencies dependencies);

    // Starts the relay, which then observes the current leader. Call once.
    void start() { relay_.start(); }
    // Queues a heartbeat that has just been read. Calls `reply` later, never before returning.
    void accept(std::string body, http::Reply reply);
    // Moves the heartbeats that are waiting at the relay to this queue. Called when this controller becomes
    // the leader, so that its own leader handles them.
    void requeue_from_relay();

    // Returns the counts, by reason, of heartbeats that this controller and its leader rejected deliberately.
    [[nodiscard]] relay::HeartbeatRejections& rejections() { return relay_.rejections(); }
    [[nodiscard]] const relay::HeartbeatRelay& relay() const { return relay_; }
    // Returns the number of heartbeats so far whose agents had stopped waiting for an answer while the
    // heartbeat was in this queue or at the relay.
    [[nodiscard]] std::uint64_t expired() const { return relay_.timed_out() + queue_.rejected(); }

  private:
    void enqueue(relay::PendingHeartbeat heartbeat);
    void schedule();
    void handle_batch();
    void handle(relay::PendingHeartbeat heartbeat);
    void record(const std::string& body);
    void redirect(const http::Reply& reply);
    [[nodiscard]] relay::LeaderEndpoint relay_target() const;

    HeartbeatIntakeDependencies dependencies_;
    relay::HeartbeatRelay relay_;
    relay::HeartbeatQueue queue_;
    bool scheduled_ = false;
};

}  // namespace coralhitch::controller
