#include "leader/machine_store.hpp"

#include <utility>

namespace coralhitch::leader {
using cluster::Machine;

MachineStore::MachineStore(const PartContext& context, kv::KvClient& kv, std::function<void()> confirmed)
    : LeaderPart(context),
      confirmed_(std::move(confirmed)),
      registry_(context.timers, kv, context.settings,
                {[this](const std::string& machine_id) { return record_of(machine_id); },
                 [this] { return authority_.begin_transaction(); },
                 [this](const std::vector<Record>& records) {
                     if (!authority_.ended()) handle_stored(records);
                 }}) {}

void MachineStore::store_if_new(Machine& machine) {
    // A status that shows an earlier leader's fencing token may come from a machine that was deleted since.
    if (!machine.reported_to_this_leader && machine.token_seen.is_set()) return;
    if (machine.registration != Machine::Registration::none || machine.lifecycle != Machine::Lifecycle::up ||
        !machine.agent_epoch.is_set())
        return;
    machine.registration = Machine::Registration::write_pending;
    registry_.put(machine.id);
}

std::optional<protocol::MachineRecord> MachineStore::record_of(const std::string& machine_id) {
    auto* machine = state_.cluster.find(machine_id);
    if (!machine) return std::nullopt;
    return protocol::MachineRecord{machine->addr, machine->type, machine->zone, machine->spot,
                                   machine->lifecycle == Machine::Lifecycle::marked_for_deletion};
}

void MachineStore::handle_stored(const std::vector<Record>& records) {
    {
        std::lock_guard lock(state_.mutex);
        for (auto& [machine_id, record] : records) {
            auto* machine = state_.cluster.find(machine_id);
            if (!machine) continue;
            if (record.marked_for_deletion) machine->allow_deletion();
            if (machine->is_stored()) continue;
            machine->registration = Machine::Registration::stored;
            for (auto& [task, instance] : machine->tasks) instance.machine_stored = true;
            state_.cluster.schedule_flush(*machine);
        }
    }
    confirmed_();
}

}  // namespace coralhitch::leader
