// Tests which machines count as recently seen.
#include "relay/heartbeat_tracker.hpp"

#include <gtest/gtest.h>

namespace coralhitch::relay {
namespace {

// Only a heartbeat that is newer than all earlier ones of its machine counts as a sign of life. A delayed
// copy does not.
TEST(HeartbeatTracker, IgnoresLateCopies) {
    HeartbeatTracker tracker(5, 100);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{10}, 0);
    tracker.record("vm-2", protocol::AgentEpoch{3}, protocol::SequenceNumber{10}, 0);
    EXPECT_EQ(tracker.recent_count(4), 2u);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{10}, 10);  // a copy
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{9}, 10);   // an older heartbeat
    tracker.record("vm-2", protocol::AgentEpoch{2}, protocol::SequenceNumber{99},
                   10);  // of an earlier agent epoch
    EXPECT_EQ(tracker.recent_count(10), 0u);
    EXPECT_FALSE(tracker.seen_since("vm-1", 5));
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{11}, 11);
    tracker.reset_recent();
    EXPECT_EQ(tracker.recent_count(11), 0u);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{11},
                   12);  // a copy: the latest heartbeat is still remembered
    EXPECT_EQ(tracker.recent_count(12), 0u);
    tracker.expire(112);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{11},
                   112);  // no longer remembered
    EXPECT_EQ(tracker.recent_count(112), 1u);
}

}  // namespace
}  // namespace coralhitch::relay
