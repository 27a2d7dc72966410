// The result of applying one heartbeat to the cluster state.
#pragma once
#include <string>
#include <vector>

#include "cluster/instance_end.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {

// The way by which a heartbeat arrived: sent periodically by the agent, or contained in its reply to a direct
// command.
enum class HeartbeatChannel { heartbeat, direct_reply };

// Classification of a heartbeat. Only a `newer` one is applied; all others leave the instances on record as
// they are.
enum class HeartbeatStatus {
    newer,       // newer than all heartbeats before; applied
    answerable,  // older, but of the current agent epoch, and the agent still waits for the reply
    repeated,    // a repetition of the newest periodic heartbeat; the agent may be waiting for the reply
    outdated,    // older, and the agent does not wait for the reply any more
    terminated,  // delayed: everything that it shows is known to have terminated
    deposed,     // the agent has seen the token of a later leader
};

// An instance that a heartbeat showed and that was unknown, or known but not confirmed, before.
struct FoundInstance {
    protocol::TaskId task;
    std::string machine;
};

// Status of a heartbeat, the instances that it ended, and those that it newly found or confirmed. Both lists
// are empty unless the heartbeat was applied.
struct HeartbeatOutcome {
    HeartbeatStatus status = HeartbeatStatus::outdated;
    std::vector<InstanceEnd> ends{};
    std::vector<FoundInstance> found_instances{};

    bool is_newer() const { return status == HeartbeatStatus::newer; }
    // Returns true if the agent may still be waiting for the reply.
    bool may_be_answered() const {
        return is_newer() || is_repeated() || status == HeartbeatStatus::answerable;
    }
    bool is_repeated() const { return status == HeartbeatStatus::repeated; }
    bool is_terminated() const { return status == HeartbeatStatus::terminated; }
    bool is_deposed() const { return status == HeartbeatStatus::deposed; }
};

}  // namespace coralhitch::cluster
