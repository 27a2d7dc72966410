// The input of the failure detector in each tick of the leader: one value for each machine that is up, and
// one for the leader itself.
#pragma once
#include <cstddef>
#include <string_view>

#include "membership/eviction_cost.hpp"

namespace coralhitch::membership {

// The state of a machine that is up, at one time. Times are seconds of the leader's clock. The string views
// are valid only during the call that they are passed to.
struct Observation {
    std::string_view id;
    std::string_view route;  // the controller that relayed the last heartbeat; empty: the leader received it
    std::size_t zone = 0;    // index of the zone
    double silence_s = 0;  // seconds since the last heartbeat, as far as the machine is responsible for them
    double last_heartbeat_at = 0;
    bool reconciled = false;  // the machine has sent a heartbeat with this leader's fencing token
    // The tasks that may be on the machine are known from the replica of the previous leader's state. A
    // machine that is neither known from there nor reconciled blocks all placement.
    bool known_from_replica = false;
    EvictionCost eviction_cost = EvictionCost::none;
    // Seconds without evidence that messages reach the machine, although its heartbeats arrive.
    double unreached_s = 0;
};

// The state of the leader itself.
struct LeaderCondition {
    bool overloaded = false;       // the leader lacks processor time to read heartbeats as they arrive
    bool probes_answered = false;  // a machine has recently answered a direct probe
};

}  // namespace coralhitch::membership
