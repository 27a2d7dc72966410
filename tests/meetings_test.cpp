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
std::size_t on_machines(const World& w, const std::string& job) {
    std::size_t n = 0;
    for (auto& m : w.workers)
        for (auto& [name, t] : m->tasks) n += !m->dead && t.job == job && t.status != "exited";
    return n;
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

}  // namespace
}  // namespace coralhitch::standin
