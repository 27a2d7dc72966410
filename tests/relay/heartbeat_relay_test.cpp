// Hearing for the leader: what is taken for a repetition, what a relay may answer by itself and until when,
// and what the leader may conclude about the leases of machines that it lent.
#include "relay/heartbeat_relay.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <deque>

#include "config/settings.hpp"
#include "relay/delegation_table.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_tracker.hpp"
#include "relay/worker_lease.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::relay {
namespace {

std::string report(const std::string& machine, int sequence, const std::string& tasks = "") {
    return R"({"berth":")" + machine +
           R"(","addr":"10.1.0.1:9","hull":"g","reef":"a","driftwood":false,"watch":1,"tally":)" +
           std::to_string(sequence) + R"(,"helm":7,"warning_s":null,"shards":[)" + tasks + "]}";
}
const std::string task = R"({"shard":"j-1/0","launch":3,"status":"running"})";

TEST(ReplyCache, FindsHeartbeatsThatDifferInSequenceOnly) {
    struct Case {
        const char* what;
        std::string body;
        bool repeats;
    };
    auto spaced = report("vm-1", 10, task);
    spaced.replace(spaced.find("\"tally\":10"), 10, "\"tally\": 10");
    auto fraction = report("vm-1", 10, task);
    fraction.replace(fraction.find("\"tally\":10"), 10, "\"tally\":10.5");
    const Case cases[] = {
        {"the next report", report("vm-1", 10, task), true},
        {"a longer number", report("vm-1", 123456, task), true},
        {"one that came late", report("vm-1", 9, task), false},
        {"an older one", report("vm-1", 3, task), false},
        {"another machine", report("vm-2", 10, task), false},
        {"a task less", report("vm-1", 10), false},
        {"a task in another state", report("vm-1", 10, R"({"shard":"j-1/0","launch":3,"status":"flushing"})"),
         false},
        {"laid out otherwise", spaced, false},
        {"no whole number", fraction, false},
        {"more behind it", report("vm-1", 10, task) + " ", false},
        {"cut short", report("vm-1", 10, task).substr(0, 60), false},
        {"nothing", "", false},
    };
    for (auto& c : cases) {
        ReplyCache cache;
        cache.put(report("vm-1", 9, task), "vm-1", 9, "answer", 0);
        auto o = protocol::outline_heartbeat(c.body);
        EXPECT_EQ(o && cache.find(c.body, *o), c.repeats) << c.what;
    }
    // Not what a full reading told: not remembered.
    ReplyCache cache;
    cache.put(report("vm-1", 9), "vm-2", 9, "answer", 0);
    cache.put(report("vm-1", 9), "vm-1", 8, "answer", 0);
    EXPECT_EQ(cache.size(), 0u);
}

// What is told to others of whom this controller hears rests on reports that are newer than all before.
TEST(HeartbeatTracker, IgnoresLateCopies) {
    HeartbeatTracker tracker(5, 100);
    tracker.record("vm-1", 1, 10, 0);
    tracker.record("vm-2", 3, 10, 0);
    EXPECT_EQ(tracker.recent_count(4), 2u);
    tracker.record("vm-1", 1, 10, 10);  // the same again
    tracker.record("vm-1", 1, 9, 10);   // and an older one
    tracker.record("vm-2", 2, 99, 10);  // of an earlier agent epoch
    EXPECT_EQ(tracker.recent_count(10), 0u);
    EXPECT_FALSE(tracker.seen_since("vm-1", 5));
    tracker.record("vm-1", 1, 11, 11);
    tracker.reset_recent();
    EXPECT_EQ(tracker.recent_count(11), 0u);
    tracker.record("vm-1", 1, 11, 12);  // known still
    EXPECT_EQ(tracker.recent_count(12), 0u);
    tracker.expire(112);
    tracker.record("vm-1", 1, 11, 112);  // after so long nothing is known of it
    EXPECT_EQ(tracker.recent_count(112), 1u);
}

