// When a machine whose heartbeats come counts as one that replies and commands don't reach.
#include "membership/reachability.hpp"

#include <gtest/gtest.h>

namespace coralhitch::membership {
namespace {

TEST(Reachability, IsOutboundUnreachableWhenAgentChangesRoute) {
    Reachability r;
    r.record_reached(10);
    EXPECT_FALSE(r.outbound_unreachable());
    r.record_heartbeat(false, 15);  // its controller may have ended
    EXPECT_FALSE(r.outbound_unreachable());
    r.record_unanswered_command(17);  // and a command went unanswered since
    EXPECT_TRUE(r.outbound_unreachable());
    r.record_heartbeat(true, 20);  // it stays
    EXPECT_FALSE(r.outbound_unreachable());
    r.record_unanswered_command(22);  // not reached from here, but answers reach it
    EXPECT_FALSE(r.outbound_unreachable());
    r.record_heartbeat(false, 25);  // it hung, and left the command unanswered then
    EXPECT_FALSE(r.outbound_unreachable());
    r.record_heartbeat(false, 30);
    EXPECT_TRUE(r.outbound_unreachable());
    r.record_reached(31);
    EXPECT_FALSE(r.outbound_unreachable());
    EXPECT_EQ(r.last_reached_at(), 31);
}

}  // namespace
}  // namespace coralhitch::membership
