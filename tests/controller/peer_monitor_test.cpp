#include "controller/peer_monitor.hpp"

#include <gtest/gtest.h>

#include "controller/parts_fixture.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::controller {
namespace {

class PeerMonitorTest : public testing::Test, public PartsFixture {
  protected:
    // Starts the monitor and runs the clock until `until_s`, in seconds. Pings are not answered until then.
    void start_and_wait(double until_s) {
        peers.start();
        timers.run_until(until_s);
    }
};

TEST_F(PeerMonitorTest, PingsEveryHalfHeartbeatPeriod) {
    start_and_wait(3.1);
    EXPECT_EQ(network.sent_to(protocol::peer_ping_path), 3u);
    EXPECT_EQ(network.sent_to(protocol::peer_images_path), 0u) << "only a leader sends image caches";
}

TEST_F(PeerMonitorTest, StoresTheAnswerToItsPing) {
    network.peer = [](const http::Request&) {
        return http::Response{200, protocol::pack_peer(ping_of_peer()), "application/msgpack"};
    };
    peers.start();
    ASSERT_TRUE(peers.recent_ping("berth-1"));
    EXPECT_EQ(peers.recent_ping("berth-1")->incarnation, protocol::Incarnation{77});
}

TEST_F(PeerMonitorTest, ForgetsAPingAfterOneAndAHalfHeartbeatPeriods) {
    receive_ping(ping_of_peer());
    timers.run_until(4.4);
    EXPECT_TRUE(peers.recent_ping("berth-1"));
    EXPECT_TRUE(peers.any_reachable());
    timers.run_until(4.6);
    EXPECT_FALSE(peers.recent_ping("berth-1"));
    EXPECT_FALSE(peers.any_reachable());
}

TEST_F(PeerMonitorTest, IgnoresControllersThatAreNotInTheSettings) {
    auto ping = ping_of_peer();
    ping.label = "berth-9";
    receive_ping(ping);
    EXPECT_FALSE(peers.recent_ping("berth-9"));
    EXPECT_FALSE(peers.any_reachable());
}

TEST_F(PeerMonitorTest, LearnsTheLeaderFromPings) {
    EXPECT_FALSE(peers.leading_peer());
    auto ping = ping_of_peer();
    ping.leader = ping.label;
    ping.leader_version = protocol::LeaderVersion{5};
    receive_ping(ping);
    ASSERT_TRUE(peers.leading_peer());
    EXPECT_EQ(peers.leading_peer()->config.label, "berth-1");
}

TEST_F(PeerMonitorTest, FindsAPeerThatReachesTheKeyValueStoreByItsFeatures) {
    auto ping = ping_of_peer();
    ping.features = 0;
    receive_ping(ping);
    EXPECT_TRUE(peers.peer_that_reaches_kv(0));
    EXPECT_FALSE(peers.peer_that_reaches_kv(protocol::peer_features::dependencies));
    ping.kv_reachable = false;
    receive_ping(ping);
    EXPECT_FALSE(peers.peer_that_reaches_kv(0));
}

TEST_F(PeerMonitorTest, DefersJustAfterItsStartUntilPeersHaveResponded) {
    network.peer = [](const http::Request&) { return std::nullopt; };
    EXPECT_TRUE(peers.should_defer());
    peers.start();
    EXPECT_FALSE(peers.should_defer()) << "a connection that failed is a response";
}

TEST_F(PeerMonitorTest, DefersToALaterReplica) {
    start_and_wait(1);
    auto ping = ping_of_peer();
    ping.replicated_leadership = protocol::LeaderVersion{5};
    receive_ping(ping);
    EXPECT_TRUE(peers.should_defer());
    ping.kv_reachable = false;
    receive_ping(ping);
    EXPECT_FALSE(peers.should_defer()) << "a peer that does not reach the key-value store can't be elected";
    ping.kv_reachable = true;
    ping.features = protocol::peer_features::latest - 1;
    receive_ping(ping);
    EXPECT_FALSE(peers.should_defer()) << "a peer of an older version is about to be replaced";
}

TEST_F(PeerMonitorTest, DoesNotDeferToALaterReplicaOfAPeerThatReceivesFewHeartbeats) {
    start_and_wait(1);
    for (int index = 0; index < 10; ++index)
        tracker.record("vm-" + std::to_string(index), protocol::AgentEpoch{1}, protocol::SequenceNumber{1},
                       timers.now());
    auto ping = ping_of_peer();
    ping.replicated_leadership = protocol::LeaderVersion{5};
    ping.reporting_machines = {"vm-0", "vm-1", "vm-2", "vm-3"};
    receive_ping(ping);
    EXPECT_FALSE(peers.should_defer());
    ping.reporting_machines.push_back("vm-4");
    receive_ping(ping);
    EXPECT_TRUE(peers.should_defer());
}

TEST_F(PeerMonitorTest, DefersToAnEqualReplicaWithMoreThanTwiceTheMachines) {
    start_and_wait(1);
    tracker.record("vm-0", protocol::AgentEpoch{1}, protocol::SequenceNumber{1}, timers.now());
    auto ping = ping_of_peer();
    ping.reporting_machines = {"vm-1", "vm-2"};
    receive_ping(ping);
    EXPECT_FALSE(peers.should_defer());
    ping.reporting_machines.push_back("vm-3");
    receive_ping(ping);
    EXPECT_TRUE(peers.should_defer());
}

TEST_F(PeerMonitorTest, CountsOnlyHeartbeatsThatPeersReceivedSinceTheMachineFellSilent) {
    timers.run_until(20);
    EXPECT_FALSE(peers.heartbeats_seen_by_peers({{"vm-0", 10}})) << "no peer has pinged";
    auto ping = ping_of_peer();
    ping.reporting_machines = {"vm-0", "vm-1", "vm-2"};
    ping.heartbeat_ages_ms = {1000, 12000, 1000};
    receive_ping(ping);
    // The peer received vm-1's heartbeat before vm-1 fell silent here, and vm-2 is not part of the question.
    EXPECT_EQ(peers.heartbeats_seen_by_peers({{"vm-0", 10}, {"vm-1", 10}}), 1u);
    // Relayed heartbeats may be delayed by 0.3 s, so the peer's must be newer by more than that.
    EXPECT_EQ(peers.heartbeats_seen_by_peers({{"vm-0", 1.2}}), 0u);
    EXPECT_EQ(peers.heartbeats_seen_by_peers({{"vm-0", 1.4}}), 1u);
}

TEST_F(PeerMonitorTest, KeepsTheListsOfThePingBeforeABriefOne) {
    auto ping = ping_of_peer();
    ping.reporting_machines = {"vm-0"};
    ping.heartbeat_ages_ms = {0};
    receive_ping(ping);
    timers.run_until(2);
    auto brief = ping_of_peer();
    brief.lists_omitted = true;
    receive_ping(brief);
    // The age of vm-0's heartbeat increases from the time of the full ping.
    EXPECT_EQ(peers.heartbeats_seen_by_peers({{"vm-0", 2.2}}), 0u);
    EXPECT_EQ(peers.heartbeats_seen_by_peers({{"vm-0", 2.4}}), 1u);
    brief.incarnation = protocol::Incarnation{78};
    receive_ping(brief);
    EXPECT_EQ(peers.heartbeats_seen_by_peers({{"vm-0", 2.4}}), 0u) << "a restarted peer has no lists yet";
}

TEST_F(PeerMonitorTest, AnswersALeaderInFullAndOthersBriefly) {
    tracker.record("vm-0", protocol::AgentEpoch{1}, protocol::SequenceNumber{1}, timers.now());
    auto ping = ping_of_peer();
    EXPECT_TRUE(peers.answer_ping(ping).lists_omitted);
    EXPECT_TRUE(peers.answer_ping(ping).reporting_machines.empty());
    ping.leader = ping.label;
    ping.leader_version = protocol::LeaderVersion{5};
    auto answer = peers.answer_ping(ping);
    EXPECT_FALSE(answer.lists_omitted);
    EXPECT_EQ(answer.reporting_machines, std::vector<std::string>{"vm-0"});
    ping.leader.clear();
    ping.features = protocol::peer_features::brief_pings - 1;
    EXPECT_FALSE(peers.answer_ping(ping).lists_omitted) << "an older version can't read a brief one";
}

TEST_F(PeerMonitorTest, InheritsTheLeadersSuspicionsExceptOfMachinesSeenSince) {
    timers.run_until(100);
    auto ping = ping_of_peer();
    ping.leader = ping.label;
    ping.leader_version = protocol::LeaderVersion{5};
    ping.suspected = {"vm-0", "vm-1"};
    ping.suspected_silence_ms = {8000, 9000};
    receive_ping(ping);
    timers.run_until(101);
    tracker.record("vm-1", protocol::AgentEpoch{1}, protocol::SequenceNumber{1}, timers.now());
    EXPECT_EQ(peers.inherited_suspicions(), (std::map<std::string, double>{{"vm-0", 9}}));
}

TEST_F(PeerMonitorTest, PassesOnTaskCountsOfTheLeaderOnly) {
    auto ping = ping_of_peer();
    ping.task_counts = {{"job-1", 2, 3}};
    receive_ping(ping);
    EXPECT_TRUE(received_counts.empty());
    ping.leader = ping.label;
    receive_ping(ping);
    ASSERT_EQ(received_counts.size(), 1u);
    EXPECT_EQ(received_counts[0].running, 3u);
}

}  // namespace
}  // namespace coralhitch::controller
