#include "replication/eligibility_checks.hpp"

#include <algorithm>
#include <array>

namespace coralhitch::replication {
namespace {

bool record_stored(const ReplicaEvidence& evidence) {
    return evidence.record && evidence.record->leader_version < evidence.leader_version;
}

// Returns this process's entry in the record; null if the record does not name it. If it does, the previous
// leader sent no start that this process had not acknowledged first. An entry of another process of this
// controller does not count, because that process's replica was lost when it ended.
const protocol::InSyncReplicas::Member* own_member(const ReplicaEvidence& evidence) {
    for (auto& member : evidence.record->members)
        if (member.label == evidence.label && member.incarnation == evidence.incarnation) return &member;
    return nullptr;
}
bool named_in_record(const ReplicaEvidence& evidence) {
    return own_member(evidence) != nullptr;
}

// A leader whose own replica passed all checks lets its followers keep replicas that began under the same or
// an earlier leadership, so the record names the leadership under which each replica began. If a later leader
// that failed soon afterwards made this follower start over with an empty replica, the base versions differ.
bool same_replica_as_record(const ReplicaEvidence& evidence) {
    return evidence.replica && evidence.replica->base_version.is_set() &&
           evidence.replica->base_version == own_member(evidence)->base_version;
}

// A leader replicates nothing before its record is stored, so a replica newer than the record can only come
// from a leader of an earlier software version, which stored no record.
bool replica_not_newer_than_record(const ReplicaEvidence& evidence) {
    return evidence.replica->leader_version <= evidence.record->leader_version;
}

bool leaders_since_record_known(const ReplicaEvidence& evidence) {
    auto& leaderships = evidence.history_before_claim.leaderships;
    return evidence.history_complete &&
           std::any_of(leaderships.begin(), leaderships.end(), [&](auto& leadership) {
               return leadership.version == evidence.record->leader_version;
           });
}

// A leader between the recorded one and this one is harmless if it stores records: it would have replaced the
// record before its first start, so it has started nothing. A leader that stores no records may have started
// tasks that this replica lacks.
bool leaders_since_record_keep_records(const ReplicaEvidence& evidence) {
    auto harmless = [&](auto& leadership) {
        return leadership.version <= evidence.record->leader_version || leadership.stores_in_sync_replicas;
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
