// Decides whether a new leader may rely on its replica as a complete account of what the machines run. Pure
// functions.
//
// docs/replication.md justifies each check. `eligibility_checks()` lists them in the order in which they run.
#pragma once
#include <optional>
#include <span>
#include <vector>

#include "election/election.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "replication/replica_state.hpp"

namespace coralhitch::replication {

// The inputs of the checks. `replica` and `history_before_claim` date from before this controller claimed
// leadership. Everything else is read after the claim.
struct ReplicaEvidence {
    std::string label;                                 // of this controller
    protocol::Incarnation incarnation;                 // of this process
    protocol::LeaderVersion leader_version;            // of the leadership that was claimed
    std::optional<protocol::InSyncReplicas> record;    // the stored record of in-sync replicas
    election::LeadershipHistory history_before_claim;  // leaderships seen before the claim
    bool history_complete = false;                     // true if `later_leaders` has no gap
    // Leaderships after the end of `history_before_claim` and before this controller's claim.
    std::vector<election::ObservedLeadership> later_leaders;
    const ReplicaState* replica = nullptr;  // not owned
};

// One condition for relying on the replica.
struct EligibilityCheck {
    const char* failure;  // reason to log if the check fails
    bool (*passes)(const ReplicaEvidence&);
};
// Returns all checks in the order in which they run. A check may assume that the earlier ones passed.
std::span<const EligibilityCheck> eligibility_checks();

// Returns the first check that fails; null if the leader may rely on the replica.
[[nodiscard]] const EligibilityCheck* evaluate_eligibility(const ReplicaEvidence& evidence);

}  // namespace coralhitch::replication
