// Tests when a machine whose heartbeats arrive counts as one that replies and commands do not reach.
#include "membership/reachability.hpp"

#include <gtest/gtest.h>

namespace coralhitch::membership {
namespace {

TEST(Reachability, IsOutboundUnreachableWhenAgentChangesRoute) {
    Reachability reachability;
    reachability.record_reached(10);
    EXPECT_FALSE(reachability.outbound_unreachable());
    reachability.record_heartbeat(false, 15);  // the controller of the previous route may have ended
    EXPECT_FALSE(reachability.outbound_unreachable());
    reachability.record_unanswered_command(17);  // no answer to a command since the change of route
    EXPECT_TRUE(reachability.outbound_unreachable());
    reachability.record_heartbeat(true, 20);  // the agent stays with its controller
    EXPECT_FALSE(reachability.outbound_unreachable());
    reachability.record_unanswered_command(22);  // the leader cannot reach the machine, but replies reach it
    EXPECT_FALSE(reachability.outbound_unreachable());
    reachability.record_heartbeat(false, 25);  // the machine may have been paused when the command came
    EXPECT_FALSE(reachability.outbound_unreachable());
    reachability.record_heartbeat(false, 30);
    EXPECT_TRUE(reachability.outbound_unreachable());
    reachability.record_reached(31);
    EXPECT_FALSE(reachability.outbound_unreachable());
    EXPECT_EQ(reachability.last_reached_at(), 31);
}

}  // namespace
}  // namespace coralhitch::membership
