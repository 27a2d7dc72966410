// Tests of TurnMonitor: which turns are reported, and which work they name.
#include "event_loop/turn_monitor.hpp"

#include <gtest/gtest.h>

namespace coralhitch::event_loop {
namespace {

constexpr double long_turn_s = 1;

TEST(TurnMonitor, ReportsATurnThatIsLongWhenItEndsWithTheWorkThatTookLongest) {
    TurnMonitor monitor(long_turn_s);
    monitor.begin_turn(10);
    monitor.begin_work({"short_work", 1}, 10);
    monitor.end_work(10.2);
    monitor.begin_work({"long_work", 500}, 10.2);
    monitor.end_work(12);
    auto turn = monitor.end_turn(12.5);
    ASSERT_TRUE(turn);
    EXPECT_EQ(turn->duration_s, 2.5);
    EXPECT_EQ(turn->work.name, "long_work");
    EXPECT_EQ(turn->work.items, 500u);
    EXPECT_DOUBLE_EQ(turn->work_s, 1.8);
    EXPECT_EQ(monitor.longest_turn_s(), 2.5);
    EXPECT_EQ(monitor.long_turns(), (std::map<std::string, std::uint64_t>{{"long_work", 1}}));
}

TEST(TurnMonitor, DoesNotReportAShortTurn) {
    TurnMonitor monitor(long_turn_s);
    monitor.begin_turn(10);
    EXPECT_FALSE(monitor.find_unfinished(10.5));
    EXPECT_FALSE(monitor.end_turn(10.9));
    EXPECT_FALSE(monitor.find_unfinished(30)) << "the loop waits for events, which is not a turn";
    EXPECT_TRUE(monitor.long_turns().empty());
}

TEST(TurnMonitor, NamesALongTurnWithoutNamedWork) {
    TurnMonitor monitor(long_turn_s);
    monitor.begin_turn(10);
    auto turn = monitor.end_turn(12);
    ASSERT_TRUE(turn);
    EXPECT_EQ(turn->work.name, "other");
}

// A controller that hangs can serve neither its metrics nor log the end of the turn.
TEST(TurnMonitor, FindsATurnThatDoesNotEndAndNamesTheInnermostWork) {
    TurnMonitor monitor(long_turn_s);
    monitor.begin_turn(10);
    monitor.begin_work({"outer_work", 7}, 10);
    monitor.begin_work({"inner_work", 60}, 10.5);
    EXPECT_FALSE(monitor.find_unfinished(11));
    auto turn = monitor.find_unfinished(11.5);
    ASSERT_TRUE(turn);
    EXPECT_EQ(turn->duration_s, 1.5);
    EXPECT_EQ(turn->work.name, "inner_work");
    EXPECT_EQ(turn->work.items, 60u);
    EXPECT_EQ(turn->work_s, 1);
    EXPECT_FALSE(monitor.find_unfinished(12.5)) << "reported already, and not yet twice as long";
    EXPECT_TRUE(monitor.find_unfinished(13.5));
}

}  // namespace
}  // namespace coralhitch::event_loop
