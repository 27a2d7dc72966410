#include "scale/load/checker_feed.hpp"

#include <gtest/gtest.h>

#include <string>

namespace coralhitch::scale {
namespace {

// Records the names of the steps in the order in which they run.
struct Steps {
    CheckerFeed feed{{}, 2};
    std::string done;
    void add(double time, char name) {
        feed.add(time, [this, name](verification::Checker&, double) { done += name; });
    }
};

TEST(CheckerFeed, WaitsUntilEveryProcessHasReportedUpToTheStep) {
    Steps steps;
    steps.add(1, 'a');
    steps.feed.events_complete(0, 5);
    EXPECT_EQ(steps.done, "");
    steps.feed.events_complete(1, 0.5);
    EXPECT_EQ(steps.done, "");
    steps.feed.events_complete(1, 1);
    EXPECT_EQ(steps.done, "a");
    EXPECT_EQ(steps.feed.pending_steps(), 0u);
}
TEST(CheckerFeed, RunsStepsInTheOrderOfTheirTimesAndOfTheCalls) {
    Steps steps;
    steps.add(3, 'c');
    steps.add(1, 'a');
    steps.add(3, 'd');
    steps.add(2, 'b');
    steps.add(9, 'e');
    steps.feed.events_complete(0, 4);
    steps.feed.events_complete(1, 4);
    EXPECT_EQ(steps.done, "abcd");
    EXPECT_EQ(steps.feed.pending_steps(), 1u);
}
TEST(CheckerFeed, PassesTheTimeToTheStep) {
    Steps steps;
    double seen = 0;
    steps.feed.add(2.5, [&](verification::Checker&, double time) { seen = time; });
    steps.feed.events_complete(0, 3);
    steps.feed.events_complete(1, 3);
    EXPECT_EQ(seen, 2.5);
}

}  // namespace
}  // namespace coralhitch::scale
