#include "replication/eligibility_checks.hpp"

#include <algorithm>
#include <array>

namespace coralhitch::replication {
namespace {

bool record_stored(const ReplicaEvidence& evidence) {
    return evidence.record && evidence.record->leader_version < evidence.leader_version;
}

// The previous leader sent no start that this process had not acknowledged before. Another process of this
// controller does not count: its replica was lost with it.
const protocol::InSyncReplicas::Member* own_member(const ReplicaEvidence& evidence) {
    for (auto& member : evidence.record->members)
        if (member.label == evidence.label && member.incarnation == evidence.incarnation) return &member;
    return nullptr;
}
bool named_in_record(const ReplicaEvidence& evidence) {
    return own_member(evidence) != nullptr;
}

// A leader whose own replica was proof lets its followers continue theirs, begun under the same or an earlier
// leadership. A replica that was wiped and begun anew since, by a leader that failed soon after, is not the
// one that the record means.
bool same_replica_as_record(const ReplicaEvidence& evidence) {
    return evidence.replica && evidence.replica->base_version.is_set() &&
           evidence.replica->base_version == own_member(evidence)->base_version;
}

// A leader replicates nothing before its record is stored, so a replica is never newer than the record,
// except for what a leader of an earlier software version sent.
bool replica_not_newer_than_record(const ReplicaEvidence& evidence) {
    return evidence.replica->leader_version <= evidence.record->leader_version;
}

bool leaders_since_record_known(const ReplicaEvidence& evidence) {
    auto& links = evidence.history_before_claim.leaderships;
    return evidence.history_complete && std::any_of(links.begin(), links.end(), [&](auto& link) {
               return link.version == evidence.record->leader_version;
           });
}

// Leaders in between that keep a record would have replaced this one before their first start. Any other
// leader may have started tasks that no record tells of.
bool leaders_since_record_keep_records(const ReplicaEvidence& evidence) {
    auto harmless = [&](auto& link) {
        return link.version <= evidence.record->leader_version || link.stores_in_sync_replicas;
    };
    return std::all_of(evidence.history_before_claim.leaderships.begin(),
                       evidence.history_before_claim.leaderships.end(), harmless) &&
           std::all_of(evidence.later_leaders.begin(), evidence.later_leaders.end(), harmless);
}

constexpr std::array<EligibilityCheck, 6> checks{{
    {"no_record_stored", record_stored},
    {"process_not_in_record", named_in_record},
    {"replica_not_the_recorded_one", same_replica_as_record},
    {"replica_newer_than_record", replica_not_newer_than_record},
    {"leader_history_incomplete", leaders_since_record_known},
    {"later_leader_without_record", leaders_since_record_keep_records},
}};

}  // namespace

std::span<const EligibilityCheck> eligibility_checks() {
    return checks;
}
const EligibilityCheck* evaluate_eligibility(const ReplicaEvidence& evidence) {
    for (auto& check : checks)
        if (!check.passes(evidence)) return &check;
    return nullptr;
}

}  // namespace coralhitch::replication
