// What became of one report of a machine.
#pragma once
#include <string>
#include <vector>

#include "cluster/instance_end.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {

// How a report came: as a heartbeat of the agent, or in its answer to a direct command.
enum class HeartbeatChannel { heartbeat, direct_reply };

enum class HeartbeatStatus {
    newer,       // than all before: it was applied. All others changed nothing that is known of the machine.
    answerable,  // older, but of the present agent epoch, and its sender still waits for the reply
    repeated,    // the newest heartbeat once more: its sender may wait
    outdated,    // nobody waits for its reply
    terminated,  // late: what it shows is proven terminated
    deposed,     // the agent has seen the token of a later leader
};

// An instance that was not known before, or not confirmed.
struct FoundInstance {
    protocol::TaskId task;
    std::string machine;
};

struct HeartbeatOutcome {
    HeartbeatStatus status = HeartbeatStatus::outdated;
    std::vector<InstanceEnd> ends{};
    std::vector<FoundInstance> found_instances{};

    bool is_newer() const { return status == HeartbeatStatus::newer; }
    bool may_be_answered() const {
        return is_newer() || is_repeated() || status == HeartbeatStatus::answerable;
    }
    bool is_repeated() const { return status == HeartbeatStatus::repeated; }
    bool is_terminated() const { return status == HeartbeatStatus::terminated; }
    bool is_deposed() const { return status == HeartbeatStatus::deposed; }
};

}  // namespace coralhitch::cluster
