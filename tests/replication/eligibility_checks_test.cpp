// When a new leader may rely on its replica.
#include "replication/eligibility_checks.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace coralhitch::replication {
namespace {

// Each check, left out, would let a start that was sent go unnoticed: the rule in doubt is `ran_twice`.
TEST(EligibilityChecks, AcceptAReplicaOnlyIfNothingCanBeMissing) {
    ReplicaState replica{20, 7, 20, true, {}};
    ReplicaEvidence good{"me",
                         3,
                         40,
                         protocol::StandbyRecord{20, {{"me", 3, 20}, {"other", 4, 20}}},
                         {{{10, false}, {20, true}}, 25},
                         true,
                         {},
                         &replica};
    struct Case {
        const char* name;
        std::function<void(ReplicaEvidence&)> change;
        bool proof;
    };
    ReplicaState older{10, 7, 10, true, {}}, carried{20, 7, 10, true, {}}, later{30, 7, 20, true, {}};
    auto goes_on_from = [](ReplicaEvidence& e, std::uint64_t begun) { e.record->members[0].begun = begun; };
    const Case cases[] = {
        {"all is well", [](ReplicaEvidence&) {}, true},
        {"no record: the leader may never have waited for anybody",
         [](ReplicaEvidence& e) { e.record.reset(); }, false},
        {"the record is of this leadership", [](ReplicaEvidence& e) { e.record->version = 40; }, false},
        {"it was taken out, and starts have gone without it since",
         [](ReplicaEvidence& e) {
             e.record->members = {{"other", 4, 20}};
         },
         false},
        {"another process of this controller was named",
         [](ReplicaEvidence& e) {
             e.record->members = {{"me", 2, 20}};
         },
         false},
        {"the copy is of the leader before", [&](ReplicaEvidence& e) { e.replica = &older; }, false},
        {"it goes on from the copy of a leader before, as the record says",
         [&](ReplicaEvidence& e) {
             e.replica = &carried;
             goes_on_from(e, 10);
         },
         true},
        {"the leader of the record sent no start, and has told nothing",
         [&](ReplicaEvidence& e) {
             e.replica = &older;
             goes_on_from(e, 10);
         },
         true},
        {"a leader that came to nothing has wiped the copy that is meant",
         [&](ReplicaEvidence& e) { goes_on_from(e, 10); }, false},
        {"it goes on from another copy than the record says",
         [&](ReplicaEvidence& e) { e.replica = &carried; }, false},
        {"a leader without a record of its own has told more",
         [&](ReplicaEvidence& e) { e.replica = &later; }, false},
        {"nothing was taken in", [](ReplicaEvidence& e) { e.replica = nullptr; }, false},
        {"what came after the last watch is not known",
         [](ReplicaEvidence& e) { e.history_complete = false; }, false},
        {"it was away, and saw only a later leader",
         [](ReplicaEvidence& e) {
             e.chain.links = {{30, true}};
         },
         false},
        {"a leader that keeps a record won and ended before it started anything",
         [](ReplicaEvidence& e) {
             e.chain.links.push_back({30, true});
         },
         true},
        {"an old version led in between",
         [](ReplicaEvidence& e) {
             e.chain.links.push_back({30, false});
         },
         false},
        {"an old version led in between, found after the claim",
         [](ReplicaEvidence& e) {
             e.later_leaders = {{30, false}};
         },
         false},
        {"two that keep records led in between, found after the claim",
         [](ReplicaEvidence& e) {
             e.later_leaders = {{30, true}, {35, true}};
         },
         true},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        auto e = good;
        c.change(e);
        auto* failed = evaluate_eligibility(e);
        EXPECT_EQ(!failed, c.proof) << (failed ? failed->failure : "");
    }
    EXPECT_EQ(eligibility_checks().size(), 6u);
}

}  // namespace
}  // namespace coralhitch::replication
