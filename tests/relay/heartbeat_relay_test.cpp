// Tests which heartbeats a relay answers by itself and until when, and which it forwards, holds or rejects.
#include "relay/heartbeat_relay.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "config/settings.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_bodies.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::relay {
namespace {

// Stores the messages sent to the leader, so that a test can answer them late or not at all.
struct Network : http::Requester {
    struct Sent {
        protocol::RelayRequest message;
        http::Result result;
    };
    std::deque<Sent> sent;
    void send(const std::string&, http::Request r, double, http::Result result) override {
        sent.push_back({protocol::unpack_peer<protocol::RelayRequest>(r.body).value(), std::move(result)});
    }
};
struct RelayFixture {
    FakeTimers timers;
    Network net;
    config::Settings settings;
    LeaderEndpoint leader{"10.0.0.1:1", protocol::LeaderVersion{5}};
    HeartbeatRelay relay;
    std::vector<int> statuses;

    RelayFixture()
        : settings(make()),
          relay(timers, net, settings, protocol::Incarnation{1}, [this] { return leader; }) {
        relay.start();
    }
    static config::Settings make() {
        config::Settings s;
        s.label = "b";
        s.heartbeat_interval_s = 6;
        s.lease_s = 30;
        s.memory_mb = 100;
        return s;
    }
    // Offers an agent's heartbeat to the relay and returns true if it was accepted. The status of the answer
    // is added to `statuses` once there is one.
    bool offer(std::string body) {
        http::Reply reply = [this](http::Response r) { statuses.push_back(r.status); };
        return relay.try_accept(body, reply);
    }
    void run(double seconds) { timers.run_until(timers.now() + seconds); }
    // Answers the oldest message, and all its heartbeats with status 200.
    void answer(protocol::RelayResponse a, bool quiet = true) {
        auto s = std::move(net.sent.front());
        net.sent.pop_front();
        a.is_leader = true;
        for (std::size_t k = 0; k < s.message.heartbeats.size(); ++k) a.replies.push_back({200, "{}", quiet});
        s.result(http::Response{200, protocol::pack_peer(a), "application/msgpack"});
    }
    // Makes the oldest message fail without an answer.
    void lose() {
        auto s = std::move(net.sent.front());
        net.sent.pop_front();
        s.result(std::nullopt);
    }
};
protocol::RelayResponse extension(std::uint64_t ms, std::vector<std::string> revoked = {}) {
    protocol::RelayResponse a;
    a.ready = true;
    a.delegation_ms = ms;
    a.revoked = std::move(revoked);
    return a;
}

// Gives the relay a delegation and makes it forward the first heartbeat of vm-1, which stays unanswered.
void send_pending_heartbeat(RelayFixture& fixture) {
    fixture.run(0.2);
    fixture.answer(extension(6000));
    fixture.offer(heartbeat_body("vm-1", 1));
    fixture.run(0.2);
}

TEST(HeartbeatRelay, AnswersRepeatedHeartbeatsWhileDelegationLasts) {
    RelayFixture fixture;
    fixture.run(0.2);
    fixture.answer(extension(6000));  // the first message, without heartbeats
    EXPECT_TRUE(fixture.offer(heartbeat_body("vm-1", 1)));
    EXPECT_TRUE(fixture.statuses.empty()) << "only the leader knows an answer";
    while (fixture.net.sent.empty() && fixture.timers.now() < 1) fixture.run(0.01);
    ASSERT_EQ(fixture.net.sent.size(), 1u);
    double sent = fixture.timers.now();
    fixture.run(0.3);
    fixture.answer(extension(6000));
    EXPECT_EQ(fixture.statuses, std::vector<int>{200});
    fixture.run(1);
    EXPECT_TRUE(fixture.offer(heartbeat_body("vm-1", 2)));
    EXPECT_EQ(fixture.statuses.size(), 2u) << "answered at once";
    EXPECT_TRUE(fixture.offer(heartbeat_body("vm-1", 3, task)));
    EXPECT_EQ(fixture.statuses.size(), 2u) << "the content has changed";
    // The delegation counts from the sending of the answered message, less the drift of two clocks.
    fixture.run(sent + 5.995 - fixture.timers.now());
    std::size_t before = fixture.statuses.size();
    EXPECT_TRUE(fixture.offer(heartbeat_body("vm-1", 4)));
    EXPECT_EQ(fixture.statuses.size(), before) << "the delegation has expired";
}

TEST(HeartbeatRelay, StopsAnsweringAfterRevocationOrNewLeadership) {
    struct Case {
        const char* name;
        std::function<void(RelayFixture&)> act;
        bool answers;
    };
    const Case cases[] = {
        {"the delegation is extended", [](RelayFixture& fixture) { fixture.answer(extension(6000)); }, true},
        {"revoked", [](RelayFixture& fixture) { fixture.answer(extension(6000, {"vm-1"})); }, false},
        {"another machine revoked", [](RelayFixture& fixture) { fixture.answer(extension(6000, {"vm-2"})); },
         true},
        {"a delegation of no length", [](RelayFixture& fixture) { fixture.answer(extension(0)); }, false},
        {"another leadership",
         [](RelayFixture& fixture) { fixture.leader.version = protocol::LeaderVersion{6}; }, false},
        {"there is no leader", [](RelayFixture& fixture) { fixture.leader = {}; }, false},
        {"no answer, though the previous delegation is still valid",
         [](RelayFixture& fixture) { fixture.lose(); }, false},
    };
    for (auto& c : cases) {
        RelayFixture fixture;
        send_pending_heartbeat(fixture);
        fixture.answer(extension(6000));
        ASSERT_EQ(fixture.statuses.size(), 1u);
        fixture.run(0.65);  // the next message contains no heartbeat, and serves to fetch revocations
        ASSERT_EQ(fixture.net.sent.size(), 1u) << c.name;
        c.act(fixture);
        bool accepted = fixture.offer(heartbeat_body("vm-1", 2));
        EXPECT_EQ(accepted && fixture.statuses.size() == 2, c.answers) << c.name;
    }
}

// Two heartbeats wait while the first message has no answer. They are rejected because the message has
// failed, or because they have waited too long, and must be counted by that reason.
TEST(HeartbeatRelay, CountsRejectionsByReason) {
    for (auto [seconds, reason] :
         {std::pair(0.0, HeartbeatRejection::no_leader), {4.0, HeartbeatRejection::queue_timeout}}) {
        RelayFixture fixture;
        fixture.settings.op.relay_heartbeats = false;  // no heartbeat is held for the next leader
        ASSERT_TRUE(fixture.offer("{}"));
        fixture.run(0.5);
        ASSERT_EQ(fixture.net.sent.size(), 1u);
        ASSERT_TRUE(fixture.offer("{}"));
        fixture.run(seconds);
        fixture.lose();
        EXPECT_EQ(fixture.statuses, (std::vector{503, 503}));
        EXPECT_EQ(fixture.relay.rejections().count(reason), 2u);
    }
}

// While there is no leader, or the leader does not answer, heartbeats wait for a limited time. If they were
// rejected, all agents would call every controller each second.
TEST(HeartbeatRelay, KeepsHeartbeatsWaitingDuringAFailoverAndNoLonger) {
    struct Case {
        const char* name;
        std::function<void(RelayFixture&)> act;
        double offered_after;  // time of the second heartbeat, seconds after the interruption
        bool accepted;
        // Statuses, 4.6 s after the interruption, of the heartbeats sent before and after it.
        std::vector<int> statuses;
    };
    const Case cases[] = {
        {"no answer, then the next message succeeds",
         [](RelayFixture& fixture) {
             fixture.run(1.6);
             ASSERT_FALSE(fixture.net.sent.empty());
             fixture.answer(extension(6000));
         },
         0.1,
         true,
         {200, 200}},
        {"no leader, then another leader",
         [](RelayFixture& fixture) {
             fixture.leader = {};
             fixture.run(1);
             fixture.leader = {"10.0.0.2:1", protocol::LeaderVersion{9}};
             fixture.run(0.6);
             ASSERT_FALSE(fixture.net.sent.empty());
             EXPECT_EQ(fixture.net.sent.front().message.leader_version, protocol::LeaderVersion{9});
             fixture.answer(extension(6000));
         },
         0.1,
         true,
         {200, 200}},
        {"no leader: heartbeats wait no longer than their agents",
         [](RelayFixture& fixture) { fixture.leader = {}; },
         0.1,
         true,
         {503, 503}},
        {"no leader: rejected after the failover window",
         [](RelayFixture& fixture) { fixture.leader = {}; },
         4.55,
         false,
         {503}},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        RelayFixture fixture;
        send_pending_heartbeat(fixture);
        fixture.lose();
        double from = fixture.timers.now();
        EXPECT_TRUE(fixture.statuses.empty());
        if (c.offered_after < 1) {
            fixture.run(c.offered_after);
            EXPECT_EQ(fixture.offer(heartbeat_body("vm-2", 1)), c.accepted);
            c.act(fixture);
        } else {
            c.act(fixture);
            fixture.run(c.offered_after);
            EXPECT_EQ(fixture.offer(heartbeat_body("vm-2", 1)), c.accepted);
        }
        fixture.run(from + 4.6 - fixture.timers.now());
        EXPECT_EQ(fixture.statuses, c.statuses);
    }
}

// One of three controllers is down and another one leads, so this one receives nine tenths of all heartbeats.
// Each machine sends 0.43 heartbeats per second, and half of them are not repetitions, as in a failover at
// the peak load that the system is designed for. The leader takes 20 ms for each message.
TEST(HeartbeatRelay, ForwardsTheHeartbeatsOf8000MachinesAsTheOnlyRelay) {
    for (int machines : {4000, 8000}) {
        SCOPED_TRACE(machines);
        RelayFixture fixture;
        fixture.settings.heartbeat_interval_s = 3;
        fixture.run(0.2);
        fixture.answer(extension(3000));
        constexpr double step_s = 0.02;
        double due = 0, per_step = machines * 0.9 * 0.43 / 2 * step_s;
        int sequence = 0;
        for (double t = 0; t < 10; t += step_s) {
            for (due += per_step; due >= 1; --due) fixture.offer(heartbeat_body("vm-1", ++sequence, task));
            fixture.run(step_s);
            if (!fixture.net.sent.empty()) fixture.answer(extension(3000), false);
        }
        EXPECT_EQ(std::count(fixture.statuses.begin(), fixture.statuses.end(), 503), 0);
        EXPECT_GT(static_cast<double>(fixture.statuses.size()), machines * 0.9 * 0.43 / 2 * 9);
    }
}

// A leader that is not ready yet is retried at a limited rate, even if many heartbeats wait.
TEST(HeartbeatRelay, RetriesALeaderThatIsNotReadyAtALimitedRate) {
    RelayFixture fixture;
    fixture.settings.heartbeat_interval_s = 3;
    fixture.run(0.2);
    fixture.answer(extension(3000));
    for (int k = 1; k <= 1000; ++k) fixture.offer(heartbeat_body("vm-1", k, task));
    int messages = 0;
    for (double t = 0; t < 1.5; t += 0.01) {
        fixture.run(0.01);
        if (fixture.net.sent.empty()) continue;
        ++messages;
        fixture.answer({});
    }
    EXPECT_LE(messages, 11);
}

// When this controller becomes the leader, it answers the waiting heartbeats itself: the relay hands them
// over and must not reject them later.
TEST(HeartbeatRelay, HandsOverPendingHeartbeats) {
    RelayFixture fixture;
    send_pending_heartbeat(fixture);
    fixture.lose();
    fixture.leader = {};
    fixture.run(0.5);
    auto waiting = fixture.relay.take_pending();
    ASSERT_EQ(waiting.size(), 1u);
    EXPECT_LT(waiting.front().received_at, fixture.timers.now() - 0.6)
        << "the time at which the agent began to wait";
    fixture.run(5);
    EXPECT_TRUE(fixture.statuses.empty());
}

}  // namespace
}  // namespace coralhitch::relay
