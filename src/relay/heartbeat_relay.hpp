// Relays agents' heartbeats to the leader, in a controller that does not lead.
//
// A heartbeat that repeats the last one of its machine is answered by the relay itself while the leader's
// delegation is valid. All other heartbeats are forwarded to the leader, many in one message, and the
// leader's answers are passed back to the agents. Forwarding needs no delegation, since the leader itself
// answers. While no leader accepts heartbeats they are rejected, except for a short time after the connection
// to a leader was lost, when they wait for its successor.
//
// Not thread safe; all callbacks run on the event loop.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_rejections.hpp"
#include "relay/reply_cache.hpp"

namespace coralhitch::relay {

// The leader to which heartbeats are relayed.
struct LeaderEndpoint {
    std::string addr;                 // address of its peer interface; empty: there is no leader to relay to
    protocol::LeaderVersion version;  // version of its leadership
    bool operator==(const LeaderEndpoint&) const = default;
};

// Answers or forwards heartbeats, and keeps the delegation from the leader.
class HeartbeatRelay {
  public:
    // Returns the current leader. Called for every heartbeat and before every message.
    using LeaderLookup = std::function<LeaderEndpoint()>;

    HeartbeatRelay(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                   protocol::Incarnation incarnation, LeaderLookup leader_lookup);
    ~HeartbeatRelay();
    HeartbeatRelay(const HeartbeatRelay&) = delete;
    HeartbeatRelay& operator=(const HeartbeatRelay&) = delete;

    // Starts the periodic work. Must be called once.
    void start() { tick(); }
    // Accepts a heartbeat, or returns false and leaves both arguments unchanged if there is no leader to
    // relay to. An accepted heartbeat is answered at once or later, possibly only after a failover, and its
    // arguments may be moved from.
    [[nodiscard]] bool try_accept(std::string& body, http::Reply& reply);
    // Removes and returns the waiting heartbeats, and rejects those whose agents can no longer be answered in
    // time. To be called when this controller becomes the leader.
    [[nodiscard]] std::deque<PendingHeartbeat> take_pending();

    // Returns the number of heartbeats answered by this relay.
    [[nodiscard]] std::uint64_t answered_locally() const { return answered_locally_; }
    // Returns the number of heartbeats sent to the leader. One that is sent again counts again.
    [[nodiscard]] std::uint64_t forwarded() const { return forwarded_; }
    // Returns the number of heartbeats rejected because their agents could not be answered in time.
    [[nodiscard]] std::uint64_t timed_out() const { return timed_out_; }
    // Returns the rejection counters of this controller. They are also used while it leads.
    [[nodiscard]] HeartbeatRejections& rejections() { return rejections_; }

  private:
    using Batch = std::deque<PendingHeartbeat>;
    enum class LeaderConnection {
        untried,    // a leader is known, and no message to it has been answered yet
        connected,  // the leader accepted the last message
        failed,     // there is no leader, or the last message failed
    };
    void tick();
    void refresh_leader();
    bool delegation_valid() const;
    void reject_all(Batch& heartbeats);
    void requeue(Batch batch);
    void record_disconnect();
    bool within_failover_window() const;
    void reject_expired(double timeout_share);
    void reject_timed_out(const PendingHeartbeat& heartbeat);
    const CachedReply* find_repeated(const std::string& body, double now);
    // Minimum time between two messages, so that several heartbeats are sent together.
    static constexpr double batch_interval_heartbeat_periods = 1.0 / 20;
    void schedule_send(double interval_heartbeat_periods = batch_interval_heartbeat_periods);
    void send();
    Batch next_batch(double now);
    protocol::RelayRequest next_message(const Batch& batch, double now);
    void handle_answer(std::uint64_t number, double sent_at, const LeaderEndpoint& receiver, Batch batch,
                       const std::optional<http::Response>& response);
    void handle_failure(const LeaderEndpoint& receiver, Batch batch);
    void deliver(PendingHeartbeat heartbeat, const protocol::RelayedReply& answer);

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    protocol::Incarnation incarnation_;
    LeaderLookup leader_lookup_;
    HeartbeatRejections rejections_;
    LeaderEndpoint leader_;
    LeaderConnection connection_ = LeaderConnection::failed;
    std::optional<double> delegation_expiry_;
    std::optional<double> disconnected_at_;  // when the connection to a leader was last lost
    ReplyCache reply_cache_;
    Batch waiting_;
    // The machines whose heartbeats this relay answered since the last message, with the time of the answer.
    std::unordered_map<std::string, double> unreported_heartbeats_;
    bool in_flight_ = false;  // a message awaits its answer
    bool send_scheduled_ = false;
    std::optional<double> last_sent_;
    std::uint64_t last_message_ = 0, acknowledged_message_ = 0;
    std::uint64_t answered_locally_ = 0, forwarded_ = 0, timed_out_ = 0;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::relay