TEST(DelegationTable, RenewalBoundCoversEveryDelegationInEffect) {
    DelegationTable table;
    auto none = [](const std::string&, double) { ADD_FAILURE(); };
    ASSERT_TRUE(table.accept_message("b", 1, 1, 0, none));
    table.delegate("vm-1", "b");
    EXPECT_TRUE(table.extend("b", 100).empty());
    EXPECT_EQ(table.renewal_bound("vm-1", 50), 100);
    EXPECT_EQ(table.renewal_bound("vm-2", 50), 50);
    // Recalled: it may still be answered under the last grant, not under a later one, since each answer that
    // carries a later one names it until one was taken in.
    EXPECT_EQ(table.revoke("vm-1"), 100);
    EXPECT_EQ(table.revoke("vm-1"), std::nullopt);
    EXPECT_FALSE(table.delegated_to("vm-1", "b"));
    EXPECT_FALSE(table.accept_message("b", 1, 1, 1, none)) << "a message that came late";
    ASSERT_TRUE(table.accept_message("b", 1, 2, 1, none));
    EXPECT_EQ(table.extend("b", 105), std::vector<std::string>{"vm-1"});
    ASSERT_TRUE(table.accept_message("b", 1, 3, 1, none)) << "the answer to the second was lost";
    EXPECT_EQ(table.extend("b", 106), std::vector<std::string>{"vm-1"});
    ASSERT_TRUE(table.accept_message("b", 1, 4, 3, none));
    EXPECT_TRUE(table.extend("b", 107).empty());
    // A relay that was started anew: its machines come back, with the bound of its last grant.
    table.delegate("vm-3", "b");
    std::vector<std::pair<std::string, double>> back;
    ASSERT_TRUE(
        table.accept_message("b", 2, 1, 0, [&](auto& id, double until) { back.emplace_back(id, until); }));
    EXPECT_EQ(back, (std::vector<std::pair<std::string, double>>{{"vm-3", 107}}));
    EXPECT_EQ(table.count("b"), 0u);
    // A machine that turns from one relay to another is recalled from the first.
    table.delegate("vm-4", "b");
    ASSERT_TRUE(table.accept_message("c", 1, 1, 0, none));
    table.delegate("vm-4", "c");
    EXPECT_EQ(table.extend("b", 108), std::vector<std::string>{"vm-4"});
    EXPECT_EQ(table.count("b"), 0u);
    EXPECT_EQ(table.count("c"), 1u);
    EXPECT_EQ(table.least_loaded(100, 5), "b");
    EXPECT_EQ(table.least_loaded(200, 5), std::nullopt) << "no grant any more";
}

// Keeps what was sent to the leader; the test answers, late or not at all.
struct Network : http::Requester {
    struct Sent {
        protocol::PeerRelay message;
        http::Result result;
    };
    std::deque<Sent> sent;
    void send(const std::string&, http::Request r, double, http::Result result) override {
        sent.push_back({protocol::unpack_peer<protocol::PeerRelay>(r.body).value(), std::move(result)});
    }
};
struct RelayFixture {
    FakeTimers timers;
    Network net;
    config::Settings settings;
    LeaderEndpoint leader{"10.0.0.1:1", 5};
    HeartbeatRelay relay;
    std::vector<int> statuses;

    RelayFixture() : settings(make()), relay(timers, net, settings, 1, [this] { return leader; }) {
        relay.start();
    }
    static config::Settings make() {
        config::Settings s;
        s.label = "b";
        s.report_s = 6;
        s.lease_s = 30;
        s.memory_mb = 100;
        return s;
    }
    // A worker's report; true if it was taken. Its answer's status, once there is one, goes to `statuses`.
    bool offer(std::string body) {
        http::Reply reply = [this](http::Response r) { statuses.push_back(r.status); };
        return relay.try_accept(body, reply);
    }
    void run(double seconds) { timers.run_until(timers.now() + seconds); }
    // Answers the oldest message: all its reports with 200.
    void answer(protocol::PeerRelayAnswer a, bool quiet = true) {
        auto s = std::move(net.sent.front());
        net.sent.pop_front();
        a.leads = true;
        for (std::size_t k = 0; k < s.message.reports.size(); ++k) a.answers.push_back({200, "{}", quiet});
        s.result(http::Response{200, protocol::pack_peer(a), "application/msgpack"});
    }
    void lose() {
        auto s = std::move(net.sent.front());
        net.sent.pop_front();
        s.result(std::nullopt);
    }
};
protocol::PeerRelayAnswer extension(std::uint64_t ms, std::vector<std::string> recalled = {}) {
    protocol::PeerRelayAnswer a;
    a.ready = true;
    a.grant_ms = ms;
    a.recalled = std::move(recalled);
    return a;
}

