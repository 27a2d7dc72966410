// Tests the conditions under which a new leader may rely on its replica.
#include "replication/eligibility_checks.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "protocol/model.hpp"

namespace coralhitch::replication {
namespace {
using protocol::LeaderVersion;

// If any one of the checks were missing, a new leader could miss a start that was sent, and start the task a
// second time: the invariant at risk is `ran_twice`.
TEST(EligibilityChecks, AcceptAReplicaOnlyIfNothingCanBeMissing) {
    ReplicaState replica{LeaderVersion{20}, 7, LeaderVersion{20}, true, {}};
    ReplicaEvidence good{"me",
                         protocol::Incarnation{3},
                         LeaderVersion{40},
                         protocol::InSyncReplicas{LeaderVersion{20},
                                                  {{"me", protocol::Incarnation{3}, LeaderVersion{20}},
                                                   {"other", protocol::Incarnation{4}, LeaderVersion{20}}}},
                         {{{LeaderVersion{10}, false}, {LeaderVersion{20}, true}}, 25},
                         true,
                         {},
                         &replica};
    struct Case {
        const char* name;
        std::function<void(ReplicaEvidence&)> change;
        bool eligible;
    };
    ReplicaState older{LeaderVersion{10}, 7, LeaderVersion{10}, true, {}},
        continued{LeaderVersion{20}, 7, LeaderVersion{10}, true, {}},
        later{LeaderVersion{30}, 7, LeaderVersion{20}, true, {}};
    auto continues_from = [](ReplicaEvidence& e, std::uint64_t begun) {
        e.record->members[0].base_version = LeaderVersion{begun};
    };
    const Case cases[] = {
        {"all checks pass", [](ReplicaEvidence&) {}, true},
        {"no record: the leader may never have waited for any follower",
         [](ReplicaEvidence& e) { e.record.reset(); }, false},
        {"the record is of this leadership",
         [](ReplicaEvidence& e) { e.record->leader_version = LeaderVersion{40}; }, false},
        {"this follower was removed from the record, and starts were sent without its acknowledgement",
         [](ReplicaEvidence& e) {
             e.record->members = {{"other", protocol::Incarnation{4}, LeaderVersion{20}}};
         },
         false},
        {"the record names another process of this controller",
         [](ReplicaEvidence& e) {
             e.record->members = {{"me", protocol::Incarnation{2}, LeaderVersion{20}}};
         },
         false},
        {"the replica is of the previous leader", [&](ReplicaEvidence& e) { e.replica = &older; }, false},
        {"the replica continues that of an earlier leader, as the record says",
         [&](ReplicaEvidence& e) {
             e.replica = &continued;
             continues_from(e, 10);
         },
         true},
        {"the leader of the record sent no start, and has replicated nothing",
         [&](ReplicaEvidence& e) {
             e.replica = &older;
             continues_from(e, 10);
         },
         true},
        {"a leader that failed soon after has replaced the replica that the record means",
         [&](ReplicaEvidence& e) { continues_from(e, 10); }, false},
        {"the replica continues another one than the record says",
         [&](ReplicaEvidence& e) { e.replica = &continued; }, false},
        {"a later leader, which stored no record, has sent changes",
         [&](ReplicaEvidence& e) { e.replica = &later; }, false},
        {"no batch was received", [](ReplicaEvidence& e) { e.replica = nullptr; }, false},
        {"the leaderships after the last watch are not known",
         [](ReplicaEvidence& e) { e.history_complete = false; }, false},
        {"the history has a gap and contains only a later leader",
         [](ReplicaEvidence& e) {
             e.history_before_claim.leaderships = {{LeaderVersion{30}, true}};
         },
         false},
        {"a leader that stores records was elected in between, and ended before it started anything",
         [](ReplicaEvidence& e) {
             e.history_before_claim.leaderships.push_back({LeaderVersion{30}, true});
         },
         true},
        {"a leader of an old software version came in between",
         [](ReplicaEvidence& e) {
             e.history_before_claim.leaderships.push_back({LeaderVersion{30}, false});
         },
         false},
        {"a leader of an old software version came in between, found after the claim",
         [](ReplicaEvidence& e) {
             e.later_leaders = {{LeaderVersion{30}, false}};
         },
         false},
        {"two leaders that store records came in between, found after the claim",
         [](ReplicaEvidence& e) {
             e.later_leaders = {{LeaderVersion{30}, true}, {LeaderVersion{35}, true}};
         },
         true},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        auto e = good;
        c.change(e);
        auto* failed = evaluate_eligibility(e);
        EXPECT_EQ(!failed, c.eligible) << (failed ? failed->failure : "");
    }
    EXPECT_EQ(eligibility_checks().size(), 6u);
}

}  // namespace
}  // namespace coralhitch::replication
