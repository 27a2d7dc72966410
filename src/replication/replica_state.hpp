// The replica of the leader's machines that a controller keeps while it follows.
//
// It is a hint until `replication::evaluate_eligibility` accepts it: a replica may be old, incomplete, or of
// a leadership that others followed.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::replication {

struct ReplicaState {
    protocol::LeaderVersion leader_version;  // of the leadership that sent it; none: nothing has come
    std::uint64_t last_batch_number = 0;     // number of the last batch applied
    protocol::LeaderVersion base_version;    // the leadership whose snapshot it began from
    bool complete = false;                   // the leadership of `leader_version` has sent all its machines
    std::unordered_map<std::string, protocol::ReplicatedMachine> machines;  // by id
};

}  // namespace coralhitch::replication
