// Tests the order, the bound and the completeness of the recorded leaderships.
#include "election/leadership_history.hpp"

#include <gtest/gtest.h>

namespace coralhitch::election {
namespace {
using protocol::LeaderVersion;

TEST(LeadershipHistory, KeepsTheLatestLeadershipsInOrder) {
    LeadershipHistory history;
    for (std::uint64_t version = 1; version <= 20; ++version) history.append({LeaderVersion{version}, true});
    history.append({LeaderVersion{20}, true});  // no effect: it is the latest already
    ASSERT_EQ(history.leaderships.size(), 16u);
    EXPECT_EQ(history.leaderships.front().version, LeaderVersion{5});
    EXPECT_TRUE(history.ends_with(LeaderVersion{20}));
    EXPECT_EQ(history.known_until_revision, 20u);
}
TEST(LeadershipHistory, StartsAnewAfterAGap) {
    LeadershipHistory history;
    history.append({LeaderVersion{3}, true});
    history.extend_to(9);
    history.append_after_gap({LeaderVersion{3}, true});  // still the same leadership
    EXPECT_EQ(history.known_until_revision, 9u);
    EXPECT_EQ(history.leaderships.size(), 1u);
    history.append_after_gap({LeaderVersion{12}, false});
    ASSERT_EQ(history.leaderships.size(), 1u);
    EXPECT_EQ(history.leaderships.front().version, LeaderVersion{12});
    EXPECT_EQ(history.known_until_revision, 12u);
}
TEST(LeadershipHistory, NeverShrinksWhatIsKnown) {
    LeadershipHistory history;
    history.append({LeaderVersion{7}, true});
    history.extend_to(5);
    EXPECT_EQ(history.known_until_revision, 7u);
}

}  // namespace
}  // namespace coralhitch::election
