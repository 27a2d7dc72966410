// Two troubles that meet: a scripted case for each, with the order of messages fixed. docs/testing.md lists
// them.
#include "protocol/agent_api.hpp"
#include "scenarios/fault_combinations_support.hpp"

namespace coralhitch::simulation {
namespace {

// Keeps the machines, with room for one card more on each.
void keep_machines(SimulatedCluster& w) {
    w.at(2, [&w] { w.submit("j-9", "service", static_cast<int>(w.workers.size()), 0, {{"cards", 3.0}}); });
}

// The key-value store refuses the leader alone, another controller confirms a cancellation, and the service
// is then out for all for longer than `cancel_s`, while the workers report to the old leader. Others don't
// reach it: what they tell it proves nothing.
struct HeartbeatRejection {
    const char* name;
    double refused_s;      // the leader alone, from 30 s on; the cancellation comes 0.3 s later
    double outage_from_s;  // for all, for 70 s; before the leader's lease is out, which thus is kept
    bool again;       // a first outage ends, the leader renews its lease, and the next outage begins at once
    bool crash;       // the leader ends in the middle, and is back at once
    bool late_watch;  // the leader's watch, still open, says nothing of it
};
const HeartbeatRejection refusals[] = {
    {"refused on", 14, 31.0, false, false, false},
    {"refused, then served for a moment", 10, 31.0, true, false, false},
    {"served for a moment, and the watch is late", 10, 31.0, true, false, true},
    {"the leader ends meanwhile", 14, 31.0, false, true, false},
    {"the lease is out before the outage", 14, 34.0, false, false, false},
};
class RefusedAlone : public testing::TestWithParam<HeartbeatRejection> {};
INSTANTIATE_TEST_SUITE_P(Meeting, RefusedAlone, testing::ValuesIn(refusals));
TEST_P(RefusedAlone, CancelledTasksAreGoneInTime) {
    spdlog::set_level(spdlog::level::off);
    auto c = GetParam();
    SimulatedCluster w({});
    w.at(2, [&w] {
        w.submit("j-1", "batch", 6, 300);
        w.submit("j-2", "service", 3, 0);
    });
    w.run_until(30);
    ASSERT_EQ(on_machines(w, "j-1"), 6u);
    auto old = lead(w);
    w.no_users(old);
    if (c.late_watch)
        for (auto* id : {"j-1", "j-2"}) w.hide_from_watches(id);
    w.cut(host_of(old), "10.0.", 90, false);
    w.refuse_state(old, c.refused_s);
    w.at(30.3, [&w] {
        w.cancel("j-1");
        w.cancel("j-2");
    });
    double outage_s = c.again ? c.refused_s - (c.outage_from_s - 30) - 0.05 : 70;
    w.at(c.outage_from_s, [&w, outage_s] { w.state_down(outage_s); });
    if (c.crash) w.at(33, [&w, old] { w.crash(old, 0.1); });
    if (c.again)
        w.sent = [&w, old, begun = false](auto& from, auto&, auto& r) mutable {
            bool renews = from == w.addr_of(old) && r.target.ends_with("/renew");
            if (!renews || w.now() < 40 || std::exchange(begun, true)) return;
            w.at(w.now() + 0.009, [&w] { w.state_down(70); });
        };
    w.run_until(31);
    ASSERT_TRUE(w.jobs["j-1"].cancelled && w.jobs["j-2"].cancelled);
    w.run_until(150);
    expect_unbroken(w);
    EXPECT_EQ(on_machines(w, "j-1") + on_machines(w, "j-2"), 0u);
}

// A transaction without an answer is carried out late, after newer ones of the same leader: what these stored
// of tasks that are done must not be lost, since their machines have been told to forget them.
TEST(Meeting, ALateTransactionTakesNothingBack) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    o.machines = 1;
    SimulatedCluster w(o);
    std::size_t written = 0;
    w.late_txn = [&](const json& txn) {
        for (auto& c : txn["then"])
            if (c.value("put", "").starts_with("prog/") && written++ == 0) {
                w.at(w.now() + 11.2, [&w] { w.crash(lead(w), 0.1); });
                return 11.0;
            }
        return 0.0;
    };
    w.at(2, [&w] { w.submit("j-1", "batch", 40, 6, {{"driftwood", false}}); });
    w.run_until(160);
    EXPECT_GT(written, 3u);
    EXPECT_TRUE(w.jobs["j-1"].done);
    EXPECT_EQ(w.done_again, 0u);
    expect_unbroken(w);
}

// An old report arrives after newer ones, at a leader that has heard nothing newer of that machine: what it
// shows has moved on since, and what runs elsewhere must go on.
TEST(Meeting, AnOldReportStopsNothingThatRunsElsewhere) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    o.machines = 2;
    o.without_replication = {0, 1, 2};  // nothing is known of the machines but what they say
    SimulatedCluster w(o);
    keep_machines(w);
    w.at(4, [&w] { w.submit("j-1", "service", 1, 0); });
    std::map<std::string, http::Request> showed;  // the last report of each machine with the task
    w.sent = [&](auto& from, auto&, auto& r) {
        if (r.target == protocol::paths::heartbeat && r.body.find("j-1/") != std::string::npos &&
            w.now() < 25)
            showed[from] = r;
    };
    w.run_until(25);
    ASSERT_EQ(on_machines(w, "j-1"), 1u);
    std::size_t first = on_machine(*w.workers[0], "j-1") ? 0 : 1;
    // For longer than a lease, and it can't be deleted: the task goes on elsewhere, the machine in its next
    // agent epoch.
    w.hang(first, 30);
    w.cloud_down(60);
    w.run_until(70);
    ASSERT_EQ(on_machines(w, "j-1"), 1u);
    std::size_t second = 1 - first;
    ASSERT_EQ(on_machine(*w.workers[first], "j-1"), 0u);
    auto copy = showed.at(w.workers[first]->addr);
    auto starts = w.starts;
    w.hang(first, 8);
    w.hang(second, 5);
    w.crash(lead(w), 6);
    for (double t = 70; t < 78; t += 0.2)
        w.at(t, [&w, &copy, first] {
            for (std::size_t n = 0; n < 3; ++n)
                w.send(w.workers[first]->addr, w.addr_of(n), copy, 1, [](std::optional<http::Response>) {});
        });
    w.run_until(110);
    EXPECT_EQ(on_machines(w, "j-1"), 1u);
    EXPECT_EQ(w.starts, starts);
    expect_unbroken(w);
}

