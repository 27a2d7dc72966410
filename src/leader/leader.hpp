// What the controller does while it leads. The work is that of the parts in this folder, of which each says
// in its header what it owns and may touch; this class makes them, passes on what comes from outside, and
// ticks.
//
// One object per leadership, on the event loop's thread. It is dropped when the leadership ends: answers that
// come later find it gone (CallbackGuard), and each act before that asks whether it is allowed (Authority).
// What happens in which order after a claim: Recovery loads and calls back, then heartbeats are answered and
// the ticks begin; plans are made once enough machines have reconciled.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "api/user_api.hpp"
#include "cloud/cloud_client.hpp"
#include "cluster/team_usage.hpp"
#include "election/election.hpp"
#include "failover/reconciliation.hpp"
#include "leader/attempt_numbers.hpp"
#include "leader/authority.hpp"
#include "leader/callback_guard.hpp"
#include "leader/command_sender.hpp"
#include "leader/delegations.hpp"
#include "leader/dependency_resolver.hpp"
#include "leader/fleet_scaler.hpp"
#include "leader/heartbeat_handler.hpp"
#include "leader/host_lister.hpp"
#include "leader/image_handover.hpp"
#include "leader/instance_tracker.hpp"
#include "leader/job_store.hpp"
#include "leader/job_watcher.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_deletion.hpp"
#include "leader/machine_store.hpp"
#include "leader/machine_supervisor.hpp"
#include "leader/part_context.hpp"
#include "leader/plan_executor.hpp"
#include "leader/planner.hpp"
#include "leader/recovery.hpp"
#include "leader/stale_key_remover.hpp"
#include "leader/start_replication.hpp"
#include "membership/failure_detector.hpp"
#include "metrics/metrics.hpp"
#include "protocol/model.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_rejections.hpp"

namespace coralhitch::leader {

// What the leader is given; the references must outlive it.
struct LeaderDependencies {
    event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    kv::KvClient& state;  // the key-value store
    election::Election& election;
    cloud::CloudClient& cloud;
    Planner& planner;
    metrics::Metrics& metrics;
    const std::vector<protocol::MachineType>& types;  // of the cloud; may change, see Leader::types_changed
    // How many of these machines, silent here for so many seconds, another controller has had a heartbeat
    // from since, at the most; nothing if no other answers and could lead.
    std::function<std::optional<std::size_t>(const std::map<std::string, double>&)> heartbeats_seen_by_peers;
    const protocol::PeerImages& remembered;   // the machines' image caches, as the previous leader told them
    std::function<bool()> resign_leadership;  // whether to resign for it; noted if so
    std::uint64_t incarnation;                // of this controller's process
    std::map<std::string, double> suspected;  // by the previous leader: silent for so many seconds by now
    const replication::ReplicaState& copy;    // of what the previous leader knew of its machines
    // What another controller last said of itself, if that is not long ago; else null.
    std::function<const protocol::PeerPing*(const std::string& label)> peer;
    relay::HeartbeatRejections& refusals;
};

class Leader : public std::enable_shared_from_this<Leader> {
  public:
    // `version`: of the leader's key as claimed, the fencing token. `seed`: of the plans' random draws.
    Leader(LeaderDependencies dependencies, std::uint64_t version, std::uint64_t seed);
    // Once, when a shared_ptr owns the object.
    void start();
    // The leadership is over, for ever.
    void stop();

    // A heartbeat that came here; answered now, or once the jobs are loaded.
    void handle_heartbeat(relay::PendingHeartbeat report) { heartbeats_.handle(std::move(report)); }
    // Heartbeats that a relaying controller passes on.
    void relay(const protocol::RelayRequest& message, const http::Reply& reply) {
        heartbeats_.handle_relayed(message, reply);
    }
    // Machines whose heartbeats relaying controllers answer.
    std::size_t lent() const { return delegations_.count(); }
    const replication::ReplicationSender& replication() const { return start_replication_.sender(); }
    // The steps of the failover that are done, with their times.
    const failover::FailoverSteps& steps() const { return recovery_.steps(); }
    // Whether it may be the leader that is cut off, rather than its machines.
    bool suspects_itself() const { return failure_detector_.self_suspicion().has_value(); }
    // Nothing if the job is not live, or jobs are not loaded.
    std::optional<api::TaskCounts> counts(const std::string& id);
    // Of all live jobs with tasks that run or are done.
    std::vector<protocol::PeerTaskCounts> all_counts();
    // The machines' image caches, for the next leader.
    protocol::PeerImages images() const { return images_to_hand_over(state_.cluster); }
    // Machines whose heartbeats are missing, and for how long, seconds.
    std::map<std::string, double> suspected() const { return supervisor_.suspected(); }
    void types_changed();
    // The controller with this label is a new process.
    void started_anew(const std::string& controller, std::uint64_t incarnation) {
        start_replication_.controller_restarted(controller, incarnation);
    }
    // The job's record says since this version that it is cancelled.
    void cancelled(const std::string& id, std::uint64_t version);

  private:
    double now() const { return dependencies_.timers.now(); }
    void tick();
    void report_metrics();
    bool resign_if_tokens_run_out();
    void log_team_activity();
    void jobs_changed();
    void stored_taken(const failover::RecoveredState& stored);
    void replicate_starts(const std::vector<StartedTask>& started);
    void deletion_done();
    Recovery::Hooks recovery_hooks();
    PlanExecutor::Callbacks plan_callbacks();

    LeaderDependencies dependencies_;
    Authority authority_;
    CallbackGuard guarded_{authority_};
    LeaderState state_;
    const PartContext context_{dependencies_.timers, dependencies_.settings, state_, authority_, guarded_};
    // Used by several parts
    cluster::TeamActivity team_activity_;
    membership::FailureDetector failure_detector_;
    failover::Reconciliation reconciliation_;
    Delegations delegations_{state_.cluster};
    AttemptNumbers attempts_;
    StaleKeyRemover stale_keys_{context_, dependencies_.state};
    // Machines
    InstanceTracker instances_;
    CommandSender commands_;
    StartReplication start_replication_;
    MachineStore machine_store_;
    MachineDeletion deletion_;
    HostLister hosts_{context_, dependencies_.cloud, commands_, deletion_};
    // Jobs
    JobStore job_store_;
    JobWatcher job_watcher_;
    DependencyResolver dependency_resolver_;
    // What goes by both
    Recovery recovery_;
    MachineSupervisor supervisor_;
    HeartbeatHandler heartbeats_;
    FleetScaler fleet_scaler_;
    PlanExecutor plan_executor_;

    double last_team_log_ = -1;  // steady seconds
    event_loop::TimerId tick_timer_ = 0;
};

}  // namespace coralhitch::leader
