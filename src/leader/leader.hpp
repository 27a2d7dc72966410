// What the controller does while it leads: loads the jobs, settles the machines, places, stores, fences,
// rents. One object per leadership; it is dropped when leadership ends, and answers that come later find it
// gone.
#pragma once
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <unordered_map>

#include "api/user_api.hpp"
#include "autoscaler/autoscaler.hpp"
#include "cloud/cloud_client.hpp"
#include "cluster/cluster_state.hpp"
#include "cluster/team_usage.hpp"
#include "election/election.hpp"
#include "failover/reconciliation.hpp"
#include "failover/recovery_loader.hpp"
#include "jobs/job_table.hpp"
#include "kv/list_watch.hpp"
#include "leader/attempt_numbers.hpp"
#include "leader/authority.hpp"
#include "leader/callback_guard.hpp"
#include "leader/command_sender.hpp"
#include "leader/delegations.hpp"
#include "leader/heartbeat_handler.hpp"
#include "leader/host_lister.hpp"
#include "leader/image_handover.hpp"
#include "leader/instance_tracker.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_deletion.hpp"
#include "leader/machine_store.hpp"
#include "leader/machine_supervisor.hpp"
#include "leader/part_context.hpp"
#include "leader/planner.hpp"
#include "leader/recovery.hpp"
#include "leader/stale_key_remover.hpp"
#include "leader/start_replication.hpp"
#include "membership/failure_detector.hpp"
#include "metrics/metrics.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_rejections.hpp"
#include "relay/worker_lease.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::leader {

struct LeaderDependencies {
    event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    kv::KvClient& state;
    election::Election& election;
    cloud::CloudClient& cloud;
    Planner& planner;
    metrics::Metrics& metrics;
    const std::vector<protocol::MachineType>& types;
    // How many of these machines, silent here for so many seconds, another controller heard from since, at
    // the most; nothing if no other answers and could lead.
    std::function<std::optional<std::size_t>(const std::map<std::string, double>&)> heartbeats_seen_by_peers;
    const protocol::PeerImages& remembered;   // what the leader before told of the machines' caches
    std::function<bool()> resign_leadership;  // whether to resign for it; noted if so
    std::uint64_t incarnation;
    std::map<std::string, double> suspected;  // by the leader before, and for how many seconds by now
    const replication::ReplicaState& copy;    // of what the leader before knew of its machines
    // What another controller last said of itself, if that is not long ago.
    std::function<const protocol::PeerPing*(const std::string& label)> peer;
    relay::HeartbeatRejections& refusals;
};

class Leader : public std::enable_shared_from_this<Leader> {
  public:
    Leader(LeaderDependencies context, std::uint64_t version, std::uint64_t seed);
    void start();
    void stop();

    void handle_heartbeat(relay::HeartbeatQueue::Report report) { heartbeats_.handle(std::move(report)); }
    // Heartbeats that a relaying controller passes on.
    void relay(const protocol::PeerRelay& message, const http::Reply& reply) {
        heartbeats_.handle_relayed(message, reply);
    }
    // Machines whose heartbeats relaying controllers answer.
    std::size_t lent() const { return delegations_.count(); }
    const replication::ReplicationSender& replication() const { return start_replication_.sender(); }
    const failover::FailoverSteps& steps() const { return recovery_.steps(); }
    bool suspects_itself() const { return failure_detector_.self_suspicion().has_value(); }
    std::optional<api::TaskCounts> counts(const std::string& id);
    std::vector<protocol::PeerCount> all_counts();
    // The machines' image caches, for the next leader.
    protocol::PeerImages images() const { return images_to_hand_over(state_.cluster); }
    // Machines that should have been heard, and how long ago they were, seconds.
    std::map<std::string, double> suspected() const { return supervisor_.suspected(); }
    void types_changed();
    void started_anew(const std::string& controller, std::uint64_t incarnation) {
        start_replication_.controller_restarted(controller, incarnation);
    }
    void cancelled(const std::string& id, std::uint64_t version);

  private:
    struct Rental {
        std::size_t pool = 0;
        int count = 0;
        bool asking = false;
    };
    double now() const { return dependencies_.timers.now(); }
    api::TaskCounts count(const std::string& id, const jobs::JobEntry& e);
    void stored_taken(const failover::GetResult& stored);
    void jobs_changed();
    bool take_job(const std::string& id, std::uint64_t version, const std::string& value);
    void tick();
    bool hand_over_tokens();  // whether it has resigned

    void log_team_activity();

