// Which heartbeats are answered when more arrive than can be processed.
#include "relay/heartbeat_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "protocol/agent_api.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::relay {
namespace {

// A controller that gets more reports than it can read answers as many workers as it can read reports: what
// it answers must still find its worker waiting.
TEST(HeartbeatQueue, AnswersInTimeWhenOverloaded) {
    struct Case {
        double per_s, read_per_s;  // reports that come, and that can be read
        double way_s;              // from a worker to the queue and back
    };
    const Case cases[] = {{50, 100, 0.1}, {150, 100, 0.1}, {300, 100, 0.5}, {2000, 100, 1}, {300, 100, 1.2}};
    for (auto& c : cases) {
        FakeTimers timers;
        HeartbeatRejections rejections(timers, 60);
        HeartbeatQueue queue(rejections);
        std::size_t answered = 0, refused = 0, in_time = 0;
        double come = 0, read = 0;
        for (double t = 0; t < 60; t += 0.002) {
            for (come += c.per_s * 0.002; come >= 1; --come)
                queue.push(
                    {"", [&, t](http::Response r) { (r.status == 200 ? answered : refused) += t >= 0; }, t});
            for (read += c.read_per_s * 0.002; read >= 1; --read)
                if (auto r = queue.pop(t)) {
                    r->reply({200, ""});
                    in_time += t + c.way_s - r->received_at < protocol::heartbeat_timeout_s;
                }
            read = std::min(read, 1.0);
        }
        double most = std::min(c.per_s, c.read_per_s) * 60;
        EXPECT_EQ(answered, in_time) << c.per_s;
        EXPECT_GT(static_cast<double>(in_time), most * 0.9) << c.per_s;
        EXPECT_EQ(refused, queue.rejected());
        EXPECT_EQ(refused, rejections.count(HeartbeatRejection::queue_timeout));
        EXPECT_EQ(refused > 0, c.per_s > c.read_per_s) << c.per_s;
    }
}

// Heartbeats that are handed over keep the time at which they were received.
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
