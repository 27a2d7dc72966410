// ThreadPlanner: work runs beside the loop, its result on the loop.
#include "leader/planner.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace coralhitch::leader {
namespace {

TEST(ThreadPlanner, WorksOnItsOwnThreadAndHandsTheResultToTheLoop) {
    event_loop::EventLoop loop;
    ThreadPlanner planner(loop);
    std::thread::id worked_on, applied_on;
    loop.after(10, [&] { loop.stop(); });  // instead of waiting for ever
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
