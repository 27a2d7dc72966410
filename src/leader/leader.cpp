#include "leader/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "leader/task_counts.hpp"

namespace coralhitch::leader {
using cluster::Machine;

namespace {
constexpr double tick_reports = 1.0 / 6;  // report periods from one tick to the next

// What this controller knew before its claim; the rest of the evidence is read.
replication::ReplicaEvidence replica_evidence(const LeaderDependencies& dependencies, std::uint64_t version) {
    replication::ReplicaEvidence evidence;
    evidence.label = dependencies.settings.label;
    evidence.incarnation = dependencies.incarnation;
    evidence.leader_version = version;
    evidence.chain = dependencies.election.history_before_claim();
    evidence.replica = &dependencies.copy;
    return evidence;
}
}  // namespace

// The callbacks reach parts that are made later; none is called before `start`.
Leader::Leader(LeaderDependencies dependencies, std::uint64_t version, std::uint64_t seed)
    : dependencies_(std::move(dependencies)),
      authority_(dependencies_.timers, dependencies_.settings, dependencies_.election, version,
                 [this] { return job_watcher_.complete_until(); }),
      state_(version, dependencies_.types, dependencies_.settings.value_kb),
      failure_detector_({dependencies_.settings.heartbeat_interval_s, dependencies_.settings.lease_s,
                         dependencies_.settings.op.suspicion_timeout_periods,
                         dependencies_.settings.peers.size()}),
      reconciliation_(state_.cluster, dependencies_.settings.heartbeat_interval_s),
      attempts_(dependencies_.state, version, [this] { return authority_.begin_transaction(); }),
      instances_(context_, dependencies_.metrics, team_activity_,
                 [this](Machine& machine, const char* reason) { deletion_.mark(machine, reason); }),
      commands_(context_, dependencies_.http, delegations_, reconciliation_,
                [this](const protocol::Heartbeat& status) {
                    heartbeats_.apply(status, cluster::ReportChannel::direct_reply);
                }),
      start_replication_(context_, dependencies_.http, dependencies_.state, dependencies_.peer,
                         [this] { commands_.flush_all(); }),
      machine_store_(context_, dependencies_.state,
                     [this] {
                         commands_.flush_all();
                         deletion_.delete_marked();
                     }),
      deletion_(context_, dependencies_.cloud, dependencies_.metrics, delegations_, machine_store_,
                instances_,
                {[this](const std::string& machine_id) { heartbeats_.forget(machine_id); },
                 [this] { deletion_done(); }}),
      job_store_(context_, dependencies_.state, stale_keys_, dependencies_.metrics,
                 {[this](const std::string& job_id, std::uint64_t job_version, const std::string& record) {
                      job_watcher_.take_record(job_id, job_version, record);
                  },
                  [this] { plan_executor_.request_plan(); },
                  [this] { return reconciliation_.placement_allowed(); }}),
      job_watcher_(
          context_, dependencies_.state, job_store_,
          {[this](const std::string& job_id, jobs::JobEntry& job) { instances_.cancel_active(job_id, job); },
           [this] { jobs_changed(); }, [this] { plan_executor_.request_plan(); }}),
      dependency_resolver_(context_, dependencies_.state, job_store_,
                           [this] { plan_executor_.request_plan(); }),
      recovery_(context_, dependencies_.state, replica_evidence(dependencies_, version),
                {failure_detector_, reconciliation_, instances_, commands_, machine_store_, stale_keys_},
                {dependencies_.remembered, dependencies_.copy, dependencies_.suspected}, recovery_hooks()),
      supervisor_(context_, dependencies_.metrics, dependencies_.types,
                  {failure_detector_, reconciliation_, delegations_, instances_, commands_, deletion_},
                  {dependencies_.heartbeats_seen_by_peers, dependencies_.resign_leadership,
                   [this] { plan_executor_.request_plan(); }}),
      heartbeats_(context_, dependencies_.refusals,
                  {delegations_, failure_detector_, supervisor_, machine_store_, instances_, commands_,
                   start_replication_, recovery_},
                  {[this] { plan_executor_.request_plan(); }, [this] { job_store_.request_store(); }}),
      fleet_scaler_(context_, dependencies_.cloud, dependencies_.types,
                    [this](std::size_t zone) { return failure_detector_.zone_silent(zone, now()); }),
      plan_executor_(context_,
                     {dependencies_.planner, fleet_scaler_, attempts_, reconciliation_, team_activity_,
                      dependencies_.metrics},
                     plan_callbacks(), seed) {}

Recovery::Hooks Leader::recovery_hooks() {
    return {[this](const std::string& job_id, std::uint64_t version, const std::string& record) {
                job_watcher_.take_record(job_id, version, record);
            },
            [this](const failover::RecoveredState& stored) { stored_taken(stored); },
            [this] { dependency_resolver_.resolve(); },
            [this] {
                heartbeats_.handle_early();
                tick();
            },
            [this] { plan_executor_.request_plan(); }};
}

PlanExecutor::Callbacks Leader::plan_callbacks() {
    return {[this] { return recovery_.loaded(); }, [this] { return hosts_.has_listed(); },
            [this](Machine& machine, const char* reason) { deletion_.mark(machine, reason); },
            [this](const std::vector<StartedTask>& started) { replicate_starts(started); }};
}

void Leader::start() {
    guarded_.bind(weak_from_this());
    recovery_.start();
}

void Leader::stop() {
    authority_.end();
    log_team_activity();
    dependencies_.timers.cancel(tick_timer_);
    heartbeats_.stop();
}

void Leader::stored_taken(const failover::RecoveredState& stored) {
    start_replication_.begin(stored.record_version,
                             stored.replica_eligible ? stored.in_sync_record : std::nullopt);
    job_watcher_.start(stored.jobs.revision, stored.jobs_listed_at);
}

void Leader::jobs_changed() {
    plan_executor_.request_plan();
    dependency_resolver_.resolve();
    commands_.flush_all();
}

void Leader::cancelled(const std::string& id, std::uint64_t version) {
    if (job_watcher_.cancelled(id, version)) commands_.flush_all();
}

void Leader::types_changed() {
    std::lock_guard lock(state_.mutex);
    state_.cluster.set_types(dependencies_.types);
}

void Leader::replicate_starts(const std::vector<StartedTask>& started) {
    start_replication_.replicate_changes();
    for (auto& [machine_id, task] : started) start_replication_.hold(machine_id, task);
    start_replication_.expedite();
    start_replication_.release_starts();
}

void Leader::deletion_done() {
    start_replication_.replicate_changes();
    recovery_.check_reconciled();
    plan_executor_.request_plan();
}

std::optional<api::TaskCounts> Leader::counts(const std::string& id) {
    return recovery_.loaded() ? task_counts(state_, id) : std::nullopt;
}

std::vector<protocol::PeerTaskCounts> Leader::all_counts() {
    return recovery_.loaded() ? all_task_counts(state_) : std::vector<protocol::PeerTaskCounts>{};
}

// The lines of all leaders together tell what each team got; bench/teams.py adds them up.
void Leader::log_team_activity() {
    last_team_log_ = now();
    std::lock_guard lock(state_.mutex);
    if (auto text = team_activity_.take_summary(); !text.empty()) spdlog::info("teams: {}", text);
}

// Whether it has resigned: a later leadership's fencing tokens begin above all of this one's.
bool Leader::resign_if_tokens_run_out() {
    if (!state_.cluster.tokens_nearly_exhausted()) return false;
    spdlog::info("component=leader event=resigned reason=tokens_exhausted");
    authority_.resign(0);
    return true;
}

// The leadership may end in here: by a resignation, or because the lease at the key-value store has expired.
void Leader::tick() {
    if (authority_.ended()) return;
    auto& settings = dependencies_.settings;
    tick_timer_ = dependencies_.timers.after(settings.heartbeat_interval_s * tick_reports,
                                             guarded_([this] { tick(); }));
    heartbeats_.begin_tick();
    dependency_resolver_.retry();
    reconciliation_.tick(now(), settings.heartbeat_interval_s * tick_reports);
    if (supervisor_.check()) recovery_.check_reconciled();
    if (authority_.ended()) return;
    if (resign_if_tokens_run_out()) return;
    if (!authority_.holds()) return;
    attempts_.extend();
    job_store_.store_due();
    machine_store_.flush();
    start_replication_.replicate_changes();
    start_replication_.tick();
    deletion_.delete_marked();
    stale_keys_.remove_some();
    job_watcher_.audit();
    if (now() - last_team_log_ > settings.lease_s) log_team_activity();
    hosts_.list_if_due();
    fleet_scaler_.retry_unanswered();
    plan_executor_.request_plan();
    report_metrics();
}

void Leader::report_metrics() {
    auto& jobs = state_.jobs.entries();
    auto awaiting =
        std::count_if(jobs.begin(), jobs.end(), [](auto& entry) { return entry.second.is_blocked(); });
    dependencies_.metrics.set(metrics::Metric::leader_jobs, static_cast<double>(jobs.size()));
    dependencies_.metrics.set(metrics::Metric::leader_jobs_with_pending_dependencies,
                              static_cast<double>(awaiting));
    dependencies_.metrics.set(metrics::Metric::leader_machines,
                              static_cast<double>(state_.cluster.machines().size()));
}

}  // namespace coralhitch::leader
