// Teams at their limits while jobs are cancelled or end on machines that don't answer, and leaders change.
#include "scenarios/fault_combinations_support.hpp"

namespace coralhitch::simulation {
namespace {

// What the machines go through that hold all of a team's limit.
enum class Away { hang, hang_briefly, no_answers, cut_off };

void away(SimulatedCluster& w, Away how, std::size_t machine, double for_s) {
    auto& m = *w.workers[machine];
    if (how == Away::hang) w.hang(machine, for_s);
    if (how == Away::hang_briefly) w.hang(machine, 9);
    if (how == Away::no_answers) w.cut_one_way("10.0.", m.addr, for_s);
    if (how == Away::cut_off) w.cut("10.0.", m.addr, for_s, false);
}

// The bound that docs/design.md states, after the last change of the leader: the new one counts on the one
// before having renewed leases for as long as `cancel_s` allows. Some report periods are for the plan and the
// start.
double given_back_s(const Options& o) {
    return o.cancel_s + 2 * o.heartbeat_interval_s;
}

// Both teams are at their limits. Their machines are away while the jobs are cancelled, and the leader
// changes before, after or in between, to one that knows the jobs only from what is stored. The cloud answers
// no deletion, so only time proves anything gone. What waits starts within the bound, and nothing before the
// proof.
struct Limits {
    const char* name;
    Away how;
    double leader_ends;  // after the cancellation; it comes 2 s after the machines go away
    bool warm;           // the next leader follows the one before
};
void PrintTo(const Limits& l, std::ostream* out) {
    *out << l.name;
}
const Limits limits[] = {
    {"hang, leader ends before", Away::hang, -1, true},
    {"hang, leader ends after", Away::hang, 0.5, true},
    {"hang, leader ends at the cancellation", Away::hang, 0.01, false},
    {"hang briefly", Away::hang_briefly, 0.3, true},
    {"hang briefly, nobody follows", Away::hang_briefly, 0.3, false},
    {"no answers", Away::no_answers, 1, true},
    {"no answers, nobody follows", Away::no_answers, 1, false},
    {"cut off", Away::cut_off, -0.5, true},
    {"cut off, late change", Away::cut_off, 9, false},
};
class EveryTeamAtItsLimit : public testing::TestWithParam<Limits> {};
INSTANTIATE_TEST_SUITE_P(Meeting, EveryTeamAtItsLimit, testing::ValuesIn(limits));
TEST_P(EveryTeamAtItsLimit, StartsNothingBeforeTheProofAndWaitsNoLonger) {
    spdlog::set_level(spdlog::level::off);
    auto c = GetParam();
    Options o;
    o.machines = 13;  // the tasks are on eight of them at most
    o.gpus_max = o.free_gpus_max = 4;
    if (!c.warm) o.without_replication = {0, 1, 2};
    SimulatedCluster w(o);
    w.at(1.9, [&w] {  // keeps the machines
        w.submit("j-9", "service", static_cast<int>(w.workers.size()), 0, {{"cards", 0.0}, {"vcpus", 13.0}});
    });
    w.at(2, [&w] {
        for (auto* team : {"tight", "free"}) {
            std::string prefix = team == std::string("tight") ? "j-1" : "j-2";
            w.submit(prefix + "1", "batch", 2, 300, {{"crew", team}, {"cards", 1.0}});
            w.submit(prefix + "2", "service", 2, 0, {{"crew", team}, {"cards", 1.0}});
        }
    });
    w.run_until(25);
    for (auto* id : {"j-11", "j-12", "j-21", "j-22"}) ASSERT_EQ(on_machines(w, id), 2u) << id;
    w.at(26, [&w] {
        w.submit("j-13", "batch", 4, 20, {{"crew", "tight"}});
        w.submit("j-23", "gang", 4, 20, {{"crew", "free"}});
    });
    w.run_until(30);
    w.cloud_down(120);
    std::vector<std::size_t> gone;
    for (std::size_t k = 0; k < w.workers.size(); ++k)
        if (on_machine(*w.workers[k], "j-11") + on_machine(*w.workers[k], "j-12") +
                on_machine(*w.workers[k], "j-21") + on_machine(*w.workers[k], "j-22") >
            0)
            away(w, c.how, k, 100);
    for (auto* id : {"j-11", "j-12", "j-21", "j-22"}) w.at(32, [&w, id] { w.cancel(id); });
    w.at(32 + c.leader_ends, [&w] { w.crash(lead(w), 0.2); });
    w.at(32 + c.leader_ends + 3.5, [&w] { w.crash(lead(w), 4); });
    w.run_until(32 + c.leader_ends + 3.5 + given_back_s(o));
    EXPECT_EQ(on_machines(w, "j-11") + on_machines(w, "j-12"), 0u);
    EXPECT_GT(on_machines(w, "j-13") + w.jobs["j-13"].tasks_done.size(), 0u);
    EXPECT_GT(on_machines(w, "j-23") + w.jobs["j-23"].tasks_done.size(), 0u);
    w.run_until(240);
    EXPECT_TRUE(w.jobs["j-13"].done && w.jobs["j-23"].done);
    expect_unbroken(w);
}

// A gang is over for its user when one of its tasks has ended; those on a machine that hangs are still there.
// The next leader knows of the job only that it is done, and must not fill the team's limit beside them.
class DoneButThere : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(Meeting, DoneButThere, testing::Bool());
TEST_P(DoneButThere, CountsForItsTeam) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    o.machines = 4;
    o.gpus_max = 6;
    if (!GetParam()) o.without_replication = {0, 1, 2};
    SimulatedCluster w(o);
    w.at(2, [&w] { w.submit("j-1", "gang", 2, 25, {{"crew", "tight"}, {"cards", 3.0}}); });
    w.at(2, [&w] { w.submit("j-9", "service", 4, 0, {{"cards", 1.0}}); });
    w.run_until(20);
    ASSERT_EQ(on_machines(w, "j-1"), 2u);
    std::optional<std::size_t> held;
    for (std::size_t k = 0; k < w.workers.size() && !held; ++k)
        if (on_machine(*w.workers[k], "j-1") == 1) held = k;
    ASSERT_TRUE(held);
    w.cloud_down(60);
    w.at(w.now() + 4, [&w, held] { w.hang(*held, 18); });
    w.at(21, [&w] { w.submit("j-2", "batch", 6, 30, {{"crew", "tight"}}); });
    double done_at = -1;
    for (double t = 21; t < 60; t += 0.1)
        w.at(t, [&w, &done_at] {
            if (done_at >= 0 || !w.jobs["j-1"].done) return;
            done_at = w.now();
            w.crash(lead(w), 0.2);
            w.at(done_at + 4, [&w] { w.crash(lead(w), 2); });
        });
    w.run_until(170);
    EXPECT_GT(done_at, 0);
    EXPECT_TRUE(w.jobs["j-2"].done);
    expect_unbroken(w);
}

// A cancellation falls into the spell in which a new leader can't ask some machines of a team at its limit:
// whether it comes before or after the new one has listed the jobs, what is there counts.
class SpellOfAChange : public testing::TestWithParam<std::tuple<double, bool>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, SpellOfAChange,
                         testing::Combine(testing::Values(0.05, 1.0, 2.2, 2.6, 3.2, 5.0), testing::Bool()));
