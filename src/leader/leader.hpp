// What the controller does while it leads. The work is that of the parts in this folder, of which each says
// in its header what it owns and may touch; LeaderParts puts them together, and this class passes on to them
// what comes from outside, and ticks.
//
// One object per leadership, on the event loop's thread. It is dropped when the leadership ends: answers that
// come later find it gone (CallbackGuard), and each act before that asks whether it is allowed (Authority).
// What happens in which order after a claim: Recovery loads and calls back, then heartbeats are answered and
// the ticks begin; plans are made once enough machines have reconciled.
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

// One leadership of this controller, from its claim to its end.
class Leader : public std::enable_shared_from_this<Leader> {
  public:
    // `version`: of the leader's key as claimed, the fencing token. `seed`: of the plans' random draws.
    Leader(LeaderDependencies dependencies, protocol::LeaderVersion version, std::uint64_t seed);
    // Once, when a shared_ptr owns the object.
    void start();
    // The leadership is over, for ever.
    void stop();

    // A heartbeat that came here; answered now, or once the jobs are loaded.
    void handle_heartbeat(relay::PendingHeartbeat report) { parts_.heartbeats.handle(std::move(report)); }
    // Heartbeats that a relaying controller passes on.
    void relay(const protocol::RelayRequest& message, const http::Reply& reply) {
        parts_.heartbeats.handle_relayed(message, reply);
    }
    // Machines whose heartbeats relaying controllers answer.
    std::size_t delegated_machines() const { return parts_.delegations.count(); }
    const replication::ReplicationSender& replication() const { return parts_.start_replication.sender(); }
    // The steps of the failover that are done, with their times.
    const failover::FailoverSteps& steps() const { return parts_.recovery.steps(); }
    // Whether it may be the leader that is cut off, rather than its machines.
    bool suspects_itself() const { return parts_.failure_detector.self_suspicion().has_value(); }
    // Nothing if the job is not live, or jobs are not loaded.
    std::optional<api::TaskCounts> counts(const std::string& id);
    // Of all live jobs with tasks that run or are done.
    std::vector<protocol::PeerTaskCounts> all_counts();
    // The machines' image caches, for the next leader.
    protocol::PeerImages images() const { return images_to_hand_over(parts_.state.cluster); }
    // Machines whose heartbeats are missing, and for how long, seconds.
    std::map<std::string, double> suspected() const { return parts_.supervisor.suspected(); }
    void update_machine_types();
    // The controller with this label is a new process.
    void controller_restarted(const std::string& controller, protocol::Incarnation incarnation) {
        parts_.start_replication.controller_restarted(controller, incarnation);
    }
    // The job's record says since this version that it is cancelled.
    void cancelled(const std::string& id, std::uint64_t version);

  private:
    void tick();
    void do_due_work();
    bool resign_if_tokens_run_out();

    LeaderParts parts_;
    event_loop::TimerId tick_timer_ = 0;
};

}  // namespace coralhitch::leader