// A `run` is held up on its way to a machine that hears nobody, and its job is cancelled meanwhile. It
// arrives between a report and the answer to it, and then the machine is cut off altogether: an answer that
// renews its lease would leave the task there for a lease more.
TEST(Meeting, AHeldUpRunOfACancelledJobIsNotGivenALeaseMore) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    o.machines = 12;
    o.hear_s = 0.05;  // so that the answer comes after the `run`
    o.cancel_s = 34;
    SimulatedCluster w(o);
    keep_machines(w);
    w.run_until(30);
    w.cut_one_way("10.0.", "10.1.", 13, false);
    w.cloud_down(90);
    std::map<std::string, http::Request> held;
    std::string met;
    w.sent = [&](auto& from, auto& to, auto& r) {
        if (r.target == protocol::paths::commands && r.body.find("run") != std::string::npos && w.now() < 43)
            held.emplace(to, r);
        if (r.target != protocol::paths::heartbeat || w.now() < 43 || !met.empty() || !held.contains(from))
            return;
        met = from;
        w.send("10.9.0.1", met, held.at(met), 1, [](std::optional<http::Response>) {});
        w.at(w.now() + 0.4, [&w] { w.cut("10.0.", "10.1.", 60, false); });
    };
    w.submit("j-1", "batch", 12, 300);
    w.at(31.5, [&w] { w.cancel("j-1"); });
    w.run_until(45);
    ASSERT_FALSE(met.empty());
    EXPECT_EQ(on_machines(w, "j-1"), 1u);  // it has arrived
    w.run_until(150);
    EXPECT_TRUE(w.jobs["j-1"].cancelled);
    expect_unbroken(w);
}

// Each kind of transaction of the controllers, again and again without an answer and carried out after newer
// ones, over leaders that end and are back at once.
class LateTransactions : public testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Meeting, LateTransactions,
                         testing::Values("leader", "standby", "mach/page/", "job/", "prog/", "final/",
                                         "types", ""));
TEST_P(LateTransactions, BreakNoRule) {
    spdlog::set_level(spdlog::level::off);
    std::string kind = GetParam();
    SimulatedCluster w({});
    std::minstd_rand random(7);
    std::size_t late = 0;
    w.late_txn = [&](const json& txn) {
        for (auto& c : txn["then"]) {
            auto key = c.value("put", c.value("drop", ""));
            // Not so many that nobody leads for long.
            if (!key.starts_with(kind) || w.now() > 100 || random() % 3) continue;
            ++late;
            return std::uniform_real_distribution<double>(2, 12)(random);
        }
        return 0.0;
    };
    work(w, 110);
    for (double t = 25; t < 100; t += 13) w.at(t, [&w] { w.crash(lead(w), 0.2); });
    w.run_until(260);
    EXPECT_GT(late, kind == "types" ? 0u : 2u);
    for (auto& b : wrong(w)) ADD_FAILURE() << b;
}

