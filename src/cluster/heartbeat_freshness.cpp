#include "cluster/heartbeat_freshness.hpp"

#include <utility>

namespace coralhitch::cluster {

bool sent_since_leadership_began(const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
                                 const FencingTokens& tokens) {
    return channel == HeartbeatChannel::direct_reply || tokens.is_from_this_leader_or_later(heartbeat.token);
}

// When such heartbeats were applied, they restored instances of tasks that ran on other machines by then, and
// the running instances were stopped.
bool is_from_terminated_epoch(const Machine* known, const protocol::Heartbeat& heartbeat,
                              HeartbeatChannel channel, const FencingTokens& tokens) {
    // A reply to a command of this leader cannot be from before this leadership, so the next two checks do
    // not apply to it.
    bool direct = channel == HeartbeatChannel::direct_reply;
    // A machine is stored before its first `run`, so a machine that shows tasks and is not stored was deleted
    // under an earlier leader.
    if (!direct && !heartbeat.tasks.empty() && (!known || !known->is_stored())) return true;
    // Tasks in a heartbeat that may be older than this leadership are believed only if an earlier leader may
    // have started some on the machine, and nothing newer is known.
    bool from_before = !sent_since_leadership_began(heartbeat, channel, tokens) &&
                       !(known && known->reported_to_this_leader);
    bool expected = known && known->stored_by_earlier_leader && !known->reconciled;
    if (from_before && !heartbeat.tasks.empty() && !expected) return true;
    // No task of an agent epoch survives the expiry of the agent's lease.
    return known && (heartbeat.agent_epoch <= known->terminated_agent_epoch ||
                     (known->accepts_only_direct_replies && !direct));
}

// As a rule, the heartbeat with the larger (agent epoch, sequence number) is newer. But a machine that was
// set up anew under the same id begins with low numbers. A heartbeat from before this leadership may stem
// from the earlier machine of that id and have larger numbers, so it does not outrank one that was sent
// since. If the machine is known from the replica, the rule has no exception, because the replica does
// not stem from an earlier machine of that id.
bool is_newer(const Machine& machine, const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
              const FencingTokens& tokens) {
    if (std::pair(heartbeat.agent_epoch, heartbeat.sequence) >
        std::pair(machine.agent_epoch, machine.sequence))
        return true;
    bool direct = channel == HeartbeatChannel::direct_reply;
    return !machine.reported_to_this_leader && !machine.known_from_replica &&
           (tokens.is_from_this_leader_or_later(heartbeat.token) ||
            (direct && heartbeat.agent_epoch < machine.agent_epoch));
}

HeartbeatStatus status_of_older(Machine& machine, const protocol::Heartbeat& heartbeat,
                                HeartbeatChannel channel) {
    if (heartbeat.agent_epoch != machine.agent_epoch) return HeartbeatStatus::outdated;
    if (channel == HeartbeatChannel::direct_reply) return HeartbeatStatus::answerable;
    if (heartbeat.sequence == machine.heartbeat_sequence) return HeartbeatStatus::repeated;
    if (heartbeat.sequence < machine.heartbeat_sequence) return HeartbeatStatus::outdated;
    // A direct reply has overtaken this heartbeat, and the agent still waits for the reply to the heartbeat.
    machine.heartbeat_sequence = heartbeat.sequence;
    return HeartbeatStatus::answerable;
}

}  // namespace coralhitch::cluster
