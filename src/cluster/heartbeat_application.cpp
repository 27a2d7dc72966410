#include "cluster/heartbeat_application.hpp"

#include <algorithm>
#include <utility>

#include "cluster/heartbeat_freshness.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {
using protocol::ExitCause;
using protocol::TaskState;

HeartbeatOutcome HeartbeatApplication::apply() {
    outcome_.status = HeartbeatStatus::newer;
    machine_.accepts_only_direct_replies = false;
    machine_.reported_to_this_leader |= sent_since_leadership_began(heartbeat_, channel_, targets_.tokens);
    // If the machine is known from the replica, the replicas already hold its instances, so its
    // reconciliation alone need not be replicated.
    must_be_replicated_ = heartbeat_.agent_epoch > machine_.agent_epoch ||
                          (targets_.tokens.is_from_this_leader_or_later(heartbeat_.token) &&
                           !machine_.reconciled && !machine_.known_from_replica);
    begin_agent_epoch();
    apply_header();
    apply_tasks();
    if (!machine_.tasks.empty()) machine_.idle_since = now_;
    must_be_replicated_ |= !outcome_.ends.empty() || !outcome_.found_instances.empty();
    return std::move(outcome_);
}

void HeartbeatApplication::begin_agent_epoch() {
    if (heartbeat_.agent_epoch <= machine_.agent_epoch || !machine_.agent_epoch.is_set()) return;
    // Evidence: an agent kills and forgets all tasks of its old epoch before it begins a new one, and it
    // refuses delayed commands for the old epoch.
    outcome_.ends = terminate_all(machine_);
    machine_.heartbeat_sequence = protocol::SequenceNumber::none();
}

// Applies everything but the list of tasks.
void HeartbeatApplication::apply_header() {
    auto& m = machine_;
    // This heartbeat has smaller numbers although it is newer: the machine was set up anew under the same id.
    if (std::pair(heartbeat_.agent_epoch, heartbeat_.sequence) < std::pair(m.agent_epoch, m.sequence))
        m.heartbeat_sequence = protocol::SequenceNumber::none();
    m.agent_epoch = heartbeat_.agent_epoch;
    m.sequence = heartbeat_.sequence;
    if (channel_ == HeartbeatChannel::heartbeat) m.heartbeat_sequence = heartbeat_.sequence;
    m.token_seen = heartbeat_.token;
    m.addr = heartbeat_.addr;
    m.last_heartbeat_at = now_;
    m.suspected = false;
    m.inherited_silence_s = 0;
    if (m.lifecycle == Machine::Lifecycle::booting) m.lifecycle = Machine::Lifecycle::up;
    apply_preemption_notice();
    // An agent that has seen this leader's token drops all commands of earlier leaders, so the heartbeat
    // shows every instance that there is.
    if (targets_.tokens.is_from_this_leader_or_later(heartbeat_.token)) m.reconciled = true;
}

// A deadline is never moved to a later time: the remaining time in a delayed heartbeat is too long.
void HeartbeatApplication::apply_preemption_notice() {
    if (!heartbeat_.preemption_notice_s) {
        machine_.preemption_deadline.reset();
        return;
    }
    double deadline = now_ + *heartbeat_.preemption_notice_s;
    machine_.preemption_deadline = std::min(machine_.preemption_deadline.value_or(deadline), deadline);
}

void HeartbeatApplication::apply_tasks() {
    std::set<AttemptId> reported_exits;
    std::set<protocol::TaskId> reported;
    for (auto& status : heartbeat_.tasks) {
        if (status.state == TaskState::exited) {
            reported_exits.insert({status.task, status.attempt});
            apply_exited(status);
        } else {
            reported.insert(status.task);
            apply_active(status);
        }
    }
    terminate_unreported(reported);
    drop_forgotten_attempts(reported_exits);
}

