// The leader's record of one machine. Each group of fields says where it comes from: the machine's agent, the
// replica that the previous leader kept on this controller, or this leader's own decisions. All times are
// seconds of the leader's steady clock.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/image_cache.hpp"
#include "cluster/instance.hpp"
#include "membership/reachability.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

// A machine and the instances on it. Not thread-safe: guarded by the lock that guards its cluster state.
struct Machine {
    // --- Identity ---
    std::string id, addr, type, zone;
    bool spot = false;
    std::size_t pool = 0;       // index into ClusterState::pools()
    protocol::Resources total;  // zero while the machine type is unknown

    // --- Lifecycle ---
    // A machine that an earlier leader stored begins as `up`, or as `marked_for_deletion` if that mark was
    // stored, even before this leader has received a heartbeat from it.
    enum class Lifecycle { booting, up, marked_for_deletion };
    Lifecycle lifecycle = Lifecycle::booting;
    // State of the machine's record in the key-value store. The record is stored before the first `run`
    // command is sent to the machine.
    enum class Registration { none, write_pending, stored };
    Registration registration = Registration::none;
    // The record existed when this leader took over, so tasks of earlier leaders may be on the machine.
    bool stored_by_earlier_leader = false;
    // The cloud may be asked to delete the machine once the deletion mark is stored, or at any time if the
    // machine itself was never stored.
    enum class Deletion { not_allowed, allowed, requested };
    Deletion deletion = Deletion::not_allowed;

    // --- What this leader may rely on ---
    // The newest heartbeat was sent since this leader took over.
    bool reported_to_this_leader = false;
    // Every instance on the machine is known, because the agent sent a heartbeat under this leader's token or
    // because its lease has expired.
    bool reconciled = false;
    // `tasks` comes from the replica of the previous leader and holds every instance that may be on the
    // machine, even before the machine is reconciled.
    bool known_from_replica = false;
    // All instances of agent epochs up to this one have terminated, because the agent's lease expired.
    // Heartbeats of these epochs that still arrive were delayed and are ignored.
    protocol::AgentEpoch terminated_agent_epoch;
    // The lease expired before this leader had learned any agent epoch, so delayed heartbeats cannot be
    // recognized by their epoch. Only a reply to a direct command is accepted until one has arrived.
    bool accepts_only_direct_replies = false;

    // --- Reported by the agent ---
    protocol::AgentEpoch agent_epoch;             // unset: no heartbeat has been applied
    protocol::SequenceNumber sequence;            // of the newest heartbeat, periodic or in a direct reply
    protocol::SequenceNumber heartbeat_sequence;  // of the newest periodic heartbeat
    protocol::FencingToken token_seen;            // highest fencing token that the agent has seen
    std::optional<double> preemption_deadline;    // end of the preemption notice; empty: no notice
    // Label of the controller that received the last periodic heartbeat; empty: the leader itself.
    std::string route;
    bool heartbeat_route_known = false;  // a periodic heartbeat has set `route`
    std::map<protocol::TaskId, Instance> tasks;
    std::map<AttemptId, ExitedAttempt> exited_attempts;
    ImageCache image_cache;

    // --- The leader's bookkeeping ---
    protocol::FencingToken token;  // carried by commands and replies to the machine
    // `created_at`: when this leader added the machine to its cluster state. `idle_since`: when instances
    // were last known on the machine or placed there.
    double created_at = 0, last_heartbeat_at = 0, idle_since = 0;
    std::optional<double> last_probe_at;          // last time this leader queued or sent a probe
    std::optional<double> first_probed_at;        // first time this leader sent a probe
    std::optional<double> unreconciled_reply_at;  // last heartbeat reply before the machine was reconciled
    std::optional<double> redirected_at;          // last time the agent was redirected to another controller
    double lease_renewed_at = 0;  // latest time at which a controller may have renewed the agent's lease
    // Latest time at which a relay that no longer holds the delegation may have renewed the agent's lease.
    std::optional<double> delegation_expiry;
    bool probe_pending = false;                    // a probe is queued or in flight
    bool draining = false;                         // surplus according to the last scale-in plan
    bool flush_scheduled = false;                  // queued by `ClusterState::schedule_flush`
    bool replication_scheduled = false;            // queued for `ClusterState::take_machines_to_replicate`
    std::set<std::string> jobs_with_failed_tasks;  // ids of jobs of which a task has failed on the machine
    double quarantined_until = 0;                  // no new tasks are placed before this time

    // --- Health ---
    // A heartbeat is overdue, or replies seem not to reach the machine. No new tasks are placed on it.
    bool suspected = false;
    // Heartbeats do not reach the controllers, though the machine may still answer direct commands. No new
    // tasks are placed on it.
    bool inbound_unreachable = false;
    // Seconds without a heartbeat that the previous leader had counted for the machine when this leader took
    // over. Zero once a heartbeat has been applied.
    double inherited_silence_s = 0;
    membership::Reachability reachability;

    bool is_stored() const { return registration == Registration::stored; }
    // Allows the deletion. Has no effect once the deletion has been requested.
    void allow_deletion() {
        if (deletion == Deletion::not_allowed) deletion = Deletion::allowed;
    }
    bool is_suspect() const { return suspected || inbound_unreachable; }
    // Returns true if new tasks may be placed on the machine at time `now`.
    bool usable(double now) const { return usable_ignoring_suspicion(now) && !is_suspect(); }
    // Returns true if the machine is usable, or would be if it were not suspect. A suspicion may end at any
    // moment, with the next heartbeat.
    bool usable_ignoring_suspicion(double now) const {
        return lifecycle == Lifecycle::up && reconciled && agent_epoch.is_set() && !preemption_deadline &&
               now >= quarantined_until;
    }
    // Returns the total resources less the requests of the instances on the machine. Instances of unknown
    // jobs are not counted. May be negative if the machine type is unknown.
    protocol::Resources free() const;
    bool has_instance_of_unknown_job() const;
    bool has_reported_instances() const;
};

}  // namespace coralhitch::cluster