// A leader ends while machines with long tasks can't be reached, or don't hear the new leader, for longer
// than a lease, and can't be deleted: their places, quota and zone stay taken until their leases are out, and
// everything goes on.
class Unreachable : public testing::TestWithParam<std::tuple<bool, double>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, Unreachable,
                         testing::Combine(testing::Bool(), testing::Values(12.0, 22.0, 40.0)));
TEST_P(Unreachable, TasksCountUntilTheyAreProvenGone) {
    spdlog::set_level(spdlog::level::off);
    auto [both_ways, for_s] = GetParam();
    Options o;
    o.gpus_max = 6;
    SimulatedCluster w(o);
    w.at(2, [&w] {
        w.submit("j-1", "batch", 6, 200, {{"crew", "tight"}});
        w.submit("j-2", "gang", 3, 200, {{"together", true}});
        w.submit("j-3", "service", 4, 0, {{"scatter", true}});
    });
    w.run_until(30);
    ASSERT_EQ(on_machines(w, "j-1") + on_machines(w, "j-2") + on_machines(w, "j-3"), 13u);
    for (std::size_t m = 0; m < 3; ++m) {
        if (both_ways)
            w.cut("10.0.", w.workers[m]->addr, for_s, false);
        else
            w.cut_one_way("10.0.", w.workers[m]->addr, for_s);
    }
    w.cloud_down(for_s);
    w.at(31, [&w] { w.crash(lead(w), 0.1); });
    w.at(34, [&w] { w.crash(lead(w), 3); });
    w.run_until(30 + for_s + 60);
    EXPECT_EQ(on_machines(w, "j-1"), 6u);
    EXPECT_EQ(on_machines(w, "j-2"), 3u);
    EXPECT_EQ(on_machines(w, "j-3"), 4u);
    w.cancel("j-3");
    w.run_until(500);
    EXPECT_TRUE(w.jobs["j-1"].done && w.jobs["j-2"].done);
    expect_unbroken(w);
}

// Workers can't open connections to any controller, while direct commands still reach them: their answers
// show them well, but every lease that ends kills what was started there since.
TEST(Meeting, NothingNewGoesToAMachineThatOnlyAnswersCommands) {
    spdlog::set_level(spdlog::level::off);
    for (bool crash : {false, true}) {
        Options o;
        o.machines = 8;
        SimulatedCluster w(o);
        keep_machines(w);
        w.run_until(30);
        constexpr double mute_s = 90;
        for (std::size_t m = 0; m < 4; ++m) w.workers[m]->mute_until = w.now() + mute_s;
        std::size_t runs = 0;
        bool over = false;
        std::set<std::string> mute;
        for (std::size_t m = 0; m < 4; ++m) mute.insert(w.workers[m]->addr);
        // Half of a lease and a look later, longer with a new leader, which begins to count at its start.
        double from = w.now() + o.lease_s / 2 + (crash ? 20 : 3);
        w.sent = [&](auto&, auto& to, auto& r) {
            bool run = r.target == protocol::paths::commands && r.body.find("\"run\"") != std::string::npos;
            runs += run && !over && w.now() > from && mute.contains(to);
        };
        if (crash) w.at(35, [&w] { w.crash(lead(w), 0.1); });
        // The other half has room for these, one after the other.
        for (int k = 0; k < 8; ++k)
            w.at(from + 1 + k * 6, [&w, k] { w.submit("j-" + std::to_string(k), "batch", 2, 8); });
        w.run_until(30 + mute_s);
        over = true;
        EXPECT_EQ(runs, 0u) << crash;
        // They are well again, and are used.
        w.at(w.now() + 5, [&w] { w.submit("j-20", "batch", 8, 20); });
        w.run_until(w.now() + 90);
        EXPECT_TRUE(w.jobs["j-20"].done);
        for (int k = 0; k < 8; ++k) EXPECT_TRUE(w.jobs["j-" + std::to_string(k)].done) << k;
        expect_unbroken(w);
    }
}

// Controllers hand over and back within moments, all end, one returns; what the first life of one sent comes
// later.
TEST(Meeting, HandoversThereAndBack) {
    spdlog::set_level(spdlog::level::off);
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Options o;
        o.seed = seed;
        SimulatedCluster w(o);
        work(w, 110);
        for (double t = 25; t < 95; t += 24) {
            w.at(t, [&w] {
                auto a = lead(w);
                w.cut(host_of(a), "10.", 4, true);  // held, and sent on when its second life leads
                w.crash(a, 0.1);
            });
            w.at(t + 3.5, [&w] { w.crash(lead(w), 0.1); });
            w.at(t + 7, [&w] { w.crash(lead(w), 0.3); });
            w.at(t + 12, [&w] {
                for (std::size_t n = 0; n < 3; ++n) w.crash(n, n == 1 ? 0.2 : 5);
            });
        }
        w.run_until(260);
        for (auto& b : wrong(w)) ADD_FAILURE() << "seed " << seed << ": " << b;
    }
}

