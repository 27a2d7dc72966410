// Heartbeats of workers that were sent to this controller.
//
// Heartbeats are most of the work. They are read as they come, but handled a few at a time in between other
// events: after a failover, when every worker calls at once, users, health checks and the renewal of the
// leader's lease must not wait behind all of them. Each goes to the local leader if there is one, otherwise
// through the relay to the leader, otherwise its worker is redirected (421).
// May touch: the local leader, the relay (which sends to the leading peer), the heartbeat tracker.
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

// All must outlive the intake.
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

// Takes heartbeats to whoever answers them: the local leader, the relay, or the worker itself again.
class HeartbeatIntake {
  public:
    explicit HeartbeatIntake(HeartbeatIntakeDependencies dependencies);

    // Lets the relay watch who leads. Once.
    void start() { relay_.start(); }
    // Queues a heartbeat that was read just now; `reply` is called later.
    void accept(std::string body, http::Reply reply);
    // This controller leads now: what waits at the relay goes to its own leader.
    void take_back_from_relay();

    // Heartbeats refused on purpose, by this controller and its leader.
    [[nodiscard]] relay::HeartbeatRejections& rejections() { return relay_.rejections(); }
    [[nodiscard]] const relay::HeartbeatRelay& relay() const { return relay_; }
    // So far: those whose workers had stopped waiting, in this queue and at the relay.
    [[nodiscard]] std::uint64_t expired() const { return relay_.timed_out() + queue_.rejected(); }

  private:
    void enqueue(relay::PendingHeartbeat heartbeat);
    void schedule();
    void handle_some();
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
