// Which machines count as recently seen.
#include "relay/heartbeat_tracker.hpp"

#include <gtest/gtest.h>

namespace coralhitch::relay {
namespace {

// Only heartbeats that are newer than all before count as a sign of life.
TEST(HeartbeatTracker, IgnoresLateCopies) {
    HeartbeatTracker tracker(5, 100);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{10}, 0);
    tracker.record("vm-2", protocol::AgentEpoch{3}, protocol::SequenceNumber{10}, 0);
    EXPECT_EQ(tracker.recent_count(4), 2u);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{10}, 10);  // the same again
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{9}, 10);   // and an older one
    tracker.record("vm-2", protocol::AgentEpoch{2}, protocol::SequenceNumber{99},
                   10);  // of an earlier agent epoch
    EXPECT_EQ(tracker.recent_count(10), 0u);
    EXPECT_FALSE(tracker.seen_since("vm-1", 5));
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{11}, 11);
    tracker.reset_recent();
    EXPECT_EQ(tracker.recent_count(11), 0u);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{11},
                   12);  // its newest heartbeat is still known
    EXPECT_EQ(tracker.recent_count(12), 0u);
    tracker.expire(112);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{11}, 112);  // forgotten by now
    EXPECT_EQ(tracker.recent_count(112), 1u);
}

}  // namespace
}  // namespace coralhitch::relay
