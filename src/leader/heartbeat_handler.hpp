// Heartbeats in, answers out: those that workers send here, and those that other controllers pass on.
//
// Safety rests on what is answered: a 200 renews the worker's lease, so it is given only while this leader
// may renew leases, only to a machine whose status is current, and never to one that might run a task which
// must be stopped (ClusterState::may_renew_lease). Everything else is refused, and counted by its reason.
//
// Owns the heartbeats that came before the jobs were loaded, the replies that may be repeated, and how many
// machines it has sent to relays. Writes of a machine what a heartbeat and its answer change: route, renewal
// and reachability; the status itself is ClusterState's to apply.
//
// On the event loop's thread; takes LeaderState::mutex itself, so the caller must not hold it.
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

// Applies heartbeats to the state and answers them.
class HeartbeatHandler : private LeaderPart {
  public:
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
    struct Hooks {
        std::function<void()> request_plan;
        // What jobs have ended, or got done, is to be stored soon.
        std::function<void()> request_job_store;
    };
    HeartbeatHandler(const PartContext& context, relay::HeartbeatRejections& rejections, const Parts& parts,
                     Hooks hooks);

    // A heartbeat that came here; its reply is called now, or once the jobs are loaded.
    void handle(relay::PendingHeartbeat report);
    // Heartbeats that a relay passes on: each is answered as if it had come here.
    void handle_relayed(const protocol::RelayRequest& message, const http::Reply& reply);
    // Takes in a status, which came in a heartbeat or as the answer to a direct request, and sets off what
    // follows from it.
    cluster::HeartbeatOutcome apply(const protocol::Heartbeat& status, cluster::ReportChannel via);

    // The jobs are loaded: handles the heartbeats that came before, some in each turn of the loop.
    void handle_early_heartbeats();
    // A tick begins: that many more machines may be sent to relays.
    void begin_tick() { redirected_since_tick_ = 0; }
    // The machine is deleted.
    void forget(const std::string& machine_id) { reply_cache_.forget(machine_id); }
    // The leadership is over: heartbeats that still wait are turned away.
    void stop();

  private:
    struct Answer {
        protocol::RelayedReply reply;
        std::string machine_id;  // empty if the heartbeat was not read
    };
    [[nodiscard]] bool repeat_reply(const std::string& body, const http::Reply& reply);
    [[nodiscard]] Answer answer(const std::string& body, const std::string& relay_label);
    [[nodiscard]] protocol::RelayedReply answer(const protocol::Heartbeat& status,
                                                const std::string& relay_label, bool may_act);
    [[nodiscard]] protocol::RelayedReply renew(cluster::Machine& machine, const std::string& relay_label,
                                               bool may_act);
    protocol::RelayedReply reject(relay::HeartbeatRejection reason);
    cluster::HeartbeatOutcome apply_to_state(const protocol::Heartbeat& status, cluster::ReportChannel via);
    void record_route(cluster::Machine& machine, const std::string& route);
    [[nodiscard]] std::optional<std::string> relay_for(cluster::Machine& machine);
    void apply_relay_heartbeats(const protocol::RelayRequest& message);
    [[nodiscard]] double relay_grant_s() const;

    Authority& leadership_;  // this part may end it
    relay::HeartbeatRejections& rejections_;
    Parts parts_;
    Hooks hooks_;
    protocol::HeartbeatReader reader_;
    relay::HeartbeatQueue early_heartbeats_;  // came before the jobs were loaded
    relay::ReplyCache reply_cache_;           // of machines that report here
    std::size_t redirected_since_tick_ = 0;
};

}  // namespace coralhitch::leader
