// Tests which heartbeats are answered when more arrive than can be processed.
#include "relay/heartbeat_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "protocol/agent_api.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::relay {
namespace {

// An overloaded controller must not spend its time on heartbeats whose agents have already timed out.
// Otherwise it would answer every heartbeat too late. Here it processes as many heartbeats as it can, and
// answers each of them in time.
TEST(HeartbeatQueue, AnswersInTimeWhenOverloaded) {
    struct Case {
        double arrivals_per_s, capacity_per_s;  // heartbeats that arrive, and that can be processed
        double round_trip_s;                    // from the agent to the queue and back
    };
    const Case cases[] = {{50, 100, 0.1}, {150, 100, 0.1}, {300, 100, 0.5}, {2000, 100, 1}, {300, 100, 1.2}};
    for (auto& c : cases) {
        FakeTimers timers;
        HeartbeatRejections rejections(timers, 60);
        HeartbeatQueue queue(rejections);
        std::size_t answered = 0, rejected = 0, in_time = 0;
        double arrived = 0, processable = 0;
        for (double t = 0; t < 60; t += 0.002) {
            for (arrived += c.arrivals_per_s * 0.002; arrived >= 1; --arrived)
                queue.push(
                    {"", [&, t](http::Response r) { (r.status == 200 ? answered : rejected) += t >= 0; }, t});
            for (processable += c.capacity_per_s * 0.002; processable >= 1; --processable)
                if (auto r = queue.pop(t)) {
                    r->reply({200, ""});
                    in_time += t + c.round_trip_s - r->received_at < protocol::heartbeat_timeout_s;
                }
            processable = std::min(processable, 1.0);
        }
        double max_answered = std::min(c.arrivals_per_s, c.capacity_per_s) * 60;
        EXPECT_EQ(answered, in_time) << c.arrivals_per_s;
        EXPECT_GT(static_cast<double>(in_time), max_answered * 0.9) << c.arrivals_per_s;
        EXPECT_EQ(rejected, queue.rejected());
        EXPECT_EQ(rejected, rejections.count(HeartbeatRejection::queue_timeout));
        EXPECT_EQ(rejected > 0, c.arrivals_per_s > c.capacity_per_s) << c.arrivals_per_s;
    }
}

// The reply callback of a rejected heartbeat may push another one. Heartbeats that are handed over keep the
// time at which they were received.
TEST(HeartbeatQueue, AcceptsAPushDuringARejection) {
    FakeTimers timers;
    HeartbeatRejections rejections(timers, 60);
    HeartbeatQueue queue(rejections);
    int statuses = 0;
    queue.push({"a",
                [&](http::Response r) {
                    statuses += r.status;
                    queue.push({"b", [](http::Response) {}, 100});
                },
                0});
    auto next = queue.pop(100);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->body, "b");
    EXPECT_EQ(statuses, 503);
    EXPECT_TRUE(queue.empty());
    queue.push({"c", [](http::Response) {}, 7});
    auto rest = queue.take_all();
    ASSERT_EQ(rest.size(), 1u);
    EXPECT_EQ(rest.front().received_at, 7);
    EXPECT_TRUE(queue.empty());
}

}  // namespace
}  // namespace coralhitch::relay