TEST(HeartbeatRelay, AnswersRepeatedHeartbeatsWhileDelegationLasts) {
    RelayFixture b;
    b.run(0.2);
    b.answer(extension(6000));  // the first message, without reports
    EXPECT_TRUE(b.offer(report("vm-1", 1)));
    EXPECT_TRUE(b.statuses.empty()) << "only the leader knows an answer";
    while (b.net.sent.empty() && b.timers.now() < 1) b.run(0.01);
    ASSERT_EQ(b.net.sent.size(), 1u);
    double sent = b.timers.now();
    b.run(0.3);
    b.answer(extension(6000));
    EXPECT_EQ(b.statuses, std::vector<int>{200});
    b.run(1);
    EXPECT_TRUE(b.offer(report("vm-1", 2)));
    EXPECT_EQ(b.statuses.size(), 2u) << "answered at once";
    EXPECT_TRUE(b.offer(report("vm-1", 3, task)));
    EXPECT_EQ(b.statuses.size(), 2u) << "something is new";
    // Counted from the sending of what the grant answered, less the drift of two clocks, not from its coming.
    b.run(sent + 5.995 - b.timers.now());
    std::size_t before = b.statuses.size();
    EXPECT_TRUE(b.offer(report("vm-1", 4)));
    EXPECT_EQ(b.statuses.size(), before) << "the grant is over";
}

TEST(HeartbeatRelay, StopsAnsweringAfterRevocationOrNewLeadership) {
    struct Case {
        const char* what;
        std::function<void(RelayFixture&)> then;
        bool answers;
    };
    const Case cases[] = {
        {"nothing", [](RelayFixture& b) { b.answer(extension(6000)); }, true},
        {"recalled", [](RelayFixture& b) { b.answer(extension(6000, {"vm-1"})); }, false},
        {"another machine recalled", [](RelayFixture& b) { b.answer(extension(6000, {"vm-2"})); }, true},
        {"a grant of nothing", [](RelayFixture& b) { b.answer(extension(0)); }, false},
        {"another leadership", [](RelayFixture& b) { b.leader.version = 6; }, false},
        {"the same controller leads no more", [](RelayFixture& b) { b.leader = {}; }, false},
        {"no answer, the grant before still lasts", [](RelayFixture& b) { b.lose(); }, false},
    };
    for (auto& c : cases) {
        RelayFixture b;
        b.run(0.2);
        b.answer(extension(6000));
        b.offer(report("vm-1", 1));
        b.run(0.2);
        b.answer(extension(6000));
        ASSERT_EQ(b.statuses.size(), 1u);
        b.run(0.65);  // the next message goes without a report, to fetch revocations
        ASSERT_EQ(b.net.sent.size(), 1u) << c.what;
        c.then(b);
        bool taken = b.offer(report("vm-1", 2));
        EXPECT_EQ(taken && b.statuses.size() == 2, c.answers) << c.what;
    }
}

// Every report refused is counted by its reason, and the log tells so once in a while, however many there
// are.
TEST(HeartbeatRejections, AreCountedAndLoggedAtALimitedRate) {
    spdlog::set_level(spdlog::level::off);
    FakeTimers timers;
    HeartbeatRejections rejections(timers, 10);
    rejections.record(HeartbeatRejection::queue_timeout);
    EXPECT_EQ(rejections.log_lines(), 1u);
    for (int k = 0; k < 3; ++k) rejections.record(HeartbeatRejection::queue_timeout);
    rejections.record(HeartbeatRejection::socket_limit);
    EXPECT_EQ(rejections.log_lines(), 1u);
    EXPECT_EQ(rejections.summary(), "3 late, 1 sockets");
    timers.run_until(10);
    rejections.record(HeartbeatRejection::outdated);
    EXPECT_EQ(rejections.log_lines(), 2u);
    EXPECT_EQ(rejections.summary(), "");
    EXPECT_EQ(rejections.count(HeartbeatRejection::queue_timeout), 4u);
    EXPECT_EQ(rejections.count(HeartbeatRejection::outdated), 1u);
    EXPECT_EQ(rejections.count(HeartbeatRejection::lease_lost), 0u);
}
// While the first message has no answer two reports wait: for too long, or until it turns out that it is
// lost.
TEST(HeartbeatRelay, CountsRejectionsByReason) {
    for (auto [seconds, why] :
         {std::pair(0.0, HeartbeatRejection::no_leader), {4.0, HeartbeatRejection::queue_timeout}}) {
        RelayFixture b;
        b.settings.op.hearing = false;  // nothing is held for the next leader
        ASSERT_TRUE(b.offer("{}"));
        b.run(0.5);
        ASSERT_EQ(b.net.sent.size(), 1u);
        ASSERT_TRUE(b.offer("{}"));
        b.run(seconds);
        b.lose();
        EXPECT_EQ(b.statuses, (std::vector{503, 503}));
        EXPECT_EQ(b.relay.rejections().count(why), 2u);
    }
}

