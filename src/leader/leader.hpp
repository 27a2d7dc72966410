// What the controller does while it leads: loads the jobs, settles the machines, places, stores, fences,
// rents. One object per leadership; it is dropped when leadership ends, and answers that come later find it
// gone.
#pragma once
#include <deque>
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
#include "event_loop/token_bucket.hpp"
#include "failover/reconciliation.hpp"
#include "failover/recovery_loader.hpp"
#include "jobs/job_table.hpp"
#include "kv/list_watch.hpp"
#include "leader/attempt_numbers.hpp"
#include "leader/authority.hpp"
#include "leader/callback_guard.hpp"
#include "leader/leader_state.hpp"
#include "leader/planner.hpp"
#include "machine_registry/machine_registry.hpp"
#include "membership/failure_detector.hpp"
#include "metrics/metrics.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/delegation_table.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_rejections.hpp"
#include "relay/reply_cache.hpp"
#include "relay/worker_lease.hpp"
#include "replication/replication_sender.hpp"
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

    void handle_heartbeat(relay::HeartbeatQueue::Report report);
    // Reports that another controller heard: each is answered as if it had come here.
    void relay(const protocol::PeerRelay& m, http::Reply reply);
    std::size_t lent() const { return delegations_.count(); }
    const replication::ReplicationSender& replication() const { return replication_; }
    const failover::FailoverSteps& steps() const { return steps_; }
    bool suspects_itself() const { return failure_detector_.self_suspicion().has_value(); }
    std::optional<api::TaskCounts> counts(const std::string& id);
    std::vector<protocol::PeerCount> all_counts();
    protocol::PeerImages images() const;
    // Machines that should have been heard, and how long ago they were, seconds.
    std::map<std::string, double> suspected() const;
    void types_changed();
    void started_anew(const std::string& controller, std::uint64_t incarnation) {
        replication_.started_anew(controller, incarnation);
    }
    void cancelled(const std::string& id, std::uint64_t version);

  private:
    // A new leader asks most machines only then, if they have not been heard.
    static constexpr double ask_reports = 1.0 / 10;
    struct Rental {
        std::size_t pool = 0;
        int count = 0;
        bool asking = false;
    };
    double now() const { return dependencies_.timers.now(); }
    api::TaskCounts count(const std::string& id, const jobs::JobEntry& e);
    void inherit(const std::string& id, cluster::Machine& m);
    void take_all(const failover::GetResult& found);
    void loaded();
    void recall_images();
    void jobs_changed();
    bool take_job(const std::string& id, std::uint64_t version, const std::string& value);
    void tick();
    bool hand_over_tokens();  // whether it has resigned

    // machines
    cluster::HeartbeatOutcome apply_heartbeat(const protocol::Heartbeat& r, cluster::Via via);
    protocol::PeerRelayed refused(relay::HeartbeatRejection why);
    bool repeat_reply(const std::string& body, const http::Reply& reply);
    protocol::PeerRelayed answer_heartbeat(const std::string& body, const std::string& relay_label,
                                           std::string& machine);
    std::optional<std::string> relay_for(cluster::Machine& m);
    void record_route(cluster::Machine& m, const std::string& route);
    void revoke(const std::string& id);
    void flush_all();
    void flush_some();
    void flush(cluster::Machine& m);
    void probe(cluster::Machine& m);
    void probe_soon();
    void send_probes();
    void apply_early_heartbeats();
    void send_direct(cluster::Machine& m, std::vector<protocol::Command> commands);
    void answered(const std::string& id, const std::vector<protocol::Command>& commands, std::uint64_t token,
                  const std::optional<http::Response>& r);
    void handle_end(const cluster::InstanceEnd& e);
    void handle_found(const protocol::TaskId& task, const std::string& machine);
    void locate(jobs::JobEntry& e, const protocol::TaskId& task, cluster::Machine& m, std::uint64_t attempt);
    void task_error(jobs::JobEntry& e, const cluster::InstanceEnd& end);
    void stop_active(const std::string& id, jobs::JobEntry& e, double grace_s);
    void cancel_active(const std::string& id, jobs::JobEntry& e);
    void check_machines();
    void check_up(cluster::Machine& m, const membership::Observation& seen, membership::Health verdict,
                  bool may);
    bool check_lease(cluster::Machine& m);
    bool beyond_reach(const cluster::Machine& m) const;
    membership::EvictionCost eviction_cost(const cluster::Machine& m) const;
    double boots(const cluster::Machine& m) const;
    void mark_for_deletion(cluster::Machine& m, const char* why);
    void check_reconciled();
    void store_machine(cluster::Machine& m);
    std::optional<protocol::MachineRecord> record_of(const std::string& id);
    void machines_stored(const std::vector<machine_registry::MachineRegistry::Record>& records);
    void delete_marked_machines();
    void deleted(const std::vector<std::string>& ids, bool ok);
    void drop_keys();
    void list_hosts();
    void handle_preemption_notice(cluster::Machine& m);

    // what others follow
    std::optional<protocol::PeerMachineRow> row_of(const std::string& id) const;
    void replicate_changes();
    void log_team_activity();
    void release_starts();

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
    bool loaded_ = false, was_reconciled_ = false;

    LeaderState state_;
    machine_registry::MachineRegistry store_;
    kv::ListWatch job_watch_;

    relay::HeartbeatQueue early_{dependencies_.refusals};  // reports that came before the jobs were loaded
    AttemptNumbers attempts_;
    std::uint64_t rentals_made_ = 0;
    std::deque<std::string> to_probe_, flushing_;
    std::size_t probing_ = 0;
    bool probes_armed_ = false, asks_armed_ = false;
    double direct_heard_ = -1;  // when a machine last answered a direct command
    std::map<std::string, Rental> rentals_;
    std::map<std::size_t, double> refused_;  // pools without capacity, until when
    std::set<std::string> keys_to_drop_;
    std::set<std::string> reading_ends_, absent_ends_;  // of awaited jobs
    bool dropping_ = false, listing_ = false, auditing_ = false;
    int removing_ = 0;
    int ends_under_way_ = 0,
        tidying_ = 0;         // transactions that store ends, of jobs that are done and of others
    bool ends_left_ = false;  // some wait for one of these
    bool planning_ = false, plan_wanted_ = false, store_wanted_ = false;
    double plan_took_ = 0;
    cluster::TeamActivity team_activity_;
    double last_team_log_ = -1;
    static constexpr double never = -1e9;  // long before a leader begins
    double last_audit_ = 0;
    double last_plan_ = -1, last_capacity_ = -1, last_list_ = never, remove_retry_ = 0;
    bool listed_once_ = false;
    protocol::HeartbeatReader reader_;
    relay::DelegationTable delegations_;
    relay::ReplyCache reply_cache_;  // of machines that report here
    std::size_t moved_ = 0;          // machines that were sent elsewhere since the last tick
    event_loop::TokenBucket asks_;   // questions to machines that have not reconciled
    membership::FailureDetector failure_detector_;
    failover::Reconciliation reconciliation_;
    failover::FailoverSteps steps_;
    failover::RecoveryLoader loader_;
    replication::ReplicationSender replication_;
    struct Held {
        std::uint64_t mark;  // of the change that showed the start
        std::string machine;
        protocol::TaskId task;
    };
    std::vector<std::pair<std::string, protocol::TaskId>> started_now_;  // by the plan that is applied
    std::deque<Held> held_;  // starts that those who follow may not have taken in yet
    event_loop::TimerId tick_timer_ = 0;
};

}  // namespace coralhitch::leader
