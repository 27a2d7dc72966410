#include "controller/heartbeat_intake.hpp"

#include <gtest/gtest.h>

#include "controller/parts_fixture.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::controller {
namespace {

class HeartbeatIntakeTest : public testing::Test, public PartsFixture {
  protected:
    void accept(const std::string& body) {
        intake.accept(body, [this](http::Response response) { responses.push_back(std::move(response)); });
    }
    [[nodiscard]] std::uint64_t rejected(relay::HeartbeatRejection reason) {
        return intake.rejections().count(reason);
    }
    HeartbeatIntake intake{
        {timers, network, settings, election, leader, peers, tracker, protocol::Incarnation{1}}};
    std::vector<http::Response> responses;
};

TEST_F(HeartbeatIntakeTest, RejectsWithoutALeader) {
    accept(heartbeat_of("vm-0"));
    EXPECT_TRUE(responses.empty()) << "a heartbeat must be queued, not handled while it is read";
    timers.run_until(0);
    ASSERT_EQ(responses.size(), 1u);
    EXPECT_EQ(responses[0].status, 421);
    EXPECT_EQ(rejected(relay::HeartbeatRejection::no_leader), 1u);
    EXPECT_EQ(tracker.recent_count(0), 1u);
}

TEST_F(HeartbeatIntakeTest, RedirectsToALeaderThatAcceptsNoRelayedHeartbeats) {
    auto ping = ping_of_peer();
    ping.leader = ping.label;
    ping.leader_version = protocol::LeaderVersion{5};
    ping.features = protocol::peer_features::relay - 1;
    receive_ping(ping);
    accept(heartbeat_of("vm-0"));
    timers.run_until(0);
    ASSERT_EQ(responses.size(), 1u);
    EXPECT_EQ(responses[0].status, 421);
    EXPECT_NE(responses[0].body.find("berth-1"), std::string::npos);
    EXPECT_EQ(rejected(relay::HeartbeatRejection::redirected), 1u);
}

TEST_F(HeartbeatIntakeTest, RefusesMalformedHeartbeats) {
    accept("[]");
    timers.run_until(0);
    ASSERT_EQ(responses.size(), 1u);
    EXPECT_EQ(responses[0].status, 400);
    EXPECT_EQ(tracker.recent_count(0), 0u);
}

// Guards against other events waiting behind a burst of heartbeats: they get their turn after each batch
// of 16.
TEST_F(HeartbeatIntakeTest, HandlesHeartbeatsInBatches) {
    for (int index = 0; index < 40; ++index) accept(heartbeat_of("vm-" + std::to_string(index)));
    std::vector<std::size_t> handled_before_other_events;
    std::function<void()> other_event = [&] {
        handled_before_other_events.push_back(responses.size());
        if (responses.size() < 40) timers.after(0, other_event);
    };
    timers.after(0, other_event);
    timers.run_until(0);
    EXPECT_EQ(handled_before_other_events, (std::vector<std::size_t>{16, 32, 40}));
}

TEST_F(HeartbeatIntakeTest, CountsHeartbeatsWhoseWorkersNoLongerWait) {
    accept(heartbeat_of("vm-0"));
    timers.run_late(relay::HeartbeatQueue::max_wait_s + 0.1);
    ASSERT_EQ(responses.size(), 1u);
    EXPECT_EQ(responses[0].status, 503);
    EXPECT_EQ(intake.expired(), 1u);
}

}  // namespace
}  // namespace coralhitch::controller