// While nobody leads, or the leader does not answer, workers are kept waiting: refused, a whole fleet calls
// each second.
TEST(HeartbeatRelay, KeepsHeartbeatsWaitingDuringAFailoverAndNoLonger) {
    struct Case {
        const char* what;
        std::function<void(RelayFixture&)> then;
        double offered_after;  // of the interruption
        bool taken;
        std::vector<int> statuses;  // 4.6 s after the interruption, of the report before it and the one after
    };
    const Case cases[] = {
        {"no answer, the next message gets through",
         [](RelayFixture& b) {
             b.run(1.6);
             ASSERT_FALSE(b.net.sent.empty());
             b.answer(extension(6000));
         },
         0.1,
         true,
         {200, 200}},
        {"no leader, then another",
         [](RelayFixture& b) {
             b.leader = {};
             b.run(1);
             b.leader = {"10.0.0.2:1", 9};
             b.run(0.6);
             ASSERT_FALSE(b.net.sent.empty());
             EXPECT_EQ(b.net.sent.front().message.leader_version, 9u);
             b.answer(extension(6000));
         },
         0.1,
         true,
         {200, 200}},
        {"no leader: not for longer than workers wait",
         [](RelayFixture& b) { b.leader = {}; },
         0.1,
         true,
         {503, 503}},
        {"a takeover takes no longer than this", [](RelayFixture& b) { b.leader = {}; }, 4.55, false, {503}},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.what);
        RelayFixture b;
        b.run(0.2);
        b.answer(extension(6000));
        b.offer(report("vm-1", 1));
        b.run(0.2);
        b.lose();
        double from = b.timers.now();
        EXPECT_TRUE(b.statuses.empty());
        if (c.offered_after < 1) {
            b.run(c.offered_after);
            EXPECT_EQ(b.offer(report("vm-2", 1)), c.taken);
            c.then(b);
        } else {
            c.then(b);
            b.run(c.offered_after);
            EXPECT_EQ(b.offer(report("vm-2", 1)), c.taken);
        }
        b.run(from + 4.6 - b.timers.now());
        EXPECT_EQ(b.statuses, c.statuses);
    }
}
// A controller that gets more reports than it can read answers as many workers as it can read reports: what
// it answers must still find its worker waiting.
TEST(HeartbeatQueue, AnswersInTimeWhenOverloaded) {
    struct Case {
        double per_s, read_per_s;  // reports that come, and that can be read
        double way_s;              // from a worker to the queue and back
    };
    const Case cases[] = {{50, 100, 0.1}, {150, 100, 0.1}, {300, 100, 0.5}, {2000, 100, 1}, {300, 100, 1.2}};
    for (auto& c : cases) {
        FakeTimers timers;
        HeartbeatRejections rejections(timers, 60);
        HeartbeatQueue queue(rejections);
        std::size_t answered = 0, refused = 0, in_time = 0;
        double come = 0, read = 0;
        for (double t = 0; t < 60; t += 0.002) {
            for (come += c.per_s * 0.002; come >= 1; --come)
                queue.push(
                    {"", [&, t](http::Response r) { (r.status == 200 ? answered : refused) += t >= 0; }, t});
            for (read += c.read_per_s * 0.002; read >= 1; --read)
                if (auto r = queue.pop(t)) {
                    r->reply({200, ""});
                    in_time += t + c.way_s - r->received_at < protocol::heartbeat_timeout_s;
                }
            read = std::min(read, 1.0);
        }
        double most = std::min(c.per_s, c.read_per_s) * 60;
        EXPECT_EQ(answered, in_time) << c.per_s;
        EXPECT_GT(static_cast<double>(in_time), most * 0.9) << c.per_s;
        EXPECT_EQ(refused, queue.rejected());
        EXPECT_EQ(refused, rejections.count(HeartbeatRejection::queue_timeout));
        EXPECT_EQ(refused > 0, c.per_s > c.read_per_s) << c.per_s;
    }
}
// What is handed on keeps the time at which it was read.
TEST(HeartbeatQueue, AcceptsAPushDuringARejection) {
    FakeTimers timers;
    HeartbeatRejections rejections(timers, 60);
    HeartbeatQueue queue(rejections);
    int statuses = 0;
    queue.push({"a",
                [&](http::Response r) {
                    statuses += r.status;
                    queue.push({"b", [](http::Response) {}, 100});
                },
                0});
    auto next = queue.pop(100);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->body, "b");
    EXPECT_EQ(statuses, 503);
    EXPECT_TRUE(queue.empty());
    queue.push({"c", [](http::Response) {}, 7});
    auto rest = queue.take_all();
    ASSERT_EQ(rest.size(), 1u);
    EXPECT_EQ(rest.front().received_at, 7);
    EXPECT_TRUE(queue.empty());
}

