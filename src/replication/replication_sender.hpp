// The leader's side of replication: keeps followers' replicas of its machines up to date, and decides when a
// start may be sent to a worker.
//
// A start may be sent once every controller that the stored record names, or may come to name by a write
// under way, has acknowledged a batch that contains it. A follower that lags is removed from the record
// first, and the removal confirmed. So whoever is named in the record knows every start that can have been
// sent, and may take its replica for proof after a failover.
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

class ReplicationSender {
  public:
    struct Callbacks {
        // The machine as it is now; nothing if there is nothing to replicate of it yet.
        std::function<std::optional<protocol::ReplicatedMachine>(const std::string& machine)> machine_row;
        // Ids of all machines, for a snapshot.
        std::function<std::vector<std::string>()> all_machines;
        // A transaction on the condition that this leadership lasts; nothing without authority.
        std::function<std::optional<protocol::Txn>()> begin_txn;
        // The last ping of another controller; null if that is too long ago.
        std::function<const protocol::PeerPing*(const std::string& label)> last_ping;
        // `replicated` may be true for later log indexes than before.
        std::function<void()> on_progress;
    };
    // `leader_version`: of this leadership.
    ReplicationSender(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                      kv::KvClient& kv, protocol::LeaderVersion leader_version, Callbacks callbacks);
    ~ReplicationSender();
    ReplicationSender(const ReplicationSender&) = delete;
    ReplicationSender& operator=(const ReplicationSender&) = delete;

    // Call once, before anything changes in the cluster state. `record_version`: of the record's key as read
    // after the claim; 0: there is none. `inherited`: the record itself, if this leader's own replica was
    // proof; the followers it names continue their replicas.
    void start(std::uint64_t record_version, const std::optional<protocol::InSyncReplicas>& inherited);
    // The controller is now another process.
    void handle_follower_restart(const std::string& label, protocol::Incarnation incarnation);
    // A machine has changed, and is sent within a tenth of a report period.
    void record_machine_change(const std::string& machine);
    // Index of the last change.
    [[nodiscard]] std::uint64_t log_index() const { return log_index_; }
    // Whether starts that are part of the changes up to this index may be sent.
    [[nodiscard]] bool replicated(std::uint64_t log_index) const;
    // Sends all changes at once: a start waits for them.
    void flush();
    // Begins sessions with controllers that may follow. Call periodically.
    void tick();

    // Followers named by the stored record.
    [[nodiscard]] std::size_t in_sync_count() const { return record_.confirmed_count(); }
    [[nodiscard]] std::uint64_t batches_sent() const { return batches_sent_; }
    // Sessions that ended after they were in sync.
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
    std::uint64_t urgent_index_ = 0;  // a start waits for the changes up to this one
    std::uint64_t batches_sent_ = 0, in_sync_sessions_ended_ = 0;
    bool send_scheduled_ = false;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::replication
