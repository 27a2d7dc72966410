// Tests which machines are sent to a follower, and which changes its acknowledgements cover.
#include "replication/follower_session.hpp"

#include <gtest/gtest.h>

#include "protocol/peer_messages.hpp"

namespace coralhitch::replication {
namespace {

constexpr std::size_t no_limit = 100;

protocol::ReplicationResponse applied(std::uint64_t incarnation = 1) {
    return {true, protocol::Incarnation{incarnation}, protocol::LeaderVersion::none()};
}

TEST(FollowerSession, IsInSyncOnceTheSnapshotIsAcknowledged) {
    FollowerSession session({"x", "a", "x:1"});
    EXPECT_FALSE(session.ready_to_send()) << "inactive";
    session.enqueue("vm-1", 1);
    session.begin_snapshot({"vm-1", "vm-2"});
    ASSERT_TRUE(session.ready_to_send());
    auto batch = session.next_batch(1, 5, 10);
    EXPECT_EQ(batch.machines, std::vector<std::string>{"vm-1"});
    EXPECT_FALSE(session.ready_to_send()) << "one batch at a time";
    session.finish_batch();
    session.acknowledge(batch, applied(), protocol::LeaderVersion{7});
    EXPECT_FALSE(session.snapshot_acknowledged());
    EXPECT_EQ(session.acknowledged_index(), 0u) << "no change counts before all machines were sent";
    batch = session.next_batch(1, 5, 11);
    session.finish_batch();
    session.acknowledge(batch, applied(), protocol::LeaderVersion{7});
    ASSERT_TRUE(session.snapshot_acknowledged());
    session.set_in_sync(11);
    EXPECT_EQ(session.acknowledged_index(), 5u);
    EXPECT_EQ(session.member(),
              (FollowerSession::Member{"x", protocol::Incarnation{1}, protocol::LeaderVersion{7}}));
    EXPECT_TRUE(session.ready_to_send())
        << "the follower must still be informed that its replica is complete";
}

// A change made after a batch was sent must not count as acknowledged with that batch, and neither must a
// change whose batch failed. Otherwise a start could be sent that the follower does not know.
TEST(FollowerSession, AcknowledgesOnlyWhatWasSent) {
    FollowerSession session({"x", "a", "x:1"});
    session.resume({"x", protocol::Incarnation{1}, protocol::LeaderVersion{4}}, 0);
    session.enqueue("vm-1", 1);
    session.enqueue("vm-2", 2);
    auto batch = session.next_batch(no_limit, 2, 0);
    session.enqueue("vm-1", 3);
    session.finish_batch();
    session.requeue(batch);  // the batch failed: both machines are sent again, vm-1 only once
    EXPECT_EQ(session.queue_size(), 2u);
    batch = session.next_batch(1, 3, 1);
    EXPECT_EQ(batch.last_index, 0u) << "the other machine is still to be sent";
    session.finish_batch();
    session.acknowledge(batch, applied(), protocol::LeaderVersion{7});
    EXPECT_EQ(session.acknowledged_index(), 0u);
    batch = session.next_batch(no_limit, 3, 2);
    session.enqueue("vm-1", 4);
    session.finish_batch();
    session.acknowledge(batch, applied(), protocol::LeaderVersion{7});
    EXPECT_EQ(session.acknowledged_index(), 3u);
    EXPECT_EQ(session.queue_size(), 1u);
}

TEST(FollowerSession, IgnoresAnswersOfEarlierSessions) {
    FollowerSession session({"x", "a", "x:1"});
    session.begin_snapshot({"vm-1"});
    auto batch = session.next_batch(no_limit, 1, 0);
    EXPECT_TRUE(session.is_current(batch.session));
    session.end(3);
    EXPECT_FALSE(session.is_current(batch.session));
    EXPECT_FALSE(session.may_retry(2.9));
    EXPECT_TRUE(session.may_retry(3));
    session.begin_snapshot({"vm-1"});
    EXPECT_FALSE(session.is_current(batch.session));
    EXPECT_TRUE(session.ready_to_send());
}

TEST(FollowerSession, BacksOffWithinBounds) {
    FollowerSession session({"x", "a", "x:1"});
    EXPECT_EQ(session.increase_backoff(2, 7), 2);
    EXPECT_EQ(session.increase_backoff(2, 7), 4);
    EXPECT_EQ(session.increase_backoff(2, 7), 7);
    session.reset_backoff();
    EXPECT_EQ(session.increase_backoff(2, 7), 2);
}

}  // namespace
}  // namespace coralhitch::replication
