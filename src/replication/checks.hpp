// What a new leader must know before it takes its copy for proof of what machines hold. Pure.
//
// docs/standby.md argues each check; `checks()` is the list, in the order in which they are made.
#pragma once
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "election/election.hpp"
#include "protocol/model.hpp"
#include "replication/replica_state.hpp"

namespace coralhitch::replication {

// All of it read after the claim, but for `copy` and `chain`.
struct ReplicaEvidence {
    std::string label;  // of this controller
    std::uint64_t incarnation = 0, version = 0;
    std::optional<protocol::StandbyRecord> record;  // as stored
    election::LeadershipHistory chain;              // leaderships seen before the claim
    bool history = false;                           // whether what came after the chain is known, and it is:
    std::vector<election::ObservedLeadership> since;  // leaderships up to the claim, own one left out
    const ReplicaState* copy = nullptr;
};

struct Check {
    const char* name;  // what is wrong if it does not hold
    bool (*holds)(const ReplicaEvidence&);
};
std::span<const Check> checks();

// Nothing if the copy is proof; otherwise the first check that does not hold.
std::optional<std::string> judge(const ReplicaEvidence& e);

}  // namespace coralhitch::replication
