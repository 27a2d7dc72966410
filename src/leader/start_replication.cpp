#include "leader/start_replication.hpp"

#include <utility>

namespace coralhitch::leader {
using cluster::Machine;

StartReplication::StartReplication(const PartContext& context, http::Requester& http, kv::KvClient& kv,
                                   const LatestPing& latest_ping, std::function<void()> flush_commands)
    : LeaderPart(context),
      flush_commands_(std::move(flush_commands)),
      sender_(context.timers, http, settings_, kv, authority_.fencing_token(),
              sender_callbacks(latest_ping)) {
    if (settings_.op.replicate_starts) state_.cluster.hold_starts_until_replicated();
}

replication::ReplicationSender::Callbacks StartReplication::sender_callbacks(const LatestPing& latest_ping) {
    return {[this](const std::string& machine_id) { return replicated_machine(machine_id); },
            [this] { return machine_ids(); }, [this] { return authority_.begin_transaction(); }, latest_ping,
            [this] {
                if (!authority_.ended()) release_starts();
            }};
}

void StartReplication::begin(std::uint64_t record_version,
                             const std::optional<protocol::InSyncReplicas>& inherited) {
    if (settings_.op.replicate_starts) sender_.start(record_version, inherited);
}

void StartReplication::replicate_changes() {
    std::vector<std::string> changed;
    {
        std::lock_guard lock(state_.mutex);
        changed = state_.cluster.take_machines_to_replicate();
    }
    if (!settings_.op.replicate_starts) return;
    for (auto& machine_id : changed) sender_.record_machine_change(machine_id);
}

void StartReplication::hold_start(const std::string& machine_id, const protocol::TaskId& task) {
    if (settings_.op.replicate_starts) held_starts_.push_back({sender_.log_index(), machine_id, task});
}

void StartReplication::release_starts() {
    {
        std::lock_guard lock(state_.mutex);
        for (; !held_starts_.empty() && sender_.replicated(held_starts_.front().log_index);
             held_starts_.pop_front()) {
            auto* machine = state_.cluster.find(held_starts_.front().machine_id);
            if (!machine) continue;
            auto instance = machine->tasks.find(held_starts_.front().task);
            if (instance == machine->tasks.end()) continue;
            instance->second.replicated = true;
            state_.cluster.schedule_flush(*machine);
        }
    }
    flush_commands_();
}

std::optional<protocol::ReplicatedMachine> StartReplication::replicated_machine(
    const std::string& machine_id) const {
    auto found = state_.cluster.machines().find(machine_id);
    if (found == state_.cluster.machines().end())
        return protocol::ReplicatedMachine{
            machine_id, false, true, protocol::AgentEpoch::none(), protocol::SequenceNumber::none(), {}};
    auto& machine = found->second;
    if (machine.lifecycle == Machine::Lifecycle::booting) return std::nullopt;
    protocol::ReplicatedMachine row{machine_id,
                                    machine.known_from_replica || machine.reconciled,
                                    false,
                                    machine.agent_epoch,
                                    machine.sequence,
                                    {}};
    for (auto& [task, instance] : machine.tasks)
        row.tasks.push_back({task.job, task.index, instance.attempt});
    return row;
}

std::vector<std::string> StartReplication::machine_ids() const {
    std::vector<std::string> ids;
    for (auto& [id, machine] : state_.cluster.machines()) ids.push_back(id);
    return ids;
}

}  // namespace coralhitch::leader
