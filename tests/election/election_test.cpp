// Tests leader election under late, lost and repeated answers, with an injected clock and network.
#include "election/election.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "kv/keys.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::election {
namespace {

// A key-value store of one key. It can refuse requests, or lose answers after executing the request.
class FakeLeaderKeyStore : public http::Requester {
  public:
    explicit FakeLeaderKeyStore(FakeTimers& t) : timers_(t) {}
    bool refuse = false, lose_txn_answer = false, lose_renewals = false;
    std::uint64_t version = 0, lease = 0, leases = 0, revision = 4;
    std::string value;
    std::optional<double> lease_ends_at;  // at this time, a watch reports that the key was deleted
    int reads = 0;

    void send(const std::string&, http::Request r, double timeout, http::Result result) override {
        if (r.target.starts_with("/watch") && lease_ends_at)
            return void(timers_.after(*lease_ends_at - timers_.now(), [this, result] {
                version = 0;
                lease_ends_at.reset();
                result(http::Response{200, R"({"epoch":9,"news":[{"drop":"leader","stamp":9}]})"});
            }));
        auto answer = execute(r);
        double wait = answer ? 0.01 : timeout;
        timers_.after(wait, [answer, result] { result(answer); });
    }

  private:
    std::optional<http::Response> execute(const http::Request& r) {
        if (refuse) return http::Response{503, "{}"};
        if (r.target.starts_with("/kv/")) {
            ++reads;
            if (!version) return http::Response{404, "{\"epoch\":" + std::to_string(revision) + "}"};
            return http::Response{200, "{\"path\":\"leader\",\"value\":" + value +
                                           ",\"stamp\":" + std::to_string(version) +
                                           ",\"mooring\":" + std::to_string(lease) + "}"};
        }
        if (r.target == "/holds")
            return http::Response{200, "{\"mooring\":" + std::to_string(++leases) + "}"};
        if (r.target == "/txn") {
            if (version) return http::Response{409, R"({"failed":["leader"],"epoch":9})"};
            version = ++revision;
            lease = leases;
            auto at = r.body.find("\"value\":") + 8;
            value = r.body.substr(at, r.body.find('}', at) - at + 1);
            if (std::exchange(lose_txn_answer, false)) return std::nullopt;
            return http::Response{200, "{\"epoch\":" + std::to_string(version) + "}"};
        }
        if (r.target.starts_with("/holds/")) {
            if (lose_renewals) return std::nullopt;
            if (r.method == "DELETE") version = 0;
            return http::Response{version ? 200 : 404, "{\"mooring\":1}"};
        }
        return std::nullopt;  // a watch gets no answer
    }
    FakeTimers& timers_;
};

struct ElectionFixture {
    FakeTimers timers;
    FakeLeaderKeyStore service{timers};
    config::Settings settings = [] {
        config::Settings s;
        s.label = "berth-0";
        s.heartbeat_interval_s = 3;
        s.lease_s = 30;
        s.kv_rps = 100;
        s.kv_write_rps = 50;
        return s;
    }();
    kv::KvClient client{timers, service, settings};
    Election election{timers, client, settings, protocol::Incarnation{77}, 1};
    int won = 0, lost = 0;
    // Stores the key as held by another process, of the controller `label`.
    void held_by(const std::string& label) {
        service.version = 3;
        service.lease = 9;
        service.value = R"({"incarnation":5,"label":")" + label + "\"}";
    }
    void start() {
        spdlog::set_level(spdlog::level::off);
        election.start({[this](protocol::LeaderVersion) { ++won; }, [this] { ++lost; }});
    }
};