// One controller of three is down and another leads, so this one hears nine tenths of the fleet; half of the
// reports have news, 0.43 a machine and second, as in a failover at the target's peak. The leader takes 20 ms
// for each message.
TEST(HeartbeatRelay, ForwardsTheHeartbeatsOf8000MachinesAsTheOnlyRelay) {
    for (int machines : {4000, 8000}) {
        SCOPED_TRACE(machines);
        RelayFixture b;
        b.settings.report_s = 3;
        b.run(0.2);
        b.answer(extension(3000));
        constexpr double step_s = 0.02;
        double due = 0, per_step = machines * 0.9 * 0.43 / 2 * step_s;
        int sequence = 0;
        for (double t = 0; t < 10; t += step_s) {
            for (due += per_step; due >= 1; --due) b.offer(report("vm-1", ++sequence, task));
            b.run(step_s);
            if (!b.net.sent.empty()) b.answer(extension(3000), false);
        }
        EXPECT_EQ(std::count(b.statuses.begin(), b.statuses.end(), 503), 0);
        EXPECT_GT(static_cast<double>(b.statuses.size()), machines * 0.9 * 0.43 / 2 * 9);
    }
}

// A leader that is not ready yet is not asked again and again, however much waits.
TEST(HeartbeatRelay, RetriesALeaderThatIsNotReadyAtALimitedRate) {
    RelayFixture b;
    b.settings.report_s = 3;
    b.run(0.2);
    b.answer(extension(3000));
    for (int k = 1; k <= 1000; ++k) b.offer(report("vm-1", k, task));
    int messages = 0;
    for (double t = 0; t < 1.5; t += 0.01) {
        b.run(0.01);
        if (b.net.sent.empty()) continue;
        ++messages;
        b.answer({});
    }
    EXPECT_LE(messages, 11);
}

// What waits when this controller comes to lead itself is its own to answer.
TEST(HeartbeatRelay, HandsOverPendingHeartbeats) {
    RelayFixture b;
    b.run(0.2);
    b.answer(extension(6000));
    b.offer(report("vm-1", 1));
    b.run(0.2);
    b.lose();
    b.leader = {};
    b.run(0.5);
    auto waiting = b.relay.take_pending();
    ASSERT_EQ(waiting.size(), 1u);
    EXPECT_LT(waiting.front().received_at, b.timers.now() - 0.6) << "its worker has waited since then";
    b.run(5);
    EXPECT_TRUE(b.statuses.empty());
}

// Whatever the settings: a task of a job that was cancelled right after the leader was last complete is gone
// in time, if a report that came at the last moment was answered and no command ever arrives.
TEST(WorkerLease, RenewalEndsEarlyEnoughForEveryCancellation) {
    struct Case {
        double report_s, lease_s, cancel_s;
        bool some;  // whether anything is left after the authority's end
    };
    const Case cases[] = {{3, 24, 44, true},      {3, 31, 61, true},  {6, 31, 51, true},
                          {3, 24, 27, false},     {3, 24, 29, false}, {6, 31, 37, false},
                          {0.5, 600, 601, false}, {10, 24, 300, true}};
    for (auto& c : cases) {
        config::Settings s;
        s.report_s = c.report_s;
        s.lease_s = c.lease_s;
        s.cancel_s = c.cancel_s;
        double ttl = s.lease_s * s.op.lease_ratio, slow = 1 + 0.0005;
        double complete_at = 100, last = lease_renewal_deadline(s, ttl, complete_at, 1e9);
        EXPECT_LT((last - complete_at) * slow + s.lease_s * slow, s.cancel_s) << c.cancel_s;
        EXPECT_EQ(renewal_grace_s(s, ttl) > 0, c.some) << c.cancel_s;
        // A successor counts on no more than the predecessor does, however complete that is.
        EXPECT_LE(lease_renewal_deadline(s, ttl, 1e9, 50), 50 + renewal_grace_s(s, ttl));
        // What was not complete for so long renews nothing, though its authority goes on.
        EXPECT_LE(last, complete_at + s.cancel_s - s.lease_s);
    }
}

}  // namespace
}  // namespace coralhitch::relay
