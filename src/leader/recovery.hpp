// Prepares a new leader after its election: loads the stored state, restores instances from the replica of
// the previous leader's state, and probes the machines until all of them have reconciled.
//
// Recovery owns the loader, the completed steps of the failover, and whether the stored state is loaded. It
// fills the cluster state and the job table once and only reads them afterwards. failover::Reconciliation
// decides what the leader may do before all machines have reconciled; see docs/replication.md.
//
// All functions must be called on the event loop's thread. They lock LeaderState::mutex themselves, so the
// caller must not hold it.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "failover/reconciliation.hpp"
#include "failover/recovery_loader.hpp"
#include "leader/command_sender.hpp"
#include "leader/instance_tracker.hpp"
#include "leader/leader_part.hpp"
#include "leader/machine_store.hpp"
#include "leader/stale_key_remover.hpp"
#include "membership/failure_detector.hpp"
#include "protocol/model.hpp"
#include "protocol/peer_messages.hpp"
#include "replication/replica_state.hpp"

namespace coralhitch::leader {

// Recovers the state of a new leader, from its election until all machines have reconciled.
class Recovery : private LeaderPart {
  public:
    // The other parts of the leader that recovery uses. They must outlive the Recovery object.
    struct Parts {
        membership::FailureDetector& failure_detector;
        failover::Reconciliation& reconciliation;
        InstanceTracker& instances;
        CommandSender& commands;
        MachineStore& machine_store;
        StaleKeyRemover& stale_keys;
    };
    // State of the previous leader that this controller received before its own election.
    struct PredecessorState {
        const protocol::PeerImages& images;              // image caches of the machines
        const replication::ReplicaState& replica;        // replicated instances on the machines
        std::map<std::string, double> silent_machine_s;  // silence of each suspected machine, seconds
    };
    // Events for other parts of the leader.
    struct Hooks {
        ApplyJobRecord apply_job_record;
        // Called when the stored state has been applied, before anything is sent to a machine.
        std::function<void(const failover::RecoveredState& stored)> state_loaded;
        // Called when all jobs are loaded. Dependencies that ended while there was no leader may now be read.
        std::function<void()> jobs_loaded;
        // Called when the first probes are queued. Heartbeats may now be handled and the periodic tick
        // started.
        std::function<void()> ready;
        std::function<void()> request_plan;
    };
    Recovery(const PartContext& context, kv::KvClient& kv, const replication::ReplicaEvidence& evidence,
             const Parts& parts, PredecessorState predecessor, Hooks hooks);

    // Starts to load the stored state. Must be called once.
    void start() { loader_.start(); }
    // Returns true once the stored state has been applied.
    [[nodiscard]] bool loaded() const { return loaded_; }
    // Returns the completed steps of the failover, with their times.
    [[nodiscard]] const failover::FailoverSteps& steps() const { return steps_; }
    // Records the failover steps "placement allowed" and "all machines reconciled" when they are first
    // reached, and requests a plan at each. Must be called after every event that may have reconciled a
    // machine.
    void check_reconciled();

  private:
    void apply_stored_state(const failover::RecoveredState& stored);
    void load_jobs(const failover::RecoveredState& stored);
    std::set<std::string> load_job_records(const failover::RecoveredState& stored);
    void add_stored_machine(const std::string& machine_id, const protocol::MachineRecord& record,
                            bool replica_eligible);
    void restore_from_replica(cluster::Machine& machine);
    void finish_load();
    void begin_probing();

    Parts parts_;
    PredecessorState predecessor_;
    Hooks hooks_;
    bool loaded_ = false, all_reconciled_ = false;
    failover::FailoverSteps steps_;
    failover::RecoveryLoader loader_;
};

}  // namespace coralhitch::leader