TEST(Election, ClaimsAnAbsentKeyAndTakesItsVersionAsToken) {
    ElectionFixture fixture;
    fixture.start();
    fixture.timers.run_until(1);
    EXPECT_TRUE(fixture.election.may_act());
    EXPECT_EQ(fixture.election.fencing_token().value(), fixture.service.version);
    EXPECT_EQ(fixture.won, 1);
}
TEST(Election, ReadsTheKeyWhenTheAnswerToItsClaimIsLost) {
    ElectionFixture fixture;
    fixture.service.lose_txn_answer = true;  // executed, but not answered
    fixture.start();
    fixture.timers.run_until(5);
    EXPECT_TRUE(fixture.election.is_leader());
    EXPECT_EQ(fixture.election.fencing_token().value(), fixture.service.version);
    EXPECT_EQ(fixture.won, 1);
}
TEST(Election, MayActForTheLeaseFromTheSendingOfItsLastRenewal) {
    for (bool lost : {true, false}) {
        ElectionFixture fixture;
        fixture.start();
        fixture.timers.run_until(1);
        (lost ? fixture.service.lose_renewals : fixture.service.refuse) = true;
        fixture.timers.run_until(1 + fixture.election.lease_ttl_s());
        EXPECT_TRUE(fixture.election.is_leader());  // no answer has reported the expiry of the lease
        EXPECT_FALSE(fixture.election.may_act());   // the lease may have expired
        fixture.service.lose_renewals = fixture.service.refuse = false;
        fixture.timers.run_until(2 + 2 * fixture.election.lease_ttl_s());
        EXPECT_TRUE(fixture.election.may_act());
        EXPECT_EQ(fixture.lost, 0);
    }
}
TEST(Election, LosesLeadershipWithItsLeaseAndWinsWithAHigherToken) {
    ElectionFixture fixture;
    fixture.start();
    fixture.timers.run_until(1);
    auto first = fixture.election.fencing_token();
    fixture.service.version = 0;
    fixture.timers.run_until(10);
    EXPECT_EQ(fixture.lost, 1);
    EXPECT_EQ(fixture.won, 2);
    EXPECT_GT(fixture.election.fencing_token(), first);
}
TEST(Election, FollowsTheLeaderWithTheNewestToken) {
    ElectionFixture fixture;
    fixture.held_by("berth-1");
    fixture.start();
    fixture.timers.run_until(1);
    EXPECT_FALSE(fixture.election.is_leader());
    EXPECT_EQ(fixture.election.leader_label(), "berth-1");
    fixture.election.observe_leader("berth-2", protocol::LeaderVersion{2});  // older than what is known
    EXPECT_EQ(fixture.election.leader_label(), "berth-1");
    fixture.election.observe_leader("berth-2", protocol::LeaderVersion{8});
    EXPECT_EQ(fixture.election.leader_label(), "berth-2");
}
// A leader that is cut off from the key-value store learns of its successor from the token that an agent
// sends.
TEST(Election, StepsDownWhenSupersededByALaterLeadership) {
    for (auto [ahead, lost] : {std::pair(0, 0), {1, 1}}) {
        ElectionFixture fixture;
        fixture.start();
        fixture.timers.run_until(1);
        fixture.service.refuse = true;
        fixture.election.step_down_if_superseded(protocol::LeaderVersion{
            fixture.election.fencing_token().value() + static_cast<std::uint64_t>(ahead)});
        EXPECT_EQ(fixture.lost, lost);
        EXPECT_EQ(fixture.election.is_leader(), lost == 0);
    }
}
// A controller that is cut off from the agents defers to one that receives their heartbeats. The deferral
// must end, because the other controller may be unable to lead.
TEST(Election, DefersForABoundedTime) {
    ElectionFixture fixture;
    bool defer = true;
    fixture.election.start({[&](protocol::LeaderVersion) { ++fixture.won; }, [] {}, [&] { return defer; }});
    fixture.timers.run_until(fixture.election.lease_ttl_s() * 0.9);
    EXPECT_EQ(fixture.won, 0);
    fixture.timers.run_until(fixture.election.lease_ttl_s() * 1.5);
    EXPECT_EQ(fixture.won, 1);
}
// During a rollout, controllers of the new software version must win against those of the old version, which
// read the key before they claim it.
TEST(Election, ClaimsWithoutAReadWhenTheWatchReportsTheDeletion) {
    ElectionFixture fixture;
    fixture.held_by("berth-1");
    fixture.service.lease_ends_at = 2;
    fixture.start();
    fixture.timers.run_until(1.9);
    auto reads = fixture.service.reads;
    fixture.timers.run_until(2.05);
    EXPECT_EQ(fixture.won, 1);
    EXPECT_EQ(fixture.service.reads, reads);
}
TEST(Election, EndsTheLeaseOfItsPreviousIncarnation) {
    ElectionFixture fixture;
    fixture.held_by("berth-0");
    fixture.start();
    fixture.timers.run_until(3);
    EXPECT_TRUE(fixture.election.is_leader());
    EXPECT_GT(fixture.election.fencing_token(), protocol::LeaderVersion{3});
}

}  // namespace
}  // namespace coralhitch::election
