#include "leader/recovery.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "kv/keys.hpp"
#include "leader/image_handover.hpp"
#include "protocol/records.hpp"

namespace coralhitch::leader {
namespace keys = kv::keys;
using cluster::Machine;

Recovery::Recovery(const PartContext& context, kv::KvClient& kv, const replication::ReplicaEvidence& evidence,
                   const Parts& parts, PredecessorState predecessor, Hooks hooks)
    : LeaderPart(context),
      parts_(parts),
      predecessor_(std::move(predecessor)),
      hooks_(std::move(hooks)),
      steps_(timers_),
      loader_(timers_, kv, settings_, steps_, evidence, [this](const failover::RecoveredState& stored) {
          if (authority_.ended()) return;
          apply_stored_state(stored);
          hooks_.state_loaded(stored);
          finish_load();
      }) {}

void Recovery::apply_stored_state(const failover::RecoveredState& stored) {
    const event_loop::WorkScope work(timers_, "stored_state", stored.jobs.entries.size());
    std::lock_guard lock(state_.mutex);
    load_jobs(stored);
    for (auto& [machine_id, record] : parts_.machine_store.load(stored.machines))
        add_stored_machine(machine_id, record, stored.replica_eligible);
}

// Returns the ids of all live jobs, including those whose records cannot be read.
std::set<std::string> Recovery::load_job_records(const failover::RecoveredState& stored) {
    const jobs::JobTable::Batch batch(state_.jobs);
    std::set<std::string> live;
    for (auto& entry : stored.jobs.entries) {
        auto job_id = entry.key.substr(keys::jobs.size());
        hooks_.apply_job_record(job_id, entry.version, entry.value);
        live.insert(std::move(job_id));
    }
    return live;
}

void Recovery::load_jobs(const failover::RecoveredState& stored) {
    auto live = load_job_records(stored);
    for (auto& entry : stored.progress.entries) {
        auto rest = entry.key.substr(keys::progress.size());
        auto slash = rest.find('/');
        auto job_id = rest.substr(0, slash);
        if (!state_.jobs.find(job_id)) {
            // The record of progress remains from a job that has ended. A job whose record cannot be read is
            // still live, and other software versions may be able to read it, so its progress is kept.
            if (!live.contains(job_id)) parts_.stale_keys.add(entry.key);
            continue;
        }
        try {
            state_.jobs.put_progress(job_id, slash == std::string::npos ? "" : rest.substr(slash + 1),
                                     protocol::parse_bits(entry.value), entry.version);
        } catch (const std::exception& error) {
            spdlog::error("component=leader event=malformed_progress key={} error=\"{}\"", entry.key,
                          error.what());
        }
    }
}

void Recovery::add_stored_machine(const std::string& machine_id, const protocol::MachineRecord& record,
                                  bool replica_eligible) {
    auto lifecycle =
        record.marked_for_deletion ? Machine::Lifecycle::marked_for_deletion : Machine::Lifecycle::up;
    auto& machine =
        state_.cluster.add(machine_id, record.addr, record.type, record.zone, record.spot, lifecycle, now());
    machine.registration = Machine::Registration::stored;
    machine.stored_by_earlier_leader = true;
    parts_.reconciliation.expect(machine_id);
    if (replica_eligible) restore_from_replica(machine);
    if (record.marked_for_deletion) machine.allow_deletion();
    auto silent = predecessor_.silent_machine_s.find(machine_id);
    if (silent != predecessor_.silent_machine_s.end() && machine.known_from_replica)
        machine.inherited_silence_s = silent->second;
    parts_.failure_detector.record_heartbeat(state_.zone_of(machine), now() - machine.inherited_silence_s);
    // The previous leader may have continued to renew leases for this long after its authority ended.
    machine.lease_renewed_at = now() + authority_.renewal_after_expiry_s();
}

// Adds the instances in the machine's replica row to the cluster state. The row contains every instance that
// may be on the machine; see docs/replication.md. The machine is not used before it has reconciled.
//
// A machine without a row has no instances. The previous leader replicated all machines that were stored when
// it was elected, and every other machine before it sent the first `run` to it. So a machine that it never
// replicated, or replicated as deleted, holds no instance.
void Recovery::restore_from_replica(Machine& machine) {
    auto& rows = predecessor_.replica.machines;
    auto row = rows.find(machine.id);
    machine.known_from_replica = row == rows.end() || row->second.tasks_known;
    if (row == rows.end() || !machine.known_from_replica) return;
    machine.agent_epoch = row->second.agent_epoch;
    machine.sequence = row->second.sequence;
    for (auto& instance : row->second.tasks) {
        protocol::TaskId task{instance.job, instance.index};
        auto* job = state_.jobs.find(instance.job);
        state_.cluster.place_from_replica(machine, task, job ? job->spec : nullptr, instance.attempt, now());
        parts_.instances.instance_found(task, machine.id);
    }
}

void Recovery::finish_load() {
    loaded_ = true;
    {
        std::lock_guard lock(state_.mutex);
        restore_image_caches(state_.cluster, predecessor_.images);
    }
    auto& machines = state_.cluster.machines();
    auto known = std::count_if(machines.begin(), machines.end(),
                               [](auto& entry) { return entry.second.known_from_replica; });
    steps_.complete(failover::FailoverStep::loaded, "jobs=" + std::to_string(state_.jobs.entries().size()) +
                                                        " machines=" + std::to_string(machines.size()) +
                                                        " known=" + std::to_string(known));
    hooks_.jobs_loaded();
    begin_probing();
    hooks_.ready();
}

// Probes a sample of the machines at once, because placement can begin with a part of the fleet. Most
// heartbeats of the other machines are already waiting or arrive within a heartbeat period, and a probe costs
// three times as much as a relayed heartbeat. Machines that have not reconciled after a short wait are probed
// then, first those whose instances are unknown, since each of them blocks all placement.
void Recovery::begin_probing() {
    auto& machines = state_.cluster.machines();
    double sample_size =
        CommandSender::probes_within(settings_, CommandSender::first_probe_heartbeat_periods);
    auto stride = static_cast<std::size_t>(static_cast<double>(machines.size()) / sample_size) + 1;
    std::size_t index = 0;
    for (auto& [id, machine] : machines)
        if (index++ % stride == 0) parts_.commands.probe(machine);
    timers_.after(settings_.heartbeat_interval_s * CommandSender::first_probe_heartbeat_periods,
                  guarded_([this] {
                      for (bool known : {false, true})
                          for (auto& [id, machine] : state_.cluster.machines())
                              if (!machine.reconciled && machine.known_from_replica == known)
                                  parts_.commands.probe(machine);
                  }));
}

void Recovery::check_reconciled() {
    if (loaded_ && !steps_.completed(failover::FailoverStep::placement_allowed) &&
        parts_.reconciliation.placement_allowed() && state_.cluster.any_reconciled()) {
        steps_.complete(failover::FailoverStep::placement_allowed);
        hooks_.request_plan();
    }
    if (all_reconciled_ || !parts_.reconciliation.complete()) return;
    all_reconciled_ = true;
    steps_.complete(failover::FailoverStep::reconciled);
    hooks_.request_plan();
}

}  // namespace coralhitch::leader