// The key-value store answers slowly, up to the edge of a leader's lease, while users cancel and ask, refuses
// the leader alone in between, and is then out for all.
TEST(Meeting, ASlowStateServiceAtTheEdgeOfALease) {
    spdlog::set_level(spdlog::level::off);
    for (double by : {0.6, 1.2, 1.6}) {
        SimulatedCluster w({});
        work(w, 110);
        for (double t = 25; t < 95; t += 20) {
            w.at(t, [&w, by] { w.slow_state(15, by); });
            w.at(t + 6, [&w] { w.refuse_state(lead(w), 4); });
            w.at(t + 9, [&w] { w.state_down(3); });
        }
        w.run_until(260);
        for (auto& b : wrong(w)) ADD_FAILURE() << by << ": " << b;
    }
}

// A leader is cut from the key-value store and from the other controllers, while workers and users still
// reach it, and jobs are cancelled through the new one: the old one says nothing older, and keeps no task too
// long.
TEST(Meeting, ALeaderAloneTellsNothingOlder) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster w({});
    w.at(2, [&w] {
        w.submit("j-1", "batch", 6, 300);
        w.submit("j-2", "service", 3, 0);
        w.submit("j-3", "batch", 3, 12);
    });
    w.run_until(15);
    auto old = lead(w);
    w.no_users(old);
    w.cut(host_of(old), "10.2.0.1", 60, true);
    w.cut(host_of(old), "10.0.", 60, true);
    w.at(16, [&w] { w.cancel("j-1"); });
    w.at(16, [&w] { w.cancel("j-2"); });
    std::size_t asked = 0, answered = 0;
    for (double t = 18; t < 90; t += 0.7)
        w.at(t, [&] {
            for (auto* id : {"j-1", "j-2", "j-3"}) {
                bool over = w.jobs[id].cancelled || w.jobs[id].done;
                ++asked;
                w.ask_node(old, {"GET", std::string("/api/jobs/") + id, ""}, [&, over](http::Response r) {
                    answered += r.status == 200;
                    auto status = r.status == 200 ? json::parse(r.body)["status"] : json();
                    if (r.status == 404 || (over && (status == "pending" || status == "running")))
                        ADD_FAILURE() << w.now() << " " << r.status << " " << r.body;
                });
            }
            w.post_to(old, w.jobs["j-1"].spec.dump(), [&](http::Response r) {
                bool older =
                    r.status == 201 || (r.status == 200 && r.body.find("withdrawn") == std::string::npos);
                if (older) ADD_FAILURE() << w.now() << " " << r.status << " " << r.body;
            });
        });
    w.run_until(150);
    EXPECT_TRUE(w.jobs["j-1"].cancelled && w.jobs["j-2"].cancelled && w.jobs["j-3"].done);
    EXPECT_GT(answered, asked / 5);  // once it is back
    expect_unbroken(w);
}

// Jobs of two or three tasks that end far apart, and the leader ends in between, or right when an end was
// reported to it alone.
class EndsFarApart : public testing::TestWithParam<std::tuple<const char*, bool>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, EndsFarApart,
                         testing::Combine(testing::Values("batch", "gang"), testing::Bool()));
TEST_P(EndsFarApart, AreStoredOnce) {
    spdlog::set_level(spdlog::level::off);
    auto [shape, at_report] = GetParam();
    Options o;
    o.machines = 1;
    SimulatedCluster w(o);
    bool gang = std::string(shape) == "gang";
    // One at a time finds room.
    w.at(2, [&w, s = std::string(shape), gang] {
        w.submit("j-1", s, gang ? 1 : 3, 8, {{"cards", 3.0}, {"driftwood", false}});
    });
    w.at(3, [&w] { w.submit("j-2", "service", 1, 0, {{"driftwood", false}}); });
    std::set<std::string> crashed;
    if (at_report)
        w.sent = [&](auto&, auto&, auto& r) {
            if (r.target != protocol::paths::heartbeat || r.body.find("exited") == std::string::npos) return;
            auto ended = std::to_string(w.jobs["j-1"].tasks_done.size());
            if (!crashed.insert(ended).second) return;
            w.at(w.now() + 0.012, [&w] { w.crash(lead(w), 0.1); });
        };
    else
        for (double t = 17; t < 70; t += 4.5) w.at(t, [&w] { w.crash(lead(w), 0.1); });
    w.run_until(170);
    EXPECT_TRUE(w.jobs["j-1"].done);
    EXPECT_EQ(w.jobs["j-1"].tasks_done.size(), gang ? 1u : 3u);
    EXPECT_EQ(w.done_again, 0u);
    EXPECT_EQ(on_machines(w, "j-2"), 1u);
    expect_unbroken(w);
}

}  // namespace
}  // namespace coralhitch::simulation
