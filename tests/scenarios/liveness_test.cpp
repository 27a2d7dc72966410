// What workers' leases do when nobody, or not everybody, may renew them: a zone that is cut off with its
// controller, leaders that change again and again, and no controller at all. docs/testing.md lists the cases.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {

std::size_t lead(const SimulatedCluster& w) {
    return static_cast<std::size_t>(std::max(0, w.leader()));
}
std::string host_of(std::size_t node) {
    return "10.0.0." + std::to_string(node + 1);
}
std::string host_of(const Worker& m) {
    return m.addr.substr(0, m.addr.find(':'));
}
void expect_unbroken(const SimulatedCluster& w) {
    for (auto& b : w.broken) ADD_FAILURE() << b;
}
std::size_t on_machines(const SimulatedCluster& w, const std::string& job, const std::string& zone = "") {
    std::size_t n = 0;
    for (auto& m : w.workers)
        for (auto& [name, t] : m->tasks)
            n += !m->dead && t.job == job && t.status != "exited" && (zone.empty() || m->zone == zone);
    return n;
}
// Machines in a zone, both if it is empty: all, or those whose workers' leases have run out.
std::size_t machines(const SimulatedCluster& w, const std::string& zone = "", bool lapsed_only = false) {
    std::size_t n = 0;
    for (auto& m : w.workers)
        n += !m->dead && (zone.empty() || m->zone == zone) && (!lapsed_only || m->agent_epoch > 1);
    return n;
}
std::size_t lapsed(const SimulatedCluster& w, const std::string& zone = "") {
    return machines(w, zone, true);
}
// Leaders end until this controller leads, or until another one does.
void make_lead(SimulatedCluster& w, std::size_t node, bool wanted) {
    for (int tries = 0; tries < 30 && (lead(w) == node) != wanted; ++tries) {
        w.crash(lead(w), 2);
        w.run_until(w.now() + 6);
    }
    w.run_until(w.now() + 8);
    ASSERT_EQ(lead(w) == node, wanted);
}
// Zone b, that is one controller and every other machine, from the other zone and from the region.
constexpr std::size_t inside = 1;
void cut_zone(SimulatedCluster& w, double for_s, bool hold) {
    std::vector<std::string> in{host_of(inside)}, out{"10.2.", host_of(0), host_of(2)};
    for (auto& m : w.workers) (m->zone == "b" ? in : out).push_back(host_of(*m));
    for (auto& a : in)
        for (auto& b : out) w.cut(a, b, for_s, hold);
    w.no_users(inside);
}

// Six tasks of an array that last, and six replicas, all of them running by then.
void run_long_work(SimulatedCluster& w) {
    w.at(2, [&w] {
        w.submit("j-1", "batch", 6, 400);
        w.submit("j-2", "service", 6, 0);
    });
    w.run_until(25);
}

// A zone with workers and a controller is cut off for longer than `lease_s`. That controller renews their
// leases for as long as it may, which ends early enough for a cancellation that it can't hear of, and a
// leader outside starts nothing again before that time and a lease more are over.
struct ZoneCut {
    const char* name;
    bool leads;  // the controller inside, as the cut begins
    bool hold;   // what is sent across arrives when the cut ends
};
const ZoneCut zone_cuts[] = {
    {"the leader is inside", true, false},
    {"the leader is inside, packets held", true, true},
    {"the leader is outside", false, false},
    {"the leader is outside, packets held", false, true},
};
class CutZone : public testing::TestWithParam<ZoneCut> {};
INSTANTIATE_TEST_SUITE_P(Liveness, CutZone, testing::ValuesIn(zone_cuts));
TEST_P(CutZone, KeepsItsTasksForTheTimeThatIsAllowedAndNoLonger) {
    spdlog::set_level(spdlog::level::off);
    auto c = GetParam();
    Options o;
    SimulatedCluster w(o);
    run_long_work(w);
    make_lead(w, inside, c.leads);
    ASSERT_EQ(on_machines(w, "j-1"), 6u);
    ASSERT_GT(on_machines(w, "j-1", "b"), 0u);
    ASSERT_EQ(lapsed(w), 0u);
    double from = w.now();
    cut_zone(w, o.lease_s * 3, c.hold);
    // The cloud can't be asked to delete: time is the only proof that is left.
    w.cloud_down(o.lease_s * 3);
    w.at(from + 4, [&w] { w.cancel("j-2"); });
    std::size_t kept_by_leader = 0;
    w.at(from + o.lease_s + o.heartbeat_interval_s * 1.5,
         [&] { kept_by_leader = on_machines(w, "j-1", "b"); });
    w.run_until(from + o.lease_s * 3);
    // Nobody but these was to lose anything.
    EXPECT_EQ(lapsed(w, "a"), 0u);
    EXPECT_EQ(lapsed(w, "b"), machines(w, "b"));
    EXPECT_EQ(kept_by_leader > 0, c.leads) << "inside, after a lease without the region";
    EXPECT_EQ(on_machines(w, "j-1"), 6u) << "started anew once it was proven gone";
    EXPECT_EQ(on_machines(w, "j-2"), 0u);
    w.run_until(from + o.lease_s * 5);
    EXPECT_EQ(on_machines(w, "j-1"), 6u);
    EXPECT_EQ(on_machines(w, "j-2"), 0u);
    expect_unbroken(w);
}