    // jobs
    void store_soon();
    void store_progress();
    void store_ends(const std::vector<std::string>& ids, protocol::JobState state);
    void finish(const std::vector<std::string>& ids, protocol::JobState state, kv::RequestPriority rank);
    void end_answered(const std::vector<std::string>& ids, protocol::JobState state, const kv::TxnResult& c);
    void read_live(const std::string& id);
    void store_blocks(const std::string& id, jobs::JobEntry& e);
    void ended(const std::string& id, std::uint64_t revision, protocol::JobState state);
    void read_end(const std::string& id);
    void read_ends();
    void audit();
    void stored_failed(const std::string& id, const kv::TxnResult& c);
    void read_block(const std::string& id, const std::string& block);

    // plans
    void plan_soon();
    void plan();
    struct Plan {
        scheduler::Input in;
        scheduler::Decisions out;
        autoscaler::Input fleet;  // all but the machines, which the planner fills in
        autoscaler::Decisions capacity;
        bool with_capacity = false;
    };
    bool may_wait(const jobs::JobEntry& e) const;
    bool anything_waits();
    scheduler::Input snapshot();
    autoscaler::Input rentals() const;
    void fill_capacity(Plan& p);
    void apply(Plan& p);
    void apply_starts(Plan& p);
    bool may_start(jobs::JobEntry& e, std::uint32_t task, cluster::Machine& m,
                   const scheduler::ZoneCounts& zones);
    void rent(const autoscaler::ScaleOutRequest& r);
    void ask_rental(const std::string& name);
    std::size_t zone_of(const cluster::Machine& m) const;
    scheduler::ZoneCounts zones_of(const jobs::JobEntry& e) const;

    LeaderDependencies dependencies_;
    Authority authority_;
    CallbackGuard guarded_{authority_};
    std::mt19937_64 random_;

    LeaderState state_;
    const PartContext part_context_{dependencies_.timers, dependencies_.settings, state_, authority_,
                                    guarded_};
    cluster::TeamActivity team_activity_;
    Delegations delegations_{state_.cluster};
    membership::FailureDetector failure_detector_;
    failover::Reconciliation reconciliation_;
    InstanceTracker instances_{
        part_context_, dependencies_.metrics, team_activity_,
        [this](cluster::Machine& machine, const char* reason) { deletion_.mark(machine, reason); }};
    CommandSender commands_{
        part_context_, dependencies_.http, delegations_, reconciliation_,
        [this](const protocol::Heartbeat& status) { heartbeats_.apply(status, cluster::Via::direct); }};
    StartReplication start_replication_{part_context_, dependencies_.http, dependencies_.state,
                                        dependencies_.peer, [this] { commands_.flush_all(); }};
    StaleKeyRemover stale_keys_{part_context_, dependencies_.state};
    MachineStore machine_store_{part_context_, dependencies_.state, [this] {
                                    commands_.flush_all();
                                    deletion_.delete_marked();
                                }};
    MachineDeletion deletion_{part_context_,
                              dependencies_.cloud,
                              dependencies_.metrics,
                              delegations_,
                              machine_store_,
                              instances_,
                              {[this](const std::string& machine_id) { heartbeats_.forget(machine_id); },
                               [this] {
                                   start_replication_.replicate_changes();
                                   recovery_.check_reconciled();
                                   plan_soon();
                               }}};
    Recovery recovery_;
    HostLister hosts_{part_context_, dependencies_.cloud, commands_, deletion_};
    MachineSupervisor supervisor_{
        part_context_,
        dependencies_.metrics,
        dependencies_.types,
        {failure_detector_, reconciliation_, delegations_, instances_, commands_, deletion_},
        {dependencies_.heartbeats_seen_by_peers, dependencies_.resign_leadership, [this] { plan_soon(); }}};
    HeartbeatHandler heartbeats_{part_context_,
                                 dependencies_.refusals,
                                 {delegations_, failure_detector_, supervisor_, machine_store_, instances_,
                                  commands_, start_replication_, recovery_},
                                 {[this] { plan_soon(); }, [this] { store_soon(); }}};
    kv::ListWatch job_watch_;

    AttemptNumbers attempts_;
    std::uint64_t rentals_made_ = 0;
    std::map<std::string, Rental> rentals_;
    std::map<std::size_t, double> refused_;             // pools without capacity, until when
    std::set<std::string> reading_ends_, absent_ends_;  // of awaited jobs
    bool auditing_ = false;
    int ends_under_way_ = 0,
        tidying_ = 0;         // transactions that store ends, of jobs that are done and of others
    bool ends_left_ = false;  // some wait for one of these
    bool planning_ = false, plan_wanted_ = false, store_wanted_ = false;
    double plan_took_ = 0;
    double last_team_log_ = -1;
    double last_audit_ = 0;
    double last_plan_ = -1, last_capacity_ = -1;
    std::vector<std::pair<std::string, protocol::TaskId>> started_now_;  // by the plan that is applied
    event_loop::TimerId tick_timer_ = 0;
};

}  // namespace coralhitch::leader
