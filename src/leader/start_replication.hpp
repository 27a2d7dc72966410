// Replicates to the followers which instances may be on each machine, and delays each start of a task until
// every controller that could become the next leader has acknowledged it (see ReplicationSender).
//
// StartReplication owns the sender of replicated changes and the held starts. It reads the changed machines
// from the cluster state and marks instances there as replicated. Commands are sent through `flush_commands`.
//
// All functions must be called on the event loop's thread. They lock LeaderState::mutex themselves, so the
// caller must not hold it.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "kv/kv_client.hpp"
#include "leader/leader_part.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "replication/replication_sender.hpp"

namespace coralhitch::leader {

// Replicates changed machines to the followers, and holds starts until the followers have acknowledged them.
class StartReplication : private LeaderPart {
  public:
    // Returns the last ping from the controller with this label, or null if there was no recent one.
    using LatestPing = std::function<const protocol::PeerPing*(const std::string& label)>;

    // If settings.op.replicate_starts is set, makes the cluster state hold starts until they are replicated.
    // Otherwise starts are neither replicated nor held.
    StartReplication(const PartContext& context, http::Requester& http, kv::KvClient& kv,
                     const LatestPing& latest_ping, std::function<void()> flush_commands);

    // Starts the replication. Must be called once, before anything changes in the cluster state. Does nothing
    // if starts are not replicated. `record_version` is the version of the stored record of in-sync followers
    // as read after the election, or 0 if there is none. `inherited` is that record if this leader restored
    // its state from its own replica, and empty otherwise.
    void begin(std::uint64_t record_version, const std::optional<protocol::InSyncReplicas>& inherited);
    // Queues the machines that have changed since the last call for replication.
    void replicate_changes();
    // Holds the start of this task until all changes queued so far are acknowledged. The change of its
    // machine must be among them.
    void hold_start(const std::string& machine_id, const protocol::TaskId& task);
    // Sends the queued changes at once, because starts wait for their acknowledgement.
    void flush() { sender_.flush(); }
    // Releases the held starts that all in-sync followers have acknowledged, and sends all commands that are
    // pending for machines.
    void release_starts();
    // Begins replication to controllers that have become able to follow. Must be called at each tick.
    void tick() { sender_.tick(); }
    // Notes that the controller with this label is now another process, which has lost its replica.
    void controller_restarted(const std::string& label, protocol::Incarnation incarnation) {
        sender_.handle_follower_restart(label, incarnation);
    }
    [[nodiscard]] const replication::ReplicationSender& sender() const { return sender_; }

  private:
    // A start that waits for its acknowledgement by the followers.
    struct HeldStart {
        std::uint64_t log_index = 0;  // the start is sent once all changes up to this one are acknowledged
        std::string machine_id;
        protocol::TaskId task;
    };
    // Returns the machine as it is replicated. Returns a row marked as deleted for an unknown machine, and
    // nothing for a booting machine, which cannot have instances.
    [[nodiscard]] std::optional<protocol::ReplicatedMachine> replicated_machine(
        const std::string& machine_id) const;
    [[nodiscard]] std::vector<std::string> machine_ids() const;
    [[nodiscard]] replication::ReplicationSender::Callbacks sender_callbacks(const LatestPing& latest_ping);

    std::function<void()> flush_commands_;
    replication::ReplicationSender sender_;
    std::deque<HeldStart> held_starts_;
};

}  // namespace coralhitch::leader