TEST_P(SpellOfAChange, CountsWhatIsLeftOfTheCancelled) {
    spdlog::set_level(spdlog::level::off);
    auto [cancelled_after, warm] = GetParam();
    Options o;
    o.machines = 5;
    o.gpus_max = 5;
    if (!warm) o.without_replication = {0, 1, 2};
    SimulatedCluster w(o);
    w.at(2, [&w] {
        w.submit("j-1", "batch", 5, 300, {{"crew", "tight"}, {"driftwood", false}});
        w.submit("j-9", "service", 5, 0);
    });
    w.run_until(25);
    ASSERT_EQ(on_machines(w, "j-1"), 5u);
    w.at(25, [&w] { w.submit("j-2", "service", 5, 0, {{"crew", "tight"}, {"rank", "high"}}); });
    w.cloud_down(90);
    std::size_t unreached = 0;
    for (auto& m : w.workers)
        if (on_machine(*m, "j-1") > 0 && unreached++ % 2 == 0) w.cut("10.0.", m->addr, 70, false);
    ASSERT_GT(unreached, 1u);
    w.at(30, [&w] { w.crash(lead(w), 5); });
    w.at(30 + cancelled_after, [&w] { w.cancel("j-1"); });
    w.run_until(30 + cancelled_after + given_back_s(o));
    EXPECT_EQ(on_machines(w, "j-1"), 0u);
    EXPECT_EQ(on_machines(w, "j-2"), 5u);
    w.cancel("j-2");
    w.run_until(200);
    expect_unbroken(w);
}

}  // namespace
}  // namespace coralhitch::simulation
