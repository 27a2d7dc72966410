// Tests the summary of the teams' started, completed and stopped tasks, in the format that bench/teams.py
// parses.
#include "cluster/team_activity.hpp"

#include <gtest/gtest.h>

namespace coralhitch::cluster {
namespace {

TEST(TeamActivity, SummarizesSinceTheLastSummary) {
    TeamActivity activity;
    EXPECT_EQ(activity.take_summary(), "");
    activity.started("b");
    activity.started("a");
    activity.started("a");
    activity.completed("a", 3);
    activity.stopped("b");
    EXPECT_EQ(activity.take_summary(), "a 2 started 3 done 0 stopped, b 1 started 0 done 1 stopped");
    EXPECT_EQ(activity.take_summary(), "");
}

}  // namespace
}  // namespace coralhitch::cluster
