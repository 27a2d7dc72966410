// The work of a controller while it is the leader. It is done by the parts in this folder. The header of each
// part says what the part owns and what it may change. LeaderParts constructs and connects the parts. The
// Leader class forwards external events to them and runs the periodic tick.
//
// There is one Leader object per leadership, used on the event loop's thread. It is released when the
// leadership ends. Until then, every action first checks that the leader may act (Authority). Callbacks that
// run after the end do nothing (CallbackGuard).
//
// After an election, Recovery loads the stored state. Then heartbeats are answered and the tick starts. Plans
// are computed once enough machines have reconciled.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "api/user_api.hpp"
#include "leader/image_handover.hpp"
#include "leader/leader_dependencies.hpp"
#include "leader/leader_parts.hpp"
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_queue.hpp"

namespace coralhitch::leader {

// One leadership of this controller, from its election to its end.
class Leader : public std::enable_shared_from_this<Leader> {
  public:
    // `version` is the version of the leader key that won the election, and serves as the fencing token.
    // `seed` initializes the random number generator of the plans.
    Leader(LeaderDependencies dependencies, protocol::LeaderVersion version, std::uint64_t seed);
    // Starts the recovery. Must be called once, after a shared_ptr owns the object.
    void start();
    // Ends the leadership permanently.
    void stop();

    // Handles a heartbeat that an agent sent to this controller. Answers it now, or once the jobs are loaded.
    void handle_heartbeat(relay::PendingHeartbeat heartbeat) {
        parts_.heartbeats.handle(std::move(heartbeat));
    }
    // Handles heartbeats that a relay forwarded.
    void handle_relayed_heartbeats(const protocol::RelayRequest& message, const http::Reply& reply) {
        parts_.heartbeats.handle_relayed(message, reply);
    }
    // Returns the number of machines whose heartbeats are delegated to relays.
    std::size_t delegated_machines() const { return parts_.delegations.count(); }
    // Returns the sender of replicated changes, for its statistics.
    const replication::ReplicationSender& replication() const { return parts_.start_replication.sender(); }
    // Returns the completed steps of the failover, with their times.
    const failover::FailoverSteps& steps() const { return parts_.recovery.steps(); }
    // Returns true if heartbeats may be missing because the leader is isolated, not because machines failed.
    bool suspects_itself() const { return parts_.failure_detector.self_suspicion().has_value(); }
    // Returns the number of done and running tasks of the job, or nothing if the job is not live or the jobs
    // are not loaded.
    std::optional<api::TaskCounts> counts(const std::string& id);
    // Returns the counts of all live jobs with running or done tasks. Empty while the jobs are not loaded.
    std::vector<protocol::PeerTaskCounts> all_counts();
    // Returns the image caches of the machines, to be sent to the next leader.
    protocol::PeerImages image_caches() const { return image_caches_to_hand_over(parts_.state.cluster); }
    // Returns the machines whose heartbeats are missing, with the duration of their silence in seconds.
    std::map<std::string, double> suspected() const { return parts_.supervisor.suspected(); }
    // Applies LeaderDependencies::machine_types again after they have changed.
    void update_machine_types();
    // Notes that the controller with this label is now another process.
    void controller_restarted(const std::string& controller, protocol::Incarnation incarnation) {
        parts_.start_replication.controller_restarted(controller, incarnation);
    }
    // Cancels the job in the job table, and sends the commands that stop its tasks. `version` is the version
    // of the job's stored record since which the job is cancelled.
    void apply_cancellation(const std::string& id, std::uint64_t version);

  private:
    void tick();
    void do_due_work();
    bool resign_if_tokens_run_out();

    LeaderParts parts_;
    event_loop::TimerId tick_timer_ = 0;
};

}  // namespace coralhitch::leader
