#include "cluster/heartbeat_freshness.hpp"

#include <utility>

namespace coralhitch::cluster {

bool sent_since_leadership_began(const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
                                 const FencingTokens& tokens) {
    return channel == HeartbeatChannel::direct_reply || tokens.is_from_this_leader_or_later(heartbeat.token);
}

// Taken for true, such a report brought tasks back that ran elsewhere, and those were stopped.
bool is_from_terminated_epoch(const Machine* known, const protocol::Heartbeat& heartbeat,
                              HeartbeatChannel channel, const FencingTokens& tokens) {
    // What the machine answers to this leader's own question counts.
    bool direct = channel == HeartbeatChannel::direct_reply;
    // A machine is stored before its first `run`, so tasks can't be on one that is not: it was deleted under
    // an earlier leader.
    if (!direct && !heartbeat.tasks.empty() && (!known || !known->is_stored())) return true;
    // A report that may be from before this leader began tells of tasks only if an earlier leader may have
    // started some, and nothing newer is known.
    bool from_before = !sent_since_leadership_began(heartbeat, channel, tokens) &&
                       !(known && known->reported_to_this_leader);
    bool expected = known && known->stored_by_earlier_leader && !known->reconciled;
    if (from_before && !heartbeat.tasks.empty() && !expected) return true;
    // Nothing is left of an agent epoch whose lease has expired.
    return known && (heartbeat.agent_epoch <= known->terminated_agent_epoch ||
                     (known->accepts_only_direct_replies && !direct));
}

// The larger (agent epoch, sequence) is the newer one. But a report from before this leader began may be of
// another lifecycle of the machine, which had come further; what is known from the replica is not.
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
    // A direct reply has overtaken the heartbeat; the agent still waits for the reply to it.
    machine.heartbeat_sequence = heartbeat.sequence;
    return HeartbeatStatus::answerable;
}

}  // namespace coralhitch::cluster
