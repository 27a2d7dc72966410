#include "cluster/machine_commands.hpp"

#include <algorithm>

namespace coralhitch::cluster {
using protocol::Command;
using protocol::CommandKind;
using protocol::TaskState;

namespace {
bool may_get_starts(const Machine& machine, bool authority) {
    return authority && machine.reconciled && machine.lifecycle == Machine::Lifecycle::up;
}

bool any_direct_run_in_flight(const Machine& machine) {
    return std::any_of(machine.tasks.begin(), machine.tasks.end(),
                       [](auto& entry) { return entry.second.run.direct_in_flight > 0; });
}

// Returns true if the outcome of the exited attempt is stored and no `run` for it can be executed any more. A
// `run` in a heartbeat reply has been executed or dropped once a later heartbeat has arrived.
bool may_be_forgotten(const Machine& machine, const ExitedAttempt& exited) {
    return exited.outcome_stored && exited.run.direct_in_flight == 0 &&
           machine.token_seen > exited.run.unacknowledged_token &&
           machine.heartbeat_sequence > exited.run.reply_sequence;
}

bool must_be_stopped(const Instance& instance) {
    return instance.stop_requested || !instance.spec;
}

void append_stop(std::vector<Command>& commands, const protocol::TaskId& task, Instance& instance,
                 double now) {
    // A task that is already writing a checkpoint within its grace needs no further command.
    bool stopping = instance.state == TaskState::checkpointing && instance.grace_s > 0;
    if (!instance.ever_reported || stopping) return;
    commands.push_back({CommandKind::stop, task, instance.attempt, instance.spec ? instance.grace_s : 0});
    if (!instance.stop_sent_at) instance.stop_sent_at = now;
}
}  // namespace

// After a `forget`, the agent would execute a delayed `run` of the same attempt and start it again. A direct
// `run` without an answer may arrive minutes late. The agent drops it only if it has seen a higher token, so
// the token is raised before the `forget` is sent.
void MachineCommands::fence_unacknowledged_runs(Machine& machine) {
    for (auto& [id, exited] : machine.exited_attempts)
        if (exited.outcome_stored && exited.run.direct_in_flight == 0)
            tokens_.raise(machine, exited.run.unacknowledged_token);
}

// A copy of a `run` that was answered may also arrive late. The reply with the `forget` carries a higher
// token, so the agent drops such a copy from then on.
void MachineCommands::fence_answered_runs(Machine& machine) {
    for (auto& [id, exited] : machine.exited_attempts)
        if (may_be_forgotten(machine, exited)) tokens_.raise(machine, exited.run.highest_token);
}

std::vector<Command> MachineCommands::for_reply(Machine& machine, double now, bool authority) {
    std::vector<Command> commands;
    fence_unacknowledged_runs(machine);
    bool may_start = may_get_starts(machine, authority);
    // While a direct `run` is in flight nothing is forgotten, because the higher token would fence that `run`
    // too.
    bool may_forget = may_start && !any_direct_run_in_flight(machine);
    if (may_forget) fence_answered_runs(machine);
    for (auto& [task, instance] : machine.tasks) {
        if (must_be_stopped(instance)) {
            append_stop(commands, task, instance, now);
        } else if (!instance.ever_reported && instance.machine_stored && may_start &&
                   instance.run.highest_token.is_set()) {
            // The `run` was sent directly but may not have arrived.
            commands.push_back({CommandKind::start, task, instance.attempt, 0});
            instance.run.highest_token = machine.token;
            instance.run.reply_sequence = machine.heartbeat_sequence;
        }
    }
    if (may_forget)
        for (auto& [id, exited] : machine.exited_attempts)
            if (may_be_forgotten(machine, exited))
                commands.push_back({CommandKind::forget, id.task, id.attempt, 0});
    return commands;
}

DirectCommands MachineCommands::take_direct(Machine& machine, double now, bool authority) {
    bool may_start = may_get_starts(machine, authority);
    DirectCommands direct;
    for (auto& [task, instance] : machine.tasks) {
        if (instance.stop_requested) {
            if (instance.stop_sent_at) continue;
            direct.commands.push_back({CommandKind::stop, task, instance.attempt, instance.grace_s});
            instance.stop_sent_at = now;
        } else if (instance.spec && instance.machine_stored && instance.replicated &&
                   !instance.ever_reported && !instance.run.highest_token.is_set()) {
            if (!may_start) {
                direct.starts_held_back = true;
                continue;
            }
            direct.commands.push_back({CommandKind::start, task, instance.attempt, 0});
            instance.run.highest_token = machine.token;
            ++instance.run.direct_in_flight;
        }
    }
    return direct;
}

void MachineCommands::complete_direct(Machine& machine, const std::vector<Command>& commands,
                                      protocol::FencingToken token, bool answered) {
    auto complete = [&](RunDelivery& run) {
        --run.direct_in_flight;
        if (!answered) run.unacknowledged_token = std::max(run.unacknowledged_token, token);
    };
    for (auto& command : commands) {
        if (command.kind != CommandKind::start) continue;
        if (auto it = machine.tasks.find(command.task);
            it != machine.tasks.end() && it->second.attempt == command.attempt)
            complete(it->second.run);
        else if (auto exited = machine.exited_attempts.find({command.task, command.attempt});
                 exited != machine.exited_attempts.end())
            complete(exited->second.run);
    }
}

bool MachineCommands::request_stop(Machine& machine, const protocol::TaskId& task, double grace_s) {
    auto it = machine.tasks.find(task);
    if (it == machine.tasks.end()) return false;
    auto& instance = it->second;
    if (instance.stop_requested && instance.grace_s <= grace_s) return false;
    instance.stop_requested = true;
    instance.grace_s = grace_s;
    instance.stop_sent_at.reset();
    // A `run` that was sent may still arrive, so a higher token fences it.
    if (!instance.ever_reported) tokens_.raise(machine, instance.run.highest_token);
    return true;
}

bool nothing_pending(const Machine& machine) {
    bool idle = machine.lifecycle == Machine::Lifecycle::up && machine.reconciled && machine.is_stored() &&
                !machine.preemption_deadline && !machine.flush_scheduled && machine.exited_attempts.empty() &&
                machine.token == machine.token_seen;
    return idle && std::all_of(machine.tasks.begin(), machine.tasks.end(), [](auto& entry) {
               auto& instance = entry.second;
               return instance.ever_reported && instance.spec && !instance.stop_requested &&
                      instance.run.direct_in_flight == 0;
           });
}

bool may_renew_lease(const Machine& machine, double now) {
    return std::none_of(machine.tasks.begin(), machine.tasks.end(), [&](auto& entry) {
        auto& instance = entry.second;
        return instance.stop_requested && !instance.in_last_heartbeat &&
               now > instance.lease_renewal_deadline;
    });
}

}  // namespace coralhitch::cluster
