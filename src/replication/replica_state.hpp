// The replica of the leader's machines that a controller keeps while it follows.
//
// A new leader must not rely on it before `replication::evaluate_eligibility` has accepted it, because it may
// be old or incomplete, or come from a leadership that was followed by others.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::replication {

// The machines as the leader last replicated them, and the origin of that data.
struct ReplicaState {
    protocol::LeaderVersion leader_version;  // leadership that sent the last batch; none: no batch received
    std::uint64_t last_batch_number = 0;     // number of the last batch applied
    protocol::LeaderVersion base_version;    // leadership whose snapshot the replica began from
    bool complete = false;                   // the leadership of `leader_version` has sent all its machines
    std::unordered_map<std::string, protocol::ReplicatedMachine> machines;  // by id
};

}  // namespace coralhitch::replication