// Evidence for the removal of the instance: the agent reports that this attempt has exited.
void HeartbeatApplication::apply_exited(const protocol::TaskStatus& status) {
    AttemptId id{status.task, status.attempt};
    if (machine_.exited_attempts.contains(id)) return;
    InstanceEnd end{.machine = machine_.id,
                    .task = status.task,
                    .attempt = status.attempt,
                    .reported = true,
                    .cause = status.cause,
                    .saved = status.saved};
    ExitedAttempt exited;
    if (auto it = machine_.tasks.find(status.task);
        it != machine_.tasks.end() && it->second.attempt == status.attempt) {
        auto& instance = it->second;
        exited.run = instance.run;
        end.orphaned = instance.orphaned;
        end.started = instance.running_since.has_value();
        machine_.tasks.erase(it);
    }
    exited.outcome_stored = status.cause != ExitCause::done;  // other causes need no stored outcome
    machine_.exited_attempts.emplace(id, exited);
    if (!exited.outcome_stored) targets_.machines_with_unstored_exits[status.task.job].insert(machine_.id);
    outcome_.ends.push_back(std::move(end));
}

// A heartbeat from before this leadership cannot add to what is known from the replica, which holds every
// instance that may be on the machine. For a machine that is not known from the replica, an instance that
// only such a heartbeat shows stays unconfirmed until the machine shows it to this leader. When unconfirmed
// instances were relied on, a gang that ran on other machines by then was stopped because the next heartbeat
// did not show them.
void HeartbeatApplication::apply_active(const protocol::TaskStatus& status) {
    auto it = machine_.tasks.find(status.task);
    bool on_record = it != machine_.tasks.end() && it->second.attempt == status.attempt;
    if (machine_.known_from_replica && !machine_.reported_to_this_leader && !on_record) return;
    if (it == machine_.tasks.end()) {
        Instance instance;
        instance.spec = lookup_(status.task.job);
        instance.attempt = status.attempt;
        instance.placed_at = now_;
        instance.confirmed = machine_.reported_to_this_leader;
        it = machine_.tasks.emplace(status.task, std::move(instance)).first;
        outcome_.found_instances.push_back({status.task, machine_.id});
    } else if (!on_record) {
        // The machine runs another attempt than the one on record. The reported attempt holds the resources.
        it->second.attempt = status.attempt;
        must_be_replicated_ = true;
    }
    auto& instance = it->second;
    if (machine_.reported_to_this_leader && !std::exchange(instance.confirmed, true))
        outcome_.found_instances.push_back({status.task, machine_.id});
    record_progress(instance, status);
}

void HeartbeatApplication::record_progress(Instance& instance, const protocol::TaskStatus& status) {
    instance.ever_reported = instance.in_last_heartbeat = true;
    instance.state = status.state;
    if (status.state == TaskState::fetching) return;
    if (instance.spec && !std::exchange(instance.image_counted, true))
        machine_.image_cache.record_use(
            {targets_.images.number(instance.spec->image), instance.spec->image_gb},
            targets_.pools.cache_gb(machine_.type));
    if (status.state != TaskState::waiting && !instance.running_since) instance.running_since = now_;
}

// Removes the instances on record that the heartbeat does not show, if this is evidence that they have
// terminated.
void HeartbeatApplication::terminate_unreported(const std::set<protocol::TaskId>& reported) {
    for (auto it = machine_.tasks.begin(); it != machine_.tasks.end();) {
        auto& instance = it->second;
        bool never_sent = !instance.ever_reported && !instance.run.highest_token.is_set();
        instance.in_last_heartbeat = reported.contains(it->first);
        if (instance.in_last_heartbeat || (never_sent && !instance.stop_requested)) {
            ++it;
            continue;
        }
        if (heartbeat_.token > instance.run.highest_token) {
            // Evidence: the task is not on the machine, and every `run` for it was sent under a token that
            // the agent drops now.
            if (instance.confirmed) outcome_.ends.push_back(unreported_end(machine_, it->first, instance));
            it = machine_.tasks.erase(it);
            continue;
        }
        // The absence of the task is not evidence while a `run` for it may still arrive. If the instance is
        // to be stopped, or was on the machine before, a higher token fences that `run`. Otherwise the task
        // is still to be started, and the reply to a heartbeat repeats its `run`.
        if (instance.stop_requested || instance.ever_reported)
            targets_.tokens.raise(machine_, instance.run.highest_token);
        ++it;
    }
}

// Removes the exited attempts that the agent no longer reports. It forgets them on a `forget` command, which
// is sent once their outcome is stored.
void HeartbeatApplication::drop_forgotten_attempts(const std::set<AttemptId>& reported) {
    std::erase_if(machine_.exited_attempts, [&](auto& entry) {
        return !reported.contains(entry.first) && entry.second.outcome_stored;
    });
}

}  // namespace coralhitch::cluster
