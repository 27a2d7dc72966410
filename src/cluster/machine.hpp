// What the leader knows of one machine, and where from: reported by its agent, known from the replica of the
// previous leader, or decided by this leader. Times are steady seconds of the leader's clock.
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

struct Machine {
    // --- Identity ---
    std::string id, addr, type, zone;
    bool spot = false;
    std::size_t pool = 0;  // index into the cluster state's pools
    protocol::Resources total;

    // --- Lifecycle cycle ---
    enum class Lifecycle { booting, up, marked_for_deletion };
    Lifecycle lifecycle = Lifecycle::booting;
    // Its record in the key-value store. It is stored before the first `run` is sent to it.
    enum class Registration { none, write_pending, stored };
    Registration registration = Registration::none;
    // It was stored when this leader began, so tasks of earlier leaders may be on it.
    bool stored_by_earlier_leader = false;
    // The cloud may be asked to delete it once the mark is stored, or if the machine never was.
    enum class Deletion { not_allowed, allowed, requested };
    Deletion deletion = Deletion::not_allowed;

    // --- What this leader may rely on ---
    // Its newest report was sent since this leader began.
    bool reported_to_this_leader = false;
    // All that is on it is known: reported under this leader's token, or proven terminated by time.
    bool reconciled = false;
    // From the replica of the previous leader: `tasks` holds all that may be on it, though it is not
    // reconciled.
    bool known_from_replica = false;
    // All that was in agent epochs up to this one is proven terminated by time. Reports of it came late.
    protocol::AgentEpoch terminated_agent_epoch;
    // The same, though no agent epoch of it was ever reported: only a direct reply counts now.
    bool accepts_only_direct_replies = false;

    // --- Reported by the agent ---
    protocol::AgentEpoch agent_epoch;             // none: never reported
    protocol::SequenceNumber sequence;            // of the newest report, heartbeat or direct reply
    protocol::SequenceNumber heartbeat_sequence;  // of the newest heartbeat
    protocol::FencingToken token_seen;            // highest fencing token that the agent has shown
    std::optional<double> preemption_deadline;    // end of the preemption notice; empty: no notice
    std::string route;                   // controller that its last heartbeat came through; empty: the leader
    bool heartbeat_route_known = false;  // a heartbeat came, so `route` says by which way
    std::map<protocol::TaskId, Instance> tasks;
    std::map<AttemptId, ExitedAttempt> exited_attempts;
    ImageCache image_cache;

    // --- Leader's dealings with it ---
    protocol::FencingToken token;  // fencing token of commands and replies to it
    double created_at = 0, last_heartbeat_at = 0, idle_since = 0;
    std::optional<double> last_probe_at;          // by this leader, queued or sent
    std::optional<double> first_probed_at;        // by this leader
    std::optional<double> unreconciled_reply_at;  // last reply to it before it was reconciled
    std::optional<double> redirected_at;          // when it was last sent to another controller
    double lease_renewed_at = 0;  // last moment at which a controller may have renewed the agent's lease
    std::optional<double> delegation_expiry;       // last moment at which a relay that gave it back may have
    bool probe_pending = false;                    // a probe is queued or under way
    bool draining = false;                         // surplus, by the last scale-in plan
    bool flush_scheduled = false;                  // queued by `ClusterState::schedule_flush`
    bool replication_scheduled = false;            // among what `take_machines_to_replicate` returns next
    std::set<std::string> jobs_with_failed_tasks;  // jobs of which a task has failed here
    double quarantined_until = 0;

    // --- Health ---
    bool suspected = false;            // a heartbeat is overdue: nothing new goes there
    bool inbound_unreachable = false;  // no heartbeat comes, though it may answer commands: the same
    double inherited_silence_s = 0;    // seconds for which the previous leader had no heartbeat from it
    membership::Reachability reachability;

    bool is_stored() const { return registration == Registration::stored; }
    // Has no effect once the deletion is requested.
    void allow_deletion() {
        if (deletion == Deletion::not_allowed) deletion = Deletion::allowed;
    }
    bool is_suspect() const { return suspected || inbound_unreachable; }
    // Whether new tasks may be placed on it.
    bool usable(double now) const { return usable_ignoring_suspicion(now) && !is_suspect(); }
    // The same, leaving out a suspicion, which may end any moment.
    bool usable_ignoring_suspicion(double now) const {
        return lifecycle == Lifecycle::up && reconciled && agent_epoch.is_set() && !preemption_deadline &&
               now >= quarantined_until;
    }
    // What is left beside the instances on it; negative if the machine's type is not known.
    protocol::Resources free() const;
    bool has_instance_of_unknown_job() const;
    bool has_reported_instances() const;
};

}  // namespace coralhitch::cluster
