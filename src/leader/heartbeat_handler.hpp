// Handles agents' heartbeats: those that agents send to this controller, and those that a relay forwards.
//
// Safety depends on which heartbeats are answered, since a 200 renews the agent's lease. A heartbeat gets a
// 200 only while this leader may renew leases, only if its status is current, and never if the machine might
// run a task that must be stopped (ClusterState::may_renew_lease). All other heartbeats are rejected and
// counted by reason.
//
// HeartbeatHandler owns the heartbeats that arrived before the jobs were loaded, the cache of replies that
// may be repeated, and the number of machines redirected to relays in the present tick. It writes the route,
// the lease renewal and the reachability of a machine. ClusterState applies the status itself.
//
// Runs on the event loop's thread. Takes LeaderState::mutex itself, so the caller must not hold it.
#pragma once
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "leader/command_sender.hpp"
#include "leader/delegations.hpp"
#include "leader/instance_tracker.hpp"
#include "leader/leader_part.hpp"
#include "leader/machine_store.hpp"
#include "leader/machine_supervisor.hpp"
#include "leader/recovery.hpp"
#include "leader/start_replication.hpp"
#include "membership/failure_detector.hpp"
#include "protocol/agent_api.hpp"
#include "protocol/model.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_rejections.hpp"
#include "relay/reply_cache.hpp"

namespace coralhitch::leader {

// Applies heartbeats to the cluster state and answers them.
class HeartbeatHandler : private LeaderPart {
  public:
    // The parts of the leader that a heartbeat may affect. All of them must outlive the handler.
    struct Parts {
        Delegations& delegations;
        membership::FailureDetector& failure_detector;
        MachineSupervisor& supervisor;
        MachineStore& machine_store;
        InstanceTracker& instances;
        CommandSender& commands;
        StartReplication& start_replication;
        Recovery& recovery;
    };
    // Callbacks, called without LeaderState::mutex.
    struct Hooks {
        std::function<void()> request_plan;
        // Requests that ends and progress of jobs be stored soon.
        std::function<void()> request_job_store;
    };
    HeartbeatHandler(const PartContext& context, relay::HeartbeatRejections& rejections, const Parts& parts,
                     Hooks hooks);

    // Answers a heartbeat that an agent sent to this controller. Calls its reply at once or, if the jobs are
    // not loaded yet, after they have been loaded.
    void handle(relay::PendingHeartbeat heartbeat);
    // Answers a relay's message. Each heartbeat in it is answered as if the agent had sent it here. The reply
    // says so if this leader does not accept forwarded heartbeats now, and is a 503 if a later message of the
    // relay arrived before.
    void handle_relayed(const protocol::RelayRequest& message, const http::Reply& reply);
    // Applies a status that arrived in a heartbeat or in the answer to a direct request. Then sends the
    // commands, requests the plan and the writes that follow from it. Ends the leadership, in a later turn of
    // the event loop, if the agent has seen the fencing token of a later leader.
    cluster::HeartbeatOutcome apply(const protocol::Heartbeat& status, cluster::HeartbeatChannel via);

    // Handles the heartbeats that arrived before the jobs were loaded, a bounded number in each turn of the
    // event loop. Called once the jobs are loaded.
    void handle_early_heartbeats();
    // Resets the count of machines redirected to relays, which is limited per tick.
    void begin_tick() { redirected_since_tick_ = 0; }
    // Drops the cached reply to a machine that has been deleted.
    void forget(const std::string& machine_id) { reply_cache_.forget(machine_id); }
    // Answers all heartbeats that still wait with 503. Called when the leadership ends.
    void stop();

  private:
    // The answer to one heartbeat, and the machine that sent it.
    struct Answer {
        protocol::RelayedReply reply;
        std::string machine_id;  // empty if the heartbeat was rejected unread or malformed
    };
    [[nodiscard]] bool repeat_reply(const std::string& body, const http::Reply& reply);
    [[nodiscard]] Answer answer(const std::string& body, const std::string& relay_label);
    [[nodiscard]] protocol::RelayedReply answer(const protocol::Heartbeat& status,
                                                const std::string& relay_label, bool may_act);
    [[nodiscard]] protocol::RelayedReply renew(cluster::Machine& machine, const std::string& relay_label,
                                               bool may_act);
    protocol::RelayedReply reject(relay::HeartbeatRejection reason);
    cluster::HeartbeatOutcome apply_to_state(const protocol::Heartbeat& status,
                                             cluster::HeartbeatChannel via);
    void record_route(cluster::Machine& machine, const std::string& route);
    [[nodiscard]] std::optional<std::string> relay_for(cluster::Machine& machine);
    void apply_relay_heartbeats(const protocol::RelayRequest& message);
    [[nodiscard]] double relay_grant_s() const;

    Authority& leadership_;  // the same object as authority_, not const: this part may end the leadership
    relay::HeartbeatRejections& rejections_;
    Parts parts_;
    Hooks hooks_;
    protocol::HeartbeatReader reader_;
    relay::HeartbeatQueue early_heartbeats_;  // arrived before the jobs were loaded
    relay::ReplyCache reply_cache_;           // replies to machines that send their heartbeats here
    std::size_t redirected_since_tick_ = 0;
};

}  // namespace coralhitch::leader