// Leaders change ten times in two minutes, also inside an outage. Each change takes leases some seconds, but
// what is renewed in between lasts over it: nothing is killed, deleted or started again.
struct Changes {
    const char* name;
    double outage_s;      // of the key-value store, begun with the fifth change; 0: none
    double back_after_s;  // of the one that ended
};
const Changes changes[] = {
    {"one after the other", 0, 4},
    {"back at once", 0, 0.2},
    {"inside an outage", 12, 4},
    {"back at once inside an outage", 12, 0.2},
};
class TenLeaders : public testing::TestWithParam<Changes> {};
INSTANTIATE_TEST_SUITE_P(Liveness, TenLeaders, testing::ValuesIn(changes));
TEST_P(TenLeaders, LoseNoWorkersLease) {
    spdlog::set_level(spdlog::level::off);
    auto c = GetParam();
    Options o;
    SimulatedCluster w(o);
    run_long_work(w);
    ASSERT_EQ(on_machines(w, "j-1") + on_machines(w, "j-2"), 12u);
    auto starts = w.starts;
    std::set<std::size_t> led;
    for (int k = 0; k < 10; ++k)
        w.at(30 + 12 * k, [&w, &led, c] {
            led.insert(lead(w));
            w.crash(lead(w), c.back_after_s);
        });
    if (c.outage_s > 0) w.at(30 + 12 * 4 - 1, [&w, c] { w.state_down(c.outage_s); });
    w.at(100, [&w] { w.cancel("j-2"); });
    w.run_until(200);
    EXPECT_EQ(lapsed(w), 0u);
    EXPECT_EQ(w.deleted, 0u);
    EXPECT_EQ(w.starts, starts);
    EXPECT_EQ(on_machines(w, "j-1"), 6u);
    EXPECT_EQ(on_machines(w, "j-2"), 0u);
    EXPECT_GT(led.size(), 1u);
    expect_unbroken(w);
}

// All controllers are away for longer than `lease_s`, perhaps but for a moment in which some workers are
// answered and others not. Afterwards nothing is placed before each machine has said what is left there.
struct Away {
    const char* name;
    double back_s;    // when they are back for a moment, after they went; 0: they aren't
    double for_s;     // that moment
    double away_s;    // in all
    bool replicated;  // whether they know of what was where, before
};
const Away aways[] = {
    {"throughout", 0, 0, 32, true},
    {"throughout, and know nothing", 0, 0, 32, false},
    {"but for a moment", 16, 2, 36, true},
    {"but for a moment, and know nothing", 16, 2, 36, false},
};
class NoController : public testing::TestWithParam<Away> {};
INSTANTIATE_TEST_SUITE_P(Liveness, NoController, testing::ValuesIn(aways));
TEST_P(NoController, IsSurvivedByWhatWasAnswered) {
    spdlog::set_level(spdlog::level::off);
    auto c = GetParam();
    Options o;
    o.machines = 9;
    if (!c.replicated) o.without_replication = {0, 1, 2};
    SimulatedCluster w(o);
    w.at(2, [&w] {
        w.submit("j-1", "batch", 6, 400);
        w.submit("j-2", "service", 6, 0);
    });
    w.run_until(24);
    ASSERT_EQ(on_machines(w, "j-1") + on_machines(w, "j-2"), 12u);
    w.cancel("j-2");
    w.run_until(25);
    ASSERT_TRUE(w.jobs["j-2"].cancelled);
    auto all = [&w](double back_after) {
        for (std::size_t k = 0; k < 3; ++k) w.crash(k, back_after);
    };
    all(c.back_s > 0 ? c.back_s : c.away_s);
    if (c.back_s > 0) w.at(25 + c.back_s + c.for_s, [&] { all(c.away_s - c.back_s - c.for_s); });
    w.run_until(25 + c.away_s);
    auto dead = lapsed(w);
    EXPECT_EQ(dead == machines(w), c.back_s == 0) << dead;
    EXPECT_GT(dead, 0u);
    EXPECT_EQ(on_machines(w, "j-2"), 0u);
    w.run_until(25 + c.away_s + 50);
    EXPECT_EQ(on_machines(w, "j-1"), 6u);
    EXPECT_EQ(on_machines(w, "j-2"), 0u);
    expect_unbroken(w);
}

}  // namespace
}  // namespace coralhitch::simulation
