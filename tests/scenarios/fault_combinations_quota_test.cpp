// Teams at their limits while jobs are cancelled or end on machines that don't answer, and leaders change.
#include <array>

#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// What the machines go through that hold all of a team's limit.
enum class Unavailability { hang, hang_briefly, no_answers, partitioned };

void make_unavailable(SimulatedCluster& cluster, Unavailability how, std::size_t machine, double for_s) {
    auto& worker = *cluster.workers[machine];
    if (how == Unavailability::hang) cluster.hang_machine(machine, for_s);
    if (how == Unavailability::hang_briefly) cluster.hang_machine(machine, 9);
    if (how == Unavailability::no_answers) cluster.partition_one_way("10.0.", worker.addr, for_s);
    if (how == Unavailability::partitioned) cluster.partition("10.0.", worker.addr, for_s);
}

// The bound that docs/design.md states, after the last change of the leader: the new one counts on the one
// before having renewed leases for as long as `cancel_s` allows. Some heartbeat periods are for the plan and
// the start.
double quota_release_bound_s(const Options& options) {
    return options.cancel_s + 2 * options.heartbeat_interval_s;
}

// Both teams are at their limits. Their machines are away while the jobs are cancelled, and the leader
// changes before, after or in between, to one that knows the jobs only from what is stored. The cloud answers
// no deletion, so only time proves anything gone. What waits starts within the bound, and nothing before the
// proof.
struct LimitCase {
    const char* name;
    Unavailability how;
    double leader_crashes_after;  // after the cancellation; it comes 2 s after the machines go away
    bool replicated;              // the next leader follows the one before
};
void PrintTo(const LimitCase& limit_cases, std::ostream* out) {
    *out << limit_cases.name;
}
const LimitCase limit_cases[] = {
    {"hang, leader crashes before", Unavailability::hang, -1, true},
    {"hang, leader crashes after", Unavailability::hang, 0.5, true},
    {"hang, leader crashes at the cancellation", Unavailability::hang, 0.01, false},
    {"hang briefly", Unavailability::hang_briefly, 0.3, true},
    {"hang briefly, no replica", Unavailability::hang_briefly, 0.3, false},
    {"no answers", Unavailability::no_answers, 1, true},
    {"no answers, no replica", Unavailability::no_answers, 1, false},
    {"partitioned", Unavailability::partitioned, -0.5, true},
    {"partitioned, late change", Unavailability::partitioned, 9, false},
};
class TeamsAtTheirLimits : public testing::TestWithParam<LimitCase> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, TeamsAtTheirLimits, testing::ValuesIn(limit_cases), NameOfCase());
// Two jobs of each team, which fill its limit, on machines that a filler keeps.
constexpr std::array first_jobs{"j-11", "j-12", "j-21", "j-22"};
void fill_both_teams(SimulatedCluster& cluster) {
    cluster.at(1.9, [&cluster] { submit_filler(cluster); });
    cluster.at(2, [&cluster] {
        for (auto* team : {"tight", "free"}) {
            std::string prefix = team == std::string("tight") ? "j-1" : "j-2";
            cluster.submit(prefix + "1", "batch", 2, 300, {{"crew", team}, {"cards", 1.0}});
            cluster.submit(prefix + "2", "service", 2, 0, {{"crew", team}, {"cards", 1.0}});
        }
    });
    cluster.run_until(25);
    for (auto* id : first_jobs) ASSERT_EQ(on_machines(cluster, id), 2u) << id;
}
bool holds_any_first_job(const Worker& worker) {
    return std::any_of(first_jobs.begin(), first_jobs.end(),
                       [&worker](auto* id) { return on_machine(worker, id) > 0; });
}
TEST_P(TeamsAtTheirLimits, StartNothingBeforeProofOfTerminationAndWaitNoLonger) {
    spdlog::set_level(spdlog::level::off);
    auto test_case = GetParam();
    Options options;
    options.machines = 13;  // the tasks are on eight of them at most
    options.gpus_max = options.free_gpus_max = 4;
    if (!test_case.replicated) options.without_replication = {0, 1, 2};
    SimulatedCluster cluster(options);
    ASSERT_NO_FATAL_FAILURE(fill_both_teams(cluster));
    cluster.at(26, [&cluster] {
        cluster.submit("j-13", "batch", 4, 20, {{"crew", "tight"}});
        cluster.submit("j-23", "gang", 4, 20, {{"crew", "free"}});
    });
    cluster.run_until(30);
    cluster.start_cloud_outage(120);
    for (std::size_t k = 0; k < cluster.workers.size(); ++k)
        if (holds_any_first_job(*cluster.workers[k])) make_unavailable(cluster, test_case.how, k, 100);
    for (auto* id : first_jobs) cluster.at(32, [&cluster, id] { cluster.cancel(id); });
    cluster.at(32 + test_case.leader_crashes_after, [&cluster] { cluster.crash(leader_of(cluster), 0.2); });
    cluster.at(32 + test_case.leader_crashes_after + 3.5,
               [&cluster] { cluster.crash(leader_of(cluster), 4); });
    cluster.run_until(32 + test_case.leader_crashes_after + 3.5 + quota_release_bound_s(options));
    EXPECT_EQ(on_machines(cluster, "j-11") + on_machines(cluster, "j-12"), 0u);
    EXPECT_GT(on_machines(cluster, "j-13") + cluster.jobs["j-13"].tasks_done.size(), 0u);
    EXPECT_GT(on_machines(cluster, "j-23") + cluster.jobs["j-23"].tasks_done.size(), 0u);
    cluster.run_until(240);
    EXPECT_TRUE(cluster.jobs["j-13"].done && cluster.jobs["j-23"].done);
    expect_no_violations(cluster);
}

