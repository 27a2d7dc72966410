// From the claim of a leadership to its first decision and on, until all machines have reconciled: loads what
// is stored, takes over what the previous leader replicated, and probes the machines.
//
// Owns the loader, the steps of the failover, and whether the jobs are loaded. Fills the cluster state and
// the job table once, with what is stored; afterwards only looks at them. What may be done before all
// machines have reconciled is failover::Reconciliation's to say; see docs/replication.md.
//
// On the event loop's thread; takes LeaderState::mutex itself, so the caller must not hold it.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
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

// Takes a new leader from its claim to the point where all machines have reconciled.
class Recovery : private LeaderPart {
  public:
    struct Parts {
        membership::FailureDetector& failure_detector;
        failover::Reconciliation& reconciliation;
        InstanceTracker& instances;
        CommandSender& commands;
        MachineStore& machine_store;
        StaleKeyRemover& stale_keys;
    };
    // What the previous leader left at this controller.
    struct PredecessorState {
        const protocol::PeerImages& images;              // of the machines' image caches
        const replication::ReplicaState& replica;        // of what may be on its machines
        std::map<std::string, double> silent_machine_s;  // machines that it suspected, silent for so long
    };
    struct Hooks {
        ApplyJobRecord apply_job_record;
        // What was stored is taken in; nothing was sent to a machine yet.
        std::function<void(const failover::RecoveredState& stored)> state_loaded;
        // The jobs are loaded: what ended while nobody led may be read.
        std::function<void()> jobs_loaded;
        // The first probes are under way: heartbeats are taken, and the ticks begin.
        std::function<void()> ready;
        std::function<void()> request_plan;
    };
    Recovery(const PartContext& context, kv::KvClient& kv, const replication::ReplicaEvidence& evidence,
             const Parts& parts, PredecessorState inheritance, Hooks hooks);

    // Begins to load. Once.
    void start() { loader_.start(); }
    // Whether what is stored has been taken in.
    [[nodiscard]] bool loaded() const { return loaded_; }
    [[nodiscard]] const failover::FailoverSteps& steps() const { return steps_; }
    // Notes the first moment at which tasks may be placed, and that at which all machines have reconciled,
    // and asks for a plan at each. To be called after whatever may have reconciled a machine.
    void check_reconciled();

  private:
    void apply_stored_state(const failover::RecoveredState& stored);
    void load_jobs(const failover::RecoveredState& stored);
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
