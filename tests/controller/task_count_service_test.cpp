#include "controller/task_count_service.hpp"

#include <gtest/gtest.h>

#include "controller/parts_fixture.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::controller {
namespace {

class TaskCountServiceTest : public testing::Test, public PartsFixture {
  protected:
    [[nodiscard]] std::optional<api::TaskCounts> query(const std::string& job) const {
        std::optional<api::TaskCounts> answer;
        service.query(job, [&](std::optional<api::TaskCounts> counts) { answer = counts; });
        return answer;
    }
    void make_peer_leader() {
        auto ping = ping_of_peer();
        ping.leader = ping.label;
        ping.leader_version = protocol::LeaderVersion{5};
        receive_ping(ping);
    }
    TaskCountService service{timers, network, settings, leader, peers};
};

TEST_F(TaskCountServiceTest, ReturnsNoCountsWithoutALeader) {
    EXPECT_FALSE(query("job-1"));
    EXPECT_TRUE(network.sent.empty());
}

TEST_F(TaskCountServiceTest, AnswersFromTheLeadersLastPingWhileThatIsRecent) {
    make_peer_leader();
    service.set_all({{"job-1", 2, 3}});
    timers.run_until(2.2);
    ASSERT_TRUE(query("job-1"));
    EXPECT_EQ(query("job-1")->done, 2u);
    EXPECT_EQ(query("job-1")->running, 3u);
    ASSERT_TRUE(query("job-2")) << "a job that is not in the leader's ping has no tasks";
    EXPECT_EQ(query("job-2")->running, 0u);
    EXPECT_TRUE(network.sent.empty());
}

TEST_F(TaskCountServiceTest, AsksTheLeaderWithoutARecentPing) {
    make_peer_leader();
    service.set_all({{"job-1", 2, 3}});
    timers.run_until(2.3);
    network.peer = [](const http::Request&) {
        return http::Response{200, protocol::pack_peer(protocol::PeerJobCounts{true, 4, 5})};
    };
    ASSERT_TRUE(query("job-1"));
    EXPECT_EQ(query("job-1")->done, 4u);
    EXPECT_EQ(network.sent_to(protocol::peer_job_path), 2u);
    network.peer = nullptr;
    EXPECT_FALSE(query("job-1"));
}

TEST_F(TaskCountServiceTest, DoesNotAnswerPeersUnlessItLeads) {
    service.set_all({{"job-1", 2, 3}});
    EXPECT_FALSE(service.answer_peer({"job-1"}).known);
}

}  // namespace
}  // namespace coralhitch::controller
