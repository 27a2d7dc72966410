// ThreadPlanner: work runs on the planner's thread, and the task that it returns runs on the event loop's
// thread. Applying a result on the planner's thread would change the leader's state from two threads.
#include "leader/planner.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace coralhitch::leader {
namespace {

TEST(ThreadPlanner, RunsWorkOnItsOwnThreadAndAppliesTheResultOnTheLoop) {
    event_loop::EventLoop loop;
    ThreadPlanner planner(loop);
    std::thread::id worked_on, applied_on;
    loop.after(10, [&] { loop.stop(); });  // limits the test to 10 s if no result arrives
    planner.submit([&] {
        worked_on = std::this_thread::get_id();
        return [&] {
            applied_on = std::this_thread::get_id();
            loop.stop();
        };
    });
    loop.run();
    EXPECT_EQ(applied_on, std::this_thread::get_id());
    EXPECT_NE(worked_on, std::thread::id());
    EXPECT_NE(worked_on, applied_on);
}

}  // namespace
}  // namespace coralhitch::leader
