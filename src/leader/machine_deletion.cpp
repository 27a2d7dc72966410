#include "leader/machine_deletion.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace coralhitch::leader {
using cluster::Machine;

namespace {
// Several calls run in parallel: after many machines are lost at once, quotas and the placement of their
// tasks wait for the deletions.
constexpr int max_calls_in_flight = 4;
constexpr double retry_delay_heartbeat_periods = 1.0 / 3;
}  // namespace

MachineDeletion::MachineDeletion(const PartContext& context, cloud::CloudClient& cloud,
                                 metrics::Metrics& metrics, Delegations& delegations, MachineStore& store,
                                 InstanceTracker& instances, Hooks hooks)
    : LeaderPart(context),
      cloud_(cloud),
      metrics_(metrics),
      delegations_(delegations),
      store_(store),
      instances_(instances),
      hooks_(std::move(hooks)) {}

void MachineDeletion::mark(Machine& machine, const char* reason) {
    if (machine.lifecycle == Machine::Lifecycle::marked_for_deletion) return;
    spdlog::info(
        "component=leader event=machine_marked_for_deletion machine={} reason=\"{}\" tasks={} "
        "last_heartbeat_by={}",
        machine.id, reason, machine.tasks.size(), machine.route.empty() ? settings_.label : machine.route);
    metrics_.increment(metrics::Metric::leader_machines_marked_for_deletion);
    machine.lifecycle = Machine::Lifecycle::marked_for_deletion;
    // Otherwise each extension of its relay's delegation would postpone the time at which its lease expires.
    delegations_.revoke(machine.id);
    if (machine.registration == Machine::Registration::none) {
        machine.allow_deletion();
        return;
    }
    store_.update(machine.id);
}

void MachineDeletion::delete_marked() {
    while (calls_in_flight_ < max_calls_in_flight && authority_.holds() && timers_.now() >= retry_at_) {
        std::vector<std::string> machine_ids;
        for (auto& [id, machine] : state_.cluster.machines())
            if (machine.lifecycle == Machine::Lifecycle::marked_for_deletion &&
                machine.deletion == Machine::Deletion::allowed &&
                machine_ids.size() < cloud::CloudClient::max_machines_per_delete) {
                machine_ids.push_back(id);
                machine.deletion = Machine::Deletion::requested;
            }
        if (machine_ids.empty()) return;
        ++calls_in_flight_;
        cloud_.delete_machines(machine_ids,
                               guarded_([this, machine_ids](bool ok) { handle_answer(machine_ids, ok); }));
    }
}

void MachineDeletion::handle_answer(const std::vector<std::string>& machine_ids, bool ok) {
    --calls_in_flight_;
    if (!ok) {
        for (auto& id : machine_ids)
            if (auto* machine = state_.cluster.find(id)) machine->deletion = Machine::Deletion::allowed;
        retry_at_ = timers_.now() + settings_.heartbeat_interval_s * retry_delay_heartbeat_periods;
        return;
    }
    {
        std::lock_guard lock(state_.mutex);
        for (auto& id : machine_ids) {
            if (!state_.cluster.find(id)) continue;
            store_.remove(id);
            delegations_.revoke(id);
            hooks_.machine_removed(id);
            // Evidence that the tasks have terminated: when the cloud answers, the machine no longer exists.
            for (auto& end : state_.cluster.remove_deleted(id)) instances_.instance_ended(end);
        }
    }
    hooks_.call_done();
    delete_marked();
}

}  // namespace coralhitch::leader
