// The work of a relaying controller: one that does not lead, and that takes workers' heartbeats for the
// leader.
//
// A heartbeat that repeats the last one of its machine is answered here while the leader's delegation lasts.
// All others are forwarded to the leader, many in one message, and its answers are passed back to the
// workers; that needs no delegation, since the leader itself answers. Without a leader that accepts them
// heartbeats are rejected, except for a short time after the connection to a leader was lost: they wait for
// its successor.
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
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_rejections.hpp"
#include "relay/reply_cache.hpp"

namespace coralhitch::relay {

// The leader that heartbeats are relayed to.
struct LeaderEndpoint {
    std::string addr;           // of its peer interface; empty: there is no leader to relay to
    std::uint64_t version = 0;  // of its leadership
    bool operator==(const LeaderEndpoint&) const = default;
};

class HeartbeatRelay {
  public:
    // The present leader; read at every heartbeat and before every message.
    using LeaderLookup = std::function<LeaderEndpoint()>;

    HeartbeatRelay(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                   std::uint64_t incarnation, LeaderLookup leader_lookup);
    ~HeartbeatRelay();
    HeartbeatRelay(const HeartbeatRelay&) = delete;
    HeartbeatRelay& operator=(const HeartbeatRelay&) = delete;

    // Begins the periodic work. Call once.
    void start() { tick(); }
    // Accepts a heartbeat, takes both arguments and answers later, perhaps only once there is a leader again;
    // or returns false and leaves both arguments as they are.
    [[nodiscard]] bool try_accept(std::string& body, http::Reply& reply);
    // Removes and returns the heartbeats that wait, for when this controller becomes the leader itself.
    [[nodiscard]] std::deque<PendingHeartbeat> take_pending();

    // Heartbeats answered here, forwarded to the leader, and rejected since their workers had stopped
    // waiting.
    [[nodiscard]] std::uint64_t answered_locally() const { return answered_locally_; }
    [[nodiscard]] std::uint64_t forwarded() const { return forwarded_; }
    [[nodiscard]] std::uint64_t timed_out() const { return timed_out_; }
    // Of this controller, whoever leads.
    [[nodiscard]] HeartbeatRejections& rejections() { return rejections_; }

  private:
    using Batch = std::deque<PendingHeartbeat>;
    enum class LeaderConnection {
        untried,    // a leader is known, nothing has been sent to it yet
        connected,  // it accepted the last message
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
    // Minimum interval between two messages, in report periods, so that heartbeats are sent together.
    static constexpr double batch_interval_periods = 1.0 / 20;
    void schedule_send(double interval_periods = batch_interval_periods);
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
    std::uint64_t incarnation_;
    LeaderLookup leader_lookup_;
    HeartbeatRejections rejections_;
    LeaderEndpoint leader_;
    LeaderConnection connection_ = LeaderConnection::failed;
    std::optional<double> delegation_expiry_;
    std::optional<double> disconnected_at_;  // when a leader was last known to accept messages
    ReplyCache reply_cache_;
    Batch waiting_;
    // Machines answered here since the last message, and when.
    std::unordered_map<std::string, double> unreported_heartbeats_;
    bool in_flight_ = false;  // a message awaits its answer
    bool send_scheduled_ = false;
    std::optional<double> last_sent_;
    std::uint64_t last_message_ = 0, acknowledged_message_ = 0;
    std::uint64_t answered_locally_ = 0, forwarded_ = 0, timed_out_ = 0;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::relay
