// Constructs the parts of one leadership and connects them: the references between parts, and the reactions
// of other parts to an event in one of them.
//
// A part holds references only to parts that are constructed before it. It reaches later parts through
// callbacks. No callback is called before `recovery` is started.
//
// All functions must be called on the event loop's thread.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cluster/team_activity.hpp"
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
#include "leader/instance_tracker.hpp"
#include "leader/job_store.hpp"
#include "leader/job_watcher.hpp"
#include "leader/leader_dependencies.hpp"
#include "leader/leader_report.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_deletion.hpp"
#include "leader/machine_store.hpp"
#include "leader/machine_supervisor.hpp"
#include "leader/part_context.hpp"
#include "leader/plan_executor.hpp"
#include "leader/recovery.hpp"
#include "leader/stale_key_remover.hpp"
#include "leader/start_replication.hpp"
#include "membership/failure_detector.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::leader {

// The parts of one leadership. Only the Leader constructs and uses it.
class LeaderParts {
  public:
    // For `version` and `seed` see Leader. `begin_ticks` is called once, when heartbeats begin to be handled.
    LeaderParts(LeaderDependencies leader_dependencies, protocol::LeaderVersion version, std::uint64_t seed,
                std::function<void()> begin_ticks);
    LeaderParts(const LeaderParts&) = delete;  // the parts refer to each other
    LeaderParts& operator=(const LeaderParts&) = delete;

    const LeaderDependencies dependencies;
    Authority authority;
    CallbackGuard guarded{authority};
    LeaderState state;
    const PartContext context{dependencies.timers, dependencies.settings, state, authority, guarded};

    // Parts that several of the other parts use
    cluster::TeamActivity team_activity;
    membership::FailureDetector failure_detector;
    failover::Reconciliation reconciliation{state.cluster, dependencies.settings.heartbeat_interval_s};
    Delegations delegations{state.cluster};
    AttemptNumbers attempts;
    StaleKeyRemover stale_keys{context, dependencies.kv};

    // Machines
    InstanceTracker instances{context, dependencies.metrics, team_activity, mark_for_deletion()};
    CommandSender commands{context, dependencies.http, delegations, reconciliation, apply_status()};
    StartReplication start_replication{context, dependencies.http, dependencies.kv, dependencies.recent_ping,
                                       [this] { commands.flush_all(); }};
    MachineStore machine_store{context, dependencies.kv, [this] { on_machines_stored(); }};
    MachineDeletion deletion;
    HostLister hosts{context, dependencies.cloud, commands, deletion};

    // Jobs
    JobStore job_store{context, dependencies.kv, stale_keys, dependencies.metrics, job_store_callbacks()};
    JobWatcher job_watcher{context, dependencies.kv, job_store, job_watcher_callbacks()};
    DependencyResolver dependency_resolver{context, dependencies.kv, job_store, request_plan()};

    // Parts that depend on both machines and jobs
    Recovery recovery;
    MachineSupervisor supervisor;
    HeartbeatHandler heartbeats;
    FleetScaler fleet_scaler{context, dependencies.cloud, dependencies.machine_types, zone_unreachable()};
    PlanExecutor plan_executor;
    LeaderReport report{context, dependencies.metrics, team_activity};

  private:
    // Create the callbacks of the parts.
    [[nodiscard]] std::function<void()> request_plan();
    [[nodiscard]] ApplyJobRecord apply_job_record();
    [[nodiscard]] std::function<void(cluster::Machine&, const char* reason)> mark_for_deletion();
    [[nodiscard]] CommandSender::ApplyStatus apply_status();
    [[nodiscard]] MachineDeletion::Hooks deletion_hooks();
    [[nodiscard]] JobStore::Callbacks job_store_callbacks();
    [[nodiscard]] JobWatcher::Callbacks job_watcher_callbacks();
    [[nodiscard]] Recovery::Hooks recovery_hooks(std::function<void()> begin_ticks);
    [[nodiscard]] MachineSupervisor::Hooks supervisor_hooks();
    [[nodiscard]] HeartbeatHandler::Hooks heartbeat_hooks();
    [[nodiscard]] FleetScaler::ZoneUnreachable zone_unreachable();
    [[nodiscard]] PlanExecutor::Callbacks plan_callbacks();

    // Handle events of one part that affect several other parts.
    void on_machines_stored();
    void on_deletion_done();
    void on_jobs_changed();
    void on_stored_state_loaded(const failover::RecoveredState& stored);
    void replicate_starts(const std::vector<PlannedStart>& started);
};

}  // namespace coralhitch::leader
