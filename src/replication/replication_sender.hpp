// The leader's side of replication: keeps the followers' replicas of its machines up to date, and decides
// when the start of a task may be sent to an agent.
//
// A start may be sent once a batch that contains it has been acknowledged by every controller that the stored
// record names, or will name if a write under way is executed. A follower that does not acknowledge in time
// must first be removed from the record, and the removal confirmed. Every controller named in the record
// therefore knows all starts that can have been sent, and may rely on its replica after a failover.
//
// `FollowerSession` holds the state of each follower, `InSyncRecord` the stored record.
//
// Not thread safe; all callbacks run on the event loop.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "replication/follower_session.hpp"
#include "replication/in_sync_record.hpp"

namespace coralhitch::replication {

// Replicates the leader's machines to all other controllers that can follow.
class ReplicationSender {
  public:
    struct Callbacks {
        // Returns the current state of the machine; nullopt if there is nothing to replicate yet.
        std::function<std::optional<protocol::ReplicatedMachine>(const std::string& machine)> machine_row;
        // Returns the ids of all machines, for a snapshot.
        std::function<std::vector<std::string>()> all_machines;
        // Returns a transaction conditional on this leadership; nullopt while this leader has no authority.
        std::function<std::optional<protocol::Txn>()> begin_txn;
        // Returns the last ping of another controller; null if that ping is too old.
        std::function<const protocol::PeerPing*(const std::string& label)> last_ping;
        // Called when `replicated` may have become true for further log indexes.
        std::function<void()> on_progress;
    };
    // `leader_version` identifies this leadership.
    ReplicationSender(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                      kv::KvClient& kv, protocol::LeaderVersion leader_version, Callbacks callbacks);
    ~ReplicationSender();
    ReplicationSender(const ReplicationSender&) = delete;
    ReplicationSender& operator=(const ReplicationSender&) = delete;

    // Starts replication. Must be called once, before the cluster state changes. `record_version` is the
    // version of the record's key as read after this controller claimed leadership; 0 if the key does not
    // exist. `inherited` is the record itself if this leader could rely on its own replica: the followers
    // named there continue their replicas.
    void start(std::uint64_t record_version, const std::optional<protocol::InSyncReplicas>& inherited);
    // Begins a new session if the controller's process has another incarnation than the session's follower.
    void handle_follower_restart(const std::string& label, protocol::Incarnation incarnation);
    // Records that a machine has changed. The change is sent within a tenth of a heartbeat period.
    void record_machine_change(const std::string& machine);
    // Returns the log index of the latest change.
    [[nodiscard]] std::uint64_t log_index() const { return log_index_; }
    // Returns true if starts that are part of the changes up to this index may be sent.
    [[nodiscard]] bool replicated(std::uint64_t log_index) const;
    // Sends all changes at once. To be called when a start waits for them.
    void flush();
    // Begins sessions with controllers that can follow and have none. Must be called periodically.
    void tick();

    // Returns the number of followers named by the last confirmed record.
    [[nodiscard]] std::size_t in_sync_count() const { return record_.confirmed_count(); }
    [[nodiscard]] std::uint64_t batches_sent() const { return batches_sent_; }
    // Returns the number of sessions that ended after the follower had been in sync.
    [[nodiscard]] std::uint64_t in_sync_sessions_ended() const { return in_sync_sessions_ended_; }

  private:
    [[nodiscard]] const protocol::PeerPing* capable_peer(const std::string& label,
                                                         std::uint64_t features) const;
    void begin_snapshot(FollowerSession& session);
    void resume(const protocol::InSyncReplicas::Member& member);
    enum class Backoff { none, increase };
    void end_session(FollowerSession& session, const char* reason, Backoff backoff);
    void schedule_send();
    void send_all();
    void send(FollowerSession& session);
    void handle_answer(FollowerSession& session, const FollowerSession::Batch& batch,
                       const std::optional<http::Response>& response);
    void handle_no_answer(FollowerSession& session, const FollowerSession::Batch& batch);
    void handle_rejection(FollowerSession& session, const protocol::ReplicationResponse& answer);
    void handle_acknowledgement(FollowerSession& session, const FollowerSession::Batch& batch,
                                const protocol::ReplicationResponse& answer);
    [[nodiscard]] std::vector<FollowerSession::Member> in_sync_members() const;
    [[nodiscard]] double answer_timeout_s(const FollowerSession& session) const;

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    protocol::LeaderVersion leader_version_;
    Callbacks callbacks_;
    std::map<std::string, FollowerSession> sessions_;  // by label, of all other controllers
    InSyncRecord record_;
    std::uint64_t log_index_ = 0;
    std::uint64_t urgent_index_ = 0;  // a start waits for the changes up to this log index
    std::uint64_t batches_sent_ = 0, in_sync_sessions_ended_ = 0;
    bool send_scheduled_ = false;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::replication
