#include "leader/leader_parts.hpp"

#include <utility>

#include "protocol/model.hpp"

namespace coralhitch::leader {
using cluster::Machine;

namespace {
membership::FailureDetector make_failure_detector(const config::Settings& settings) {
    return membership::FailureDetector({settings.heartbeat_interval_s, settings.lease_s,
                                        settings.op.suspicion_timeout_periods, settings.peers.size()});
}

// Returns the evidence on this controller's replica that was known before its election. The RecoveryLoader
// reads the rest from the key-value store.
replication::ReplicaEvidence replica_evidence(const LeaderDependencies& dependencies,
                                              protocol::LeaderVersion version) {
    replication::ReplicaEvidence evidence;
    evidence.label = dependencies.settings.label;
    evidence.incarnation = dependencies.incarnation;
    evidence.leader_version = version;
    evidence.history_before_claim = dependencies.election.history_before_claim();
    evidence.replica = &dependencies.replica;
    return evidence;
}
}  // namespace

LeaderParts::LeaderParts(LeaderDependencies leader_dependencies, protocol::LeaderVersion version,
                         std::uint64_t seed, std::function<void()> begin_ticks)
    : dependencies(std::move(leader_dependencies)),
      authority(dependencies.timers, dependencies.settings, dependencies.election, version,
                [this] { return job_watcher.complete_until(); }),
      state(version, dependencies.machine_types, dependencies.settings.value_kb),
      failure_detector(make_failure_detector(dependencies.settings)),
      attempts(dependencies.kv, version, [this] { return authority.begin_transaction(); }),
      deletion(context, dependencies.cloud, dependencies.metrics, delegations, machine_store, instances,
               deletion_hooks()),
      recovery(context, dependencies.kv, replica_evidence(dependencies, version),
               {failure_detector, reconciliation, instances, commands, machine_store, stale_keys},
               {dependencies.inherited_image_caches, dependencies.replica, dependencies.inherited_suspicions},
               recovery_hooks(std::move(begin_ticks))),
      supervisor(context, dependencies.metrics, dependencies.machine_types,
                 {failure_detector, reconciliation, delegations, instances, commands, deletion},
                 supervisor_hooks()),
      heartbeats(context, dependencies.heartbeat_rejections,
                 {delegations, failure_detector, supervisor, machine_store, instances, commands,
                  start_replication, recovery},
                 heartbeat_hooks()),
      plan_executor(
          context,
          {dependencies.planner, fleet_scaler, attempts, reconciliation, team_activity, dependencies.metrics},
          plan_callbacks(), seed) {}

// --- Callbacks ------------------------------------------------------------------------------------------

std::function<void()> LeaderParts::request_plan() {
    return [this] { plan_executor.request_plan(); };
}

ApplyJobRecord LeaderParts::apply_job_record() {
    return [this](const std::string& job_id, std::uint64_t version, const std::string& record) {
        job_watcher.apply_record(job_id, version, record);
    };
}

std::function<void(Machine&, const char*)> LeaderParts::mark_for_deletion() {
    return [this](Machine& machine, const char* reason) { deletion.mark(machine, reason); };
}

CommandSender::ApplyStatus LeaderParts::apply_status() {
    return [this](const protocol::Heartbeat& status) {
        heartbeats.apply(status, cluster::HeartbeatChannel::direct_reply);
    };
}

MachineDeletion::Hooks LeaderParts::deletion_hooks() {
    return {[this](const std::string& machine_id) { heartbeats.forget(machine_id); },
            [this] { on_deletion_done(); }};
}

JobStore::Callbacks LeaderParts::job_store_callbacks() {
    return {apply_job_record(), request_plan(), [this] { return reconciliation.placement_allowed(); }};
}

JobWatcher::Callbacks LeaderParts::job_watcher_callbacks() {
    return {[this](const std::string& job_id, jobs::JobEntry& job) { instances.cancel_active(job_id, job); },
            [this] { on_jobs_changed(); }, request_plan()};
}

Recovery::Hooks LeaderParts::recovery_hooks(std::function<void()> begin_ticks) {
    return {apply_job_record(),
            [this](const failover::RecoveredState& stored) { on_stored_state_loaded(stored); },
            [this] { dependency_resolver.resolve(); },
            [this, begin_ticks = std::move(begin_ticks)] {
                heartbeats.handle_early_heartbeats();
                begin_ticks();
            },
            request_plan()};
}

MachineSupervisor::Hooks LeaderParts::supervisor_hooks() {
    return {dependencies.heartbeats_seen_by_peers, dependencies.resign_leadership, request_plan()};
}

HeartbeatHandler::Hooks LeaderParts::heartbeat_hooks() {
    return {request_plan(), [this] { job_store.request_store(); }};
}

FleetScaler::ZoneUnreachable LeaderParts::zone_unreachable() {
    return [this](std::size_t zone) { return failure_detector.zone_silent(zone, dependencies.timers.now()); };
}

PlanExecutor::Callbacks LeaderParts::plan_callbacks() {
    return {[this] { return recovery.loaded(); }, [this] { return hosts.has_listed(); }, mark_for_deletion(),
            [this](const std::vector<PlannedStart>& started) { replicate_starts(started); }};
}

// --- Events that affect several parts -------------------------------------------------------------------

void LeaderParts::on_machines_stored() {
    commands.flush_all();
    deletion.delete_marked();
}

void LeaderParts::on_deletion_done() {
    start_replication.replicate_changes();
    recovery.check_reconciled();
    plan_executor.request_plan();
}

void LeaderParts::on_jobs_changed() {
    plan_executor.request_plan();
    dependency_resolver.resolve();
    commands.flush_all();
}

void LeaderParts::on_stored_state_loaded(const failover::RecoveredState& stored) {
    start_replication.begin(stored.in_sync_record_version,
                            stored.replica_eligible ? stored.in_sync_record : std::nullopt);
    job_watcher.start(stored.jobs.revision, stored.jobs_listed_at);
}

void LeaderParts::replicate_starts(const std::vector<PlannedStart>& started) {
    start_replication.replicate_changes();
    for (auto& [machine_id, task] : started) start_replication.hold_start(machine_id, task);
    start_replication.flush();
    start_replication.release_starts();
}

}  // namespace coralhitch::leader
