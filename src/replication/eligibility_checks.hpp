// Decides whether a new leader may take its replica for proof of what machines run. Pure functions.
//
// docs/replication.md argues each check; `eligibility_checks()` lists them in the order in which they are
// made.
#pragma once
#include <optional>
#include <span>
#include <vector>

#include "election/election.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "replication/replica_state.hpp"

namespace coralhitch::replication {

// What the checks go by. All of it is read after the claim, except `replica` and `history_before_claim`.
struct ReplicaEvidence {
    std::string label;                                 // of this controller
    protocol::Incarnation incarnation;                 // of this process
    protocol::LeaderVersion leader_version;            // of the leadership that was claimed
    std::optional<protocol::InSyncReplicas> record;    // the stored record of in-sync replicas
    election::LeadershipHistory history_before_claim;  // leaderships seen before the claim
    bool history_complete = false;                     // whether `later_leaders` leaves none out
    std::vector<election::ObservedLeadership>
        later_leaders;  // after `history_before_claim` and up to the claim, own one left out
    const ReplicaState* replica = nullptr;  // not owned
};

struct EligibilityCheck {
    const char* failure;  // what is wrong if it fails, for the log
    bool (*passes)(const ReplicaEvidence&);
};
// A check may rely on those before it.
std::span<const EligibilityCheck> eligibility_checks();

// The first check that fails; null if the replica is proof.
[[nodiscard]] const EligibilityCheck* evaluate_eligibility(const ReplicaEvidence& evidence);

}  // namespace coralhitch::replication
