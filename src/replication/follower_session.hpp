// The leader's state of replication to one follower: which machines are still to be sent, what is
// acknowledged, and whether the follower's replica is in sync. No I/O; `ReplicationSender` sends the batches.
//
// Every change of a machine has a log index, growing by one. A batch holds machines as they are when it is
// sent, so it also covers changes that came after they were queued.
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

class FollowerSession {
  public:
    using Member = protocol::InSyncReplicas::Member;
    enum class State {
        inactive,      // nothing is sent
        snapshotting,  // has not acknowledged all machines yet
        in_sync,       // has acknowledged all machines once, and all changes up to `acknowledged`
    };
    struct Batch {
        std::vector<std::string> machines;
        std::uint64_t last_index = 0;  // acknowledged with it are all changes up to this one
        std::uint64_t session = 0;     // see is_current()
    };
    explicit FollowerSession(config::Peer peer) : peer_(std::move(peer)) {}

    // Begins from nothing with a snapshot of these machines. What the follower acknowledged before no longer
    // counts.
    void begin_snapshot(const std::vector<std::string>& machines);
    // Continues the replica that the previous leader recorded as in sync.
    void resume(const Member& member, double now);
    // Ends the session; a new one may begin at `retry_at`.
    void end(double retry_at);
    // Doubles the time to wait before the next session, within these bounds, and returns it. Seconds.
    double increase_backoff(double min_s, double max_s);
    void reset_backoff() { backoff_s_ = 0; }
    [[nodiscard]] bool may_retry(double now) const { return !active() && now >= retry_at_; }

    // A machine has changed. Ignored if the session is inactive.
    void enqueue(const std::string& machine, std::uint64_t log_index);
    // Whether a batch should be sent: none is in flight, and there is something to say.
    [[nodiscard]] bool ready_to_send() const;
    // Takes up to `max_machines` off the queue; the batch is in flight from now on. `log_index`: the newest.
    [[nodiscard]] Batch next_batch(std::size_t max_machines, std::uint64_t log_index, double now);
    // Whether a batch of this `session` belongs to the present one. Answers to others mean nothing.
    [[nodiscard]] bool is_current(std::uint64_t session) const { return session == session_; }

    // The batch in flight was answered, or failed.
    void finish_batch() { in_flight_ = false; }
    // It failed: its machines are sent again before all others.
    void requeue(const Batch& batch);
    // The follower has applied it. `leader_version`: of this leadership.
    void acknowledge(const Batch& batch, const protocol::ReplicationResponse& answer,
                     protocol::LeaderVersion leader_version);
    [[nodiscard]] bool snapshot_acknowledged() const {
        return state_ == State::snapshotting && queue_.empty();
    }
    void set_in_sync(double now);

    [[nodiscard]] bool active() const { return state_ != State::inactive; }
    [[nodiscard]] bool in_sync() const { return state_ == State::in_sync; }
    [[nodiscard]] const config::Peer& peer() const { return peer_; }
    // As named in the stored record while it is in sync.
    [[nodiscard]] Member member() const { return {peer_.label, incarnation_, base_version_}; }
    // Of the follower's process; 0: not known yet.
    [[nodiscard]] protocol::Incarnation incarnation() const { return incarnation_; }
    void set_incarnation(protocol::Incarnation incarnation) { incarnation_ = incarnation; }
    // The leadership whose snapshot its replica began from.
    [[nodiscard]] protocol::LeaderVersion base_version() const { return base_version_; }
    // Whether it continues a replica of an earlier leadership.
    [[nodiscard]] bool resumed() const { return resumed_; }
    [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
    [[nodiscard]] std::size_t queue_size() const { return queue_.size(); }
    // Since when it owes an answer, repeated batches included; the sending of the first of them.
    [[nodiscard]] std::optional<double> waiting_since() const { return waiting_since_; }
    // When it was last found in sync.
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
    bool announce_complete_ = false;  // the follower is yet to be told that its replica is complete
    std::uint64_t session_ = 0;       // grows with each begin and end
    protocol::Incarnation incarnation_;
    protocol::LeaderVersion base_version_;
    std::uint64_t acknowledged_ = 0;
    std::deque<QueuedChange> queue_;  // by log index
    std::unordered_set<std::string> queued_machines_;
    std::optional<double> waiting_since_;
    double retry_at_ = 0, backoff_s_ = 0, in_sync_since_ = 0;
};

}  // namespace coralhitch::replication
