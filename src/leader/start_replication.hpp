// Which starts may be sent: those that every controller which could lead next knows of. Tells the others what
// the machines may hold_start and holds each start back until they have acknowledged it (see
// ReplicationSender).
//
// Owns the sender of replicated changes and the starts that are held. Reads the cluster state's changed
// machines and releases instances in it; commands are sent through `flush_commands`.
//
// On the event loop's thread; takes LeaderState::mutex itself, so the caller must not hold_start it.
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

// Replicates changed machines to the followers, and holds starts back until they have them.
class StartReplication : private LeaderPart {
  public:
    // What another controller last said of itself, if that is not long ago; else null.
    using LatestPing = std::function<const protocol::PeerPing*(const std::string& label)>;

    // Makes the cluster state hold_start starts back, if they are replicated at all
    // (settings.op.replicate_starts).
    StartReplication(const PartContext& context, http::Requester& http, kv::KvClient& kv,
                     const LatestPing& latest_ping, std::function<void()> flush_commands);

    // Once, with the in-sync record's version as read after the claim (0: there is none) and the record
    // itself if this leader's own copy was proof; before anything changes in the cluster state. Does nothing
    // if starts are not replicated.
    void begin(std::uint64_t record_version, const std::optional<protocol::InSyncReplicas>& inherited);
    // Queues the machines that have changed since the last call.
    void replicate_changes();
    // The start of this task, whose machine was among the last changes queued, is sent once they are
    // acknowledged.
    void hold_start(const std::string& machine_id, const protocol::TaskId& task);
    // Starts wait: the queue is sent now.
    void flush() { sender_.flush(); }
    // Sends the held starts that all others have acknowledged, and whatever else is due to machines.
    void release_starts();
    // To be called each tick: controllers that do not follow yet may begin to.
    void tick() { sender_.tick(); }
    void controller_restarted(const std::string& label, protocol::Incarnation incarnation) {
        sender_.follower_restarted(label, incarnation);
    }
    [[nodiscard]] const replication::ReplicationSender& sender() const { return sender_; }

  private:
    struct HeldStart {
        std::uint64_t log_index = 0;  // of the change that shows the start
        std::string machine_id;
        protocol::TaskId task;
    };
    [[nodiscard]] std::optional<protocol::ReplicatedMachine> replicated_machine(
        const std::string& machine_id) const;
    [[nodiscard]] std::vector<std::string> machine_ids() const;
    [[nodiscard]] replication::ReplicationSender::Callbacks sender_callbacks(const LatestPing& latest_ping);

    std::function<void()> flush_commands_;
    replication::ReplicationSender sender_;
    std::deque<HeldStart> held_starts_;
};

}  // namespace coralhitch::leader
