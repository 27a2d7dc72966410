#include "cluster/cluster_state.hpp"

#include <algorithm>

#include "cluster/heartbeat_freshness.hpp"

namespace coralhitch::cluster {

ClusterState::ClusterState(protocol::LeaderVersion leadership_version,
                           const std::vector<protocol::MachineType>& types)
    : tokens_(leadership_version) {
    set_types(types);
}

// --- Machines -------------------------------------------------------------------------------------------

void ClusterState::set_types(const std::vector<protocol::MachineType>& types) {
    pools_.set_types(types);
    for (auto& [id, machine] : machines_) machine.total = pools()[machine.pool].total;
}

Machine* ClusterState::find(std::string_view id) {
    auto it = machines_by_id_.find(id);
    return it == machines_by_id_.end() ? nullptr : it->second;
}

Machine& ClusterState::add(const std::string& id, const std::string& addr, const std::string& type,
                           const std::string& zone, bool spot, Machine::Lifecycle lifecycle, double now) {
    if (auto* known = find(id)) return *known;
    auto it = machines_.try_emplace(id).first;
    auto& machine = it->second;
    machines_by_id_.emplace(it->first, &machine);
    machine.id = id;
    machine.token = tokens_.base();
    machine.created_at = machine.last_heartbeat_at = machine.idle_since = machine.lease_renewed_at = now;
    machine.reachability.record_renewable_heartbeat(now);
    machine.reachability.record_reached(now);
    machine.lifecycle = lifecycle;
    machine.addr = addr;
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machine.pool = pools_.find_or_add(type, zone, spot);
    machine.total = pools()[machine.pool].total;
    return machine;
}

std::vector<InstanceEnd> ClusterState::remove_deleted(const std::string& id) {
    auto it = machines_.find(id);
    if (it == machines_.end()) return {};
    auto ends = terminate_all(it->second);
    schedule_replication(it->second);
    machines_by_id_.erase(it->first);
    machines_.erase(it);
    deleted_machines_.insert(id);
    return ends;
}

std::vector<InstanceEnd> ClusterState::expire_lease(Machine& machine) {
    auto ends = terminate_all(machine);
    machine.reconciled = true;
    machine.terminated_agent_epoch = std::max(machine.terminated_agent_epoch, machine.agent_epoch);
    machine.accepts_only_direct_replies = !machine.agent_epoch.is_set();
    schedule_replication(machine);
    return ends;
}

// --- Heartbeats -----------------------------------------------------------------------------------------

HeartbeatOutcome ClusterState::apply_heartbeat(const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
                                               double now, const JobLookup& lookup) {
    // A deleted machine never comes back, so this heartbeat was delayed on its way.
    if (is_deleted(heartbeat.machine)) return {.status = HeartbeatStatus::terminated};
    if (tokens_.is_from_later_leader(heartbeat.token)) return {.status = HeartbeatStatus::deposed};
    if (is_from_terminated_epoch(find(heartbeat.machine), heartbeat, channel, tokens_))
        return {.status = HeartbeatStatus::terminated};
    auto& machine = add(heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone, heartbeat.spot,
                        Machine::Lifecycle::up, now);
    if (!is_newer(machine, heartbeat, channel, tokens_))
        return {.status = status_of_older(machine, heartbeat, channel)};
    HeartbeatApplication application({tokens_, images_, pools_, machines_with_unstored_exits_}, machine,
                                     heartbeat, channel, now, lookup);
    auto outcome = application.apply();
    any_reconciled_ |= tokens_.is_from_this_leader_or_later(heartbeat.token);
    if (application.must_be_replicated()) schedule_replication(machine);
    return outcome;
}

// --- Instances ------------------------------------------------------------------------------------------

namespace {
Instance& replace_instance(Machine& machine, const protocol::TaskId& task, JobSpec spec,
                           protocol::AttemptNumber attempt, double now) {
    auto& instance = machine.tasks[task];
    instance = Instance{};
    instance.spec = std::move(spec);
    instance.attempt = attempt;
    instance.placed_at = now;
    return instance;
}
}  // namespace

Instance& ClusterState::place(Machine& machine, const protocol::TaskId& task, JobSpec spec,
                              protocol::AttemptNumber attempt, double now) {
    auto& instance = replace_instance(machine, task, std::move(spec), attempt, now);
    instance.machine_stored = machine.is_stored();
    instance.replicated = !hold_starts_until_replicated_;
    machine.idle_since = now;
    schedule_flush(machine);
    schedule_replication(machine);
    return instance;
}

Instance& ClusterState::place_from_replica(Machine& machine, const protocol::TaskId& task, JobSpec spec,
                                           protocol::AttemptNumber attempt, double now) {
    auto& instance = replace_instance(machine, task, std::move(spec), attempt, now);
    instance.ever_reported = true;
    // A `run` of an earlier leader that may still arrive has at most this token.
    instance.run.highest_token = tokens_.highest_before();
    return instance;
}

void ClusterState::stop(Machine& machine, const protocol::TaskId& task, double grace_s) {
    if (commands_.request_stop(machine, task, grace_s)) schedule_flush(machine);
}

void ClusterState::cancel(Machine& machine, const protocol::TaskId& task, double lease_renewal_deadline) {
    if (auto it = machine.tasks.find(task); it != machine.tasks.end())
        it->second.lease_renewal_deadline =
            std::min(it->second.lease_renewal_deadline, lease_renewal_deadline);
    stop(machine, task, 0);
}

namespace {
void mark_outcomes_stored(Machine& machine, const std::string& job, const std::set<std::uint32_t>& tasks) {
    auto& attempts = machine.exited_attempts;
    for (auto exit = attempts.lower_bound({{job, 0}, {}});
         exit != attempts.end() && exit->first.task.job == job; ++exit)
        if (tasks.empty() || tasks.contains(exit->first.task.index)) exit->second.outcome_stored = true;
}
}  // namespace

void ClusterState::record_outcome_stored(const std::string& machine_id, const protocol::TaskId& task) {
    auto* machine = find(machine_id);
    if (!machine) return;
    auto& attempts = machine->exited_attempts;
    for (auto exit = attempts.lower_bound({task, {}}); exit != attempts.end() && exit->first.task == task;
         ++exit)
        exit->second.outcome_stored = true;
}

void ClusterState::record_outcome_stored(const std::string& job, const std::set<std::uint32_t>& tasks) {
    auto holders = machines_with_unstored_exits_.find(job);
    if (holders == machines_with_unstored_exits_.end()) return;
    for (auto& id : holders->second)
        if (auto* machine = find(id)) mark_outcomes_stored(*machine, job, tasks);
    if (tasks.empty()) machines_with_unstored_exits_.erase(holders);
}

// --- Commands -------------------------------------------------------------------------------------------

std::vector<protocol::Command> ClusterState::reply_commands(Machine& machine, double now, bool authority) {
    return commands_.for_reply(machine, now, authority);
}

std::vector<protocol::Command> ClusterState::take_direct_commands(Machine& machine, double now,
                                                                  bool authority) {
    machine.flush_scheduled = false;
    auto direct = commands_.take_direct(machine, now, authority);
    if (direct.starts_held_back) schedule_flush(machine);
    return std::move(direct.commands);
}

void ClusterState::complete_direct_commands(Machine& machine, const std::vector<protocol::Command>& commands,
                                            protocol::FencingToken token, bool answered) {
    commands_.complete_direct(machine, commands, token, answered);
}

void ClusterState::schedule_flush(Machine& machine) {
    if (std::exchange(machine.flush_scheduled, true)) return;
    machines_to_flush_.push_back(machine.id);
}

// --- Replication ----------------------------------------------------------------------------------------

void ClusterState::schedule_replication(Machine& machine) {
    if (std::exchange(machine.replication_scheduled, true)) return;
    machines_to_replicate_.push_back(machine.id);
}

std::vector<std::string> ClusterState::take_machines_to_replicate() {
    for (auto& id : machines_to_replicate_)
        if (auto* machine = find(id)) machine->replication_scheduled = false;
    return std::exchange(machines_to_replicate_, {});
}

// --- Images ---------------------------------------------------------------------------------------------

void ClusterState::restore_image_cache(Machine& machine, std::vector<CachedImage> images) {
    machine.image_cache.restore(std::move(images), pools_.cache_gb(machine.type));
}

}  // namespace coralhitch::cluster