// A gang is over for its user when one of its tasks has ended; those on a machine that hangs are still there.
// The next leader knows of the job only that it is done, and must not fill the team's limit beside them.
class DoneGangStillOnMachine : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, DoneGangStillOnMachine, testing::Bool(),
                         [](auto& info) { return info.param ? "WithReplicas" : "WithoutReplicas"; });
TEST_P(DoneGangStillOnMachine, CountsForItsTeam) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 4;
    options.gpus_max = 6;
    if (!GetParam()) options.without_replication = {0, 1, 2};
    SimulatedCluster cluster(options);
    cluster.at(2, [&cluster] { cluster.submit("j-1", "gang", 2, 25, {{"crew", "tight"}, {"cards", 3.0}}); });
    cluster.at(2, [&cluster] { cluster.submit("j-9", "service", 4, 0, {{"cards", 1.0}}); });
    cluster.run_until(20);
    ASSERT_EQ(on_machines(cluster, "j-1"), 2u);
    std::optional<std::size_t> held;
    for (std::size_t k = 0; k < cluster.workers.size() && !held; ++k)
        if (on_machine(*cluster.workers[k], "j-1") == 1) held = k;
    ASSERT_TRUE(held);
    cluster.start_cloud_outage(60);
    cluster.at(cluster.now() + 4, [&cluster, held] { cluster.hang_machine(*held, 18); });
    cluster.at(21, [&cluster] { cluster.submit("j-2", "batch", 6, 30, {{"crew", "tight"}}); });
    double done_at = -1;
    for (double time = 21; time < 60; time += 0.1)
        cluster.at(time, [&cluster, &done_at] {
            if (done_at >= 0 || !cluster.jobs["j-1"].done) return;
            done_at = cluster.now();
            cluster.crash(leader_of(cluster), 0.2);
            cluster.at(done_at + 4, [&cluster] { cluster.crash(leader_of(cluster), 2); });
        });
    cluster.run_until(170);
    EXPECT_GT(done_at, 0);
    EXPECT_TRUE(cluster.jobs["j-2"].done);
    expect_no_violations(cluster);
}

// A cancellation falls into the spell in which a new leader can't ask some machines of a team at its limit:
// whether it comes before or after the new one has listed the jobs, what is there counts.
class CancellationDuringFailover : public testing::TestWithParam<std::tuple<double, bool>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, CancellationDuringFailover,
                         testing::Combine(testing::Values(0.05, 1.0, 2.2, 2.6, 3.2, 5.0), testing::Bool()),
                         [](auto& info) {
                             auto cancelled_after = std::get<0>(info.param);
                             auto replicated = std::get<1>(info.param);
                             return "After" + seconds_name(cancelled_after) +
                                    (replicated ? "WithReplicas" : "WithoutReplicas");
                         });
TEST_P(CancellationDuringFailover, CountsRemainingTasksForTheirTeam) {
    spdlog::set_level(spdlog::level::off);
    auto [cancelled_after, replicated] = GetParam();
    Options options;
    options.machines = 5;
    options.gpus_max = 5;
    if (!replicated) options.without_replication = {0, 1, 2};
    SimulatedCluster cluster(options);
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 5, 300, {{"crew", "tight"}, {"driftwood", false}});
        cluster.submit("j-9", "service", 5, 0);
    });
    cluster.run_until(25);
    ASSERT_EQ(on_machines(cluster, "j-1"), 5u);
    cluster.at(25, [&cluster] {
        cluster.submit("j-2", "service", 5, 0, {{"crew", "tight"}, {"rank", "high"}});
    });
    cluster.start_cloud_outage(90);
    std::size_t unreached = 0;
    for (auto& worker : cluster.workers)
        if (on_machine(*worker, "j-1") > 0 && unreached++ % 2 == 0)
            cluster.partition("10.0.", worker->addr, 70);
    ASSERT_GT(unreached, 1u);
    cluster.at(30, [&cluster] { cluster.crash(leader_of(cluster), 5); });
    cluster.at(30 + cancelled_after, [&cluster] { cluster.cancel("j-1"); });
    cluster.run_until(30 + cancelled_after + quota_release_bound_s(options));
    EXPECT_EQ(on_machines(cluster, "j-1"), 0u);
    EXPECT_EQ(on_machines(cluster, "j-2"), 5u);
    cluster.cancel("j-2");
    cluster.run_until(200);
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation
