#include "controller/user_router.hpp"

#include <gtest/gtest.h>

#include "controller/parts_fixture.hpp"
#include "controller/peer_http.hpp"
#include "controller/peer_message_handler.hpp"
#include "protocol/model.hpp"
#include "protocol/peer_cancellation_messages.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::controller {
namespace {

const std::string jobs_path(protocol::paths::jobs);

// A cluster without machine types and task counts.
class EmptyCluster : public api::ClusterQueries {
  public:
    const std::vector<protocol::MachineType>& machine_types() const override { return types_; }
    void task_counts(const std::string&, api::ClusterQueries::TaskCountsCallback done) override {
        done(std::nullopt);
    }
    void notify_cancelled(const std::string&, std::uint64_t) override {}

  private:
    std::vector<protocol::MachineType> types_;
};

class UserRouterTest : public testing::Test, public PartsFixture {
  protected:
    // Serves a request and returns the answer, which must be sent before serve() returns.
    [[nodiscard]] http::Response serve(const std::string& method, const std::string& target,
                                       const std::string& body = {}) {
        std::optional<http::Response> answer;
        router.serve({method, target, body}, [&](http::Response response) { answer = std::move(response); });
        EXPECT_TRUE(answer) << method << " " << target;
        return answer.value_or(http::Response{0, {}});
    }
    [[nodiscard]] http::Response serve_peer(const std::string& method, std::string_view path,
                                            const std::string& body = {}) {
        std::optional<http::Response> answer;
        peer_messages.serve({method, std::string(path), body},
                            [&](http::Response response) { answer = std::move(response); });
        EXPECT_TRUE(answer) << method << " " << path;
        return answer.value_or(http::Response{0, {}});
    }
    void peer_answers(const protocol::PeerUserResponse& answer) {
        network.peer = [answer](const http::Request&) {
            return msgpack_response(protocol::pack_peer(answer));
        };
    }
    EmptyCluster cluster;
    metrics::Metrics metrics;
    api::UserApi user_api{timers, kv, settings, cluster};
    UserRouter router{{timers, network, settings, user_api, metrics, kv_reachability, peers}};
    TaskCountService task_counts{timers, network, settings, leader, peers};
    PeerMessageHandler peer_messages{{settings, election, leader, peers, router, task_counts, replica}};
};

TEST_F(UserRouterTest, RefusesUnknownPathsAndMethods) {
    key_value_store_answers();
    read_key_value_store();
    EXPECT_EQ(serve("GET", jobs_path).status, 405);
    EXPECT_EQ(serve("POST", jobs_path + "x").status, 404);
    EXPECT_EQ(serve("GET", jobs_path + "/").status, 404);
    EXPECT_EQ(serve("GET", jobs_path + "/a/b").status, 404);
    EXPECT_EQ(serve("DELETE", jobs_path + "/a").status, 405);
    EXPECT_EQ(serve("GET", jobs_path + "/a" + std::string(protocol::paths::cancel)).status, 405);
    EXPECT_EQ(serve("POST", jobs_path, "{").status, 400);
    EXPECT_NE(metrics.text().find(R"(coralhitch_requests_total{route="submit",status="400"} 1)"),
              std::string::npos);
}

TEST_F(UserRouterTest, ForwardsToAPeerThatReachesTheKeyValueStoreWhileThisOneDoesNot) {
    receive_ping(ping_of_peer());
    peer_answers({200, R"({"a":1})", 7});
    auto answer = serve("GET", jobs_path + "/a?x=1");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, R"({"a":1})");
    EXPECT_EQ(answer.retry_after_s, 7);
    auto forwarded = protocol::unpack_peer<protocol::PeerUserRequest>(network.sent.back().request.body);
    ASSERT_TRUE(forwarded);
    EXPECT_EQ(forwarded->method, "GET");
    EXPECT_EQ(forwarded->target, jobs_path + "/a?x=1");
}

TEST_F(UserRouterTest, Answers503WhenThePeerDoesNotAnswer) {
    receive_ping(ping_of_peer());
    auto answer = serve("GET", jobs_path + "/a");
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.retry_after_s, 1);
}

TEST_F(UserRouterTest, ForwardsNothingWhileItReachesTheKeyValueStore) {
    receive_ping(ping_of_peer());
    key_value_store_answers();
    read_key_value_store();
    EXPECT_EQ(serve("POST", jobs_path, "{").status, 400);
    EXPECT_EQ(network.sent_to(protocol::peer_user_path), 0u);
}

TEST_F(UserRouterTest, DoesNotForwardForwardedRequestsAgain) {
    receive_ping(ping_of_peer());
    auto body = protocol::pack_peer(protocol::PeerUserRequest{"POST", jobs_path, "{"});
    auto response = serve_peer("POST", protocol::peer_user_path, body);
    EXPECT_EQ(response.status, 200);
    auto answer = protocol::unpack_peer<protocol::PeerUserResponse>(response.body);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 400);
    EXPECT_EQ(network.sent_to(protocol::peer_user_path), 0u);
}

using PeerMessageHandlerTest = UserRouterTest;

TEST_F(PeerMessageHandlerTest, RefusesUnknownPathsMethodsAndMalformedBodies) {
    EXPECT_EQ(serve_peer("GET", protocol::peer_ping_path).status, 405);
    EXPECT_EQ(serve_peer("POST", "/peer/unknown").status, 404);
    for (auto path : {protocol::peer_ping_path, protocol::peer_user_path, protocol::peer_images_path,
                      protocol::peer_job_path, protocol::peer_cancellation_path, protocol::peer_relay_path,
                      protocol::peer_replication_path})
        EXPECT_EQ(serve_peer("POST", path, "\xc1").status, 400) << path;
}

TEST_F(PeerMessageHandlerTest, AcceptsNoHeartbeatsOrCancellationsUnlessItLeads) {
    auto relayed =
        serve_peer("POST", protocol::peer_relay_path, protocol::pack_peer(protocol::RelayRequest{}));
    EXPECT_FALSE(protocol::unpack_peer<protocol::RelayResponse>(relayed.body)->is_leader);
    auto cancelled = serve_peer("POST", protocol::peer_cancellation_path,
                                protocol::pack_peer(protocol::PeerCancellation{"job-1", 3}));
    EXPECT_EQ(protocol::unpack_peer<protocol::PeerCancellationResponse>(cancelled.body)->applied_by,
              protocol::LeaderVersion::none());
}

TEST_F(PeerMessageHandlerTest, StoresTheImageCachesOfTheLeader) {
    protocol::PeerImages images{{"base"}, {2.5}, {{"vm-0", {0}}}};
    EXPECT_EQ(serve_peer("POST", protocol::peer_images_path, protocol::pack_peer(images)).status, 200);
    ASSERT_EQ(peers.image_caches().names, std::vector<std::string>{"base"});
}

TEST_F(PeerMessageHandlerTest, ReplicatesUnlessItsOwnReplicaIsSwitchedOff) {
    protocol::ReplicationRequest piece{
        protocol::LeaderVersion{5}, 1, {}, protocol::LeaderVersion::none(), true};
    auto body = protocol::pack_peer(piece);
    EXPECT_TRUE(protocol::unpack_peer<protocol::ReplicationResponse>(
                    serve_peer("POST", protocol::peer_replication_path, body).body)
                    ->applied);
    EXPECT_EQ(replica.replica().leader_version, protocol::LeaderVersion{5});
    settings.op.replicate_starts = false;
    EXPECT_EQ(serve_peer("POST", protocol::peer_replication_path, body).status, 400);
}

}  // namespace
}  // namespace coralhitch::controller
