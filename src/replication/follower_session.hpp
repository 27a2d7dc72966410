// The leader's replication state for one follower: which machines are still to be sent, which changes are
// acknowledged, and whether the follower's replica is in sync. It does no I/O: `ReplicationSender` sends the
// batches.
//
// Each change of a machine gets the next log index. A batch holds the state of its machines at the time of
// sending, so it also covers changes made after those machines were queued.
//
// Not thread safe; times are seconds of the leader's clock.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::replication {

// The sequence of replication sessions with one follower. A session begins with a snapshot, or by resuming
// the replica of an earlier leadership, and ends when replication to the follower fails.
class FollowerSession {
  public:
    using Member = protocol::InSyncReplicas::Member;
    enum class State {
        inactive,      // nothing is sent to the follower
        snapshotting,  // the follower has not acknowledged the whole snapshot yet
        in_sync,       // the replica is complete and contains all changes up to `acknowledged_index()`
    };
    // Machines to send in one request.
    struct Batch {
        std::vector<std::string> machines;  // ids
        std::uint64_t last_index = 0;       // acknowledging the batch acknowledges all changes up to this one
        std::uint64_t session = 0;          // number of the session, for is_current()
    };
    explicit FollowerSession(config::Peer peer) : peer_(std::move(peer)) {}

    // Begins a session with a snapshot of these machines. Earlier acknowledgements of the follower no longer
    // count.
    void begin_snapshot(const std::vector<std::string>& machines);
    // Begins a session that continues the replica that the previous leader recorded as in sync.
    void resume(const Member& member, double now);
    // Ends the session. The next one may begin at `retry_at`.
    void end(double retry_at);
    // Doubles the delay before the next session, within these bounds, and returns it in seconds.
    double increase_backoff(double min_s, double max_s);
    void reset_backoff() { backoff_s_ = 0; }
    [[nodiscard]] bool may_retry(double now) const { return !active() && now >= retry_at_; }

    // Queues a machine that has changed. Does nothing if the session is inactive or the machine is queued.
    void enqueue(const std::string& machine, std::uint64_t log_index);
    // Returns true if a batch should be sent: no other batch is in flight, and there are queued machines, a
    // snapshot to complete, or a complete replica to announce to the follower.
    [[nodiscard]] bool ready_to_send() const;
    // Removes up to `max_machines` from the queue and returns them as the batch in flight. `log_index` is the
    // index of the latest change.
    [[nodiscard]] Batch next_batch(std::size_t max_machines, std::uint64_t log_index, double now);
    // Returns true if `session` is the number of the current session. Answers to batches of earlier sessions
    // must be ignored.
    [[nodiscard]] bool is_current(std::uint64_t session) const { return session == session_; }

    // Records that the batch in flight was answered or has failed, so that the next one may be sent.
    void finish_batch() { in_flight_ = false; }
    // Puts the machines of a failed batch back at the front of the queue.
    void requeue(const Batch& batch);
    // Records that the follower has applied the batch. `leader_version` identifies this leadership.
    void acknowledge(const Batch& batch, const protocol::ReplicationResponse& answer,
                     protocol::LeaderVersion leader_version);
    [[nodiscard]] bool snapshot_acknowledged() const {
        return state_ == State::snapshotting && queue_.empty();
    }
    void set_in_sync(double now);

    [[nodiscard]] bool active() const { return state_ != State::inactive; }
    [[nodiscard]] bool in_sync() const { return state_ == State::in_sync; }
    [[nodiscard]] const config::Peer& peer() const { return peer_; }
    // Returns the follower's entry for the stored record of in-sync followers.
    [[nodiscard]] Member member() const { return {peer_.label, incarnation_, base_version_}; }
    // Returns the incarnation of the follower's process; none while it is unknown.
    [[nodiscard]] protocol::Incarnation incarnation() const { return incarnation_; }
    void set_incarnation(protocol::Incarnation incarnation) { incarnation_ = incarnation; }
    // Returns the leadership whose snapshot the follower's replica began from.
    [[nodiscard]] protocol::LeaderVersion base_version() const { return base_version_; }
    // Returns true if this session continues a replica of an earlier leadership.
    [[nodiscard]] bool resumed() const { return resumed_; }
    // Returns the log index up to which the follower has acknowledged all changes; 0 if there is none.
    [[nodiscard]] std::uint64_t acknowledged_index() const { return acknowledged_index_; }
    // Returns the number of machines still to be sent.
    [[nodiscard]] std::size_t queue_size() const { return queue_.size(); }
    // Returns the time at which the first batch since the last acknowledgement was sent; nullopt if no
    // acknowledgement is outstanding.
    [[nodiscard]] std::optional<double> waiting_since() const { return waiting_since_; }
    // Returns the time at which the follower last became in sync.
    [[nodiscard]] double in_sync_since() const { return in_sync_since_; }

  private:
    struct QueuedChange {
        std::uint64_t log_index;
        std::string machine;
    };
    config::Peer peer_;
    State state_ = State::inactive;
    bool in_flight_ = false;
    bool resumed_ = false;
    bool announce_complete_ = false;  // the follower must still be informed that its replica is complete
    std::uint64_t session_ = 0;       // grows with each begin and end
    protocol::Incarnation incarnation_;
    protocol::LeaderVersion base_version_;
    std::uint64_t acknowledged_index_ = 0;
    std::deque<QueuedChange> queue_;  // by log index
    std::unordered_set<std::string> queued_machines_;
    std::optional<double> waiting_since_;
    double retry_at_ = 0, backoff_s_ = 0, in_sync_since_ = 0;
};

}  // namespace coralhitch::replication
