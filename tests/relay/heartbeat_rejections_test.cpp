// Tests the counting and logging of rejected heartbeats.
#include "relay/heartbeat_rejections.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "support/fake_timers.hpp"

namespace coralhitch::relay {
namespace {

// Every rejection is counted by its reason. Log lines are written at a limited rate.
TEST(HeartbeatRejections, AreCountedAndLoggedAtALimitedRate) {
    spdlog::set_level(spdlog::level::off);
    FakeTimers timers;
    HeartbeatRejections rejections(timers, 10);
    rejections.record(HeartbeatRejection::queue_timeout);
    EXPECT_EQ(rejections.log_lines(), 1u);
    for (int k = 0; k < 3; ++k) rejections.record(HeartbeatRejection::queue_timeout);
    rejections.record(HeartbeatRejection::socket_limit);
    EXPECT_EQ(rejections.log_lines(), 1u);
    EXPECT_EQ(rejections.summary(), "3 late, 1 sockets");
    timers.run_until(10);
    rejections.record(HeartbeatRejection::outdated);
    EXPECT_EQ(rejections.log_lines(), 2u);
    EXPECT_EQ(rejections.summary(), "");
    EXPECT_EQ(rejections.count(HeartbeatRejection::queue_timeout), 4u);
    EXPECT_EQ(rejections.count(HeartbeatRejection::outdated), 1u);
    EXPECT_EQ(rejections.count(HeartbeatRejection::lease_lost), 0u);
}

}  // namespace
}  // namespace coralhitch::relay
