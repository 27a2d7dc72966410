// Two troubles that meet: a scripted case for each, with the order of messages fixed. docs/testing.md lists
// them.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "standin.hpp"

namespace coralhitch::standin {
namespace {

std::size_t lead(const World& w) {
    return static_cast<std::size_t>(std::max(0, w.leader()));
}
std::string host_of(std::size_t node) {
    return "10.0.0." + std::to_string(node + 1);
}
void expect_unbroken(const World& w) {
    for (auto& b : w.broken) ADD_FAILURE() << b;
}
std::size_t on_machine(const Worker& m, const std::string& job) {
    auto here = [&](auto& t) { return !m.dead && t.second.job == job && t.second.status != "exited"; };
    return static_cast<std::size_t>(std::count_if(m.tasks.begin(), m.tasks.end(), here));
}
std::size_t on_machines(const World& w, const std::string& job) {
    std::size_t n = 0;
    for (auto& m : w.workers) n += on_machine(*m, job);
    return n;
}
// Keeps the machines, with room for one card more on each.
void keep_machines(World& w) {
    w.at(2, [&w] { w.submit("j-9", "service", static_cast<int>(w.workers.size()), 0, {{"cards", 3.0}}); });
}

// The state service refuses the leader alone, another controller confirms a cancellation, and the service is
// then out for all for longer than `cancel_s`, while the workers report to the old leader. Others don't reach
// it: what they tell it proves nothing.
struct Refusal {
    const char* name;
    double refused_s;      // the leader alone, from 30 s on; the cancellation comes 0.3 s later
    double outage_from_s;  // for all, for 70 s; before the leader's lease is out, which thus is kept
    bool again;       // a first outage ends, the leader renews its lease, and the next outage begins at once
    bool crash;       // the leader ends in the middle, and is back at once
    bool late_watch;  // the leader's watch, still open, says nothing of it
};
const Refusal refusals[] = {
    {"refused on", 14, 31.0, false, false, false},
    {"refused, then served for a moment", 10, 31.0, true, false, false},
    {"served for a moment, and the watch is late", 10, 31.0, true, false, true},
    {"the leader ends meanwhile", 14, 31.0, false, true, false},
    {"the lease is out before the outage", 14, 34.0, false, false, false},
};
class RefusedAlone : public testing::TestWithParam<Refusal> {};
INSTANTIATE_TEST_SUITE_P(Meeting, RefusedAlone, testing::ValuesIn(refusals));
TEST_P(RefusedAlone, CancelledTasksAreGoneInTime) {
    spdlog::set_level(spdlog::level::off);
    auto c = GetParam();
    World w({});
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
    World w(o);
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
    o.without_standby = {0, 1, 2};  // nothing is known of the machines but what they say
    World w(o);
    keep_machines(w);
    w.at(4, [&w] { w.submit("j-1", "service", 1, 0); });
    std::map<std::string, http::Request> showed;  // the last report of each machine with the task
    w.sent = [&](auto& from, auto&, auto& r) {
        if (r.target == wire::paths::report && r.body.find("j-1/") != std::string::npos && w.now() < 25)
            showed[from] = r;
    };
    w.run_until(25);
    ASSERT_EQ(on_machines(w, "j-1"), 1u);
    std::size_t first = on_machine(*w.workers[0], "j-1") ? 0 : 1;
    // For longer than a lease, and it can't be deleted: the task goes on elsewhere, the machine in its next
    // session.
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
    World w(o);
    keep_machines(w);
    w.run_until(30);
    w.cut_one_way("10.0.", "10.1.", 13, false);
    w.cloud_down(90);
    std::map<std::string, http::Request> held;
    std::string met;
    w.sent = [&](auto& from, auto& to, auto& r) {
        if (r.target == wire::paths::commands && r.body.find("run") != std::string::npos && w.now() < 43)
            held.emplace(to, r);
        if (r.target != wire::paths::report || w.now() < 43 || !met.empty() || !held.contains(from)) return;
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

}  // namespace
}  // namespace coralhitch::standin
