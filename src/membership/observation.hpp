// What the leader hands to the failure detector once a tick: one value for each machine that is up, one for
// itself.
#pragma once
#include <cstddef>
#include <string_view>

#include "membership/eviction_cost.hpp"

namespace coralhitch::membership {

// A machine that is up, at one moment. Times are seconds of the leader's clock; the views are valid for the
// calls they are passed to only.
struct Observation {
    std::string_view id;
    std::string_view route;  // the controller that its last heartbeat came through; empty: the leader itself
    std::size_t zone = 0;    // index of the zone
    double silence_s = 0;    // since its last heartbeat, as far as that is the machine's fault
    double last_heartbeat_at = 0;
    bool reconciled = false;  // it has reported under this leader's fencing token
    // The replica of the previous leader says what may be on it. A machine that is neither known from there
    // nor reconciled holds up all placing.
    bool known_from_replica = false;
    EvictionCost eviction_cost = EvictionCost::none;
    double unreached_s = 0;  // for how long nothing showed that messages reach it, though its heartbeats come
};

// What the leader knows of itself.
struct LeaderCondition {
    bool overloaded = false;       // it has not the processor time to read heartbeats as they come
    bool probes_answered = false;  // a machine answered a direct probe lately
};

}  // namespace coralhitch::membership
