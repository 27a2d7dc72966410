// Tests of teams at their limits while jobs are cancelled or end on machines that do not answer, and the
// leader changes.
#include <array>

#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Fault of the machines whose tasks use up a team's limit.
enum class Unavailability { hang, hang_briefly, no_answers, partitioned };

void make_unavailable(SimulatedCluster& cluster, Unavailability how, std::size_t machine, double for_s) {
    auto& worker = *cluster.workers[machine];
    if (how == Unavailability::hang) cluster.hang_machine(machine, for_s);
    if (how == Unavailability::hang_briefly) cluster.hang_machine(machine, 9);
    if (how == Unavailability::no_answers) cluster.partition_one_way("10.0.", worker.addr, for_s);
    if (how == Unavailability::partitioned) cluster.partition("10.0.", worker.addr, for_s);
}

// Returns the time in s after the last change of the leader within which a waiting job must start. It is the
// bound of docs/design.md: the new leader assumes that its predecessor renewed leases for as long as
// `cancel_s` allows. Two heartbeat periods are added for the plan and the start.
double quota_release_bound_s(const Options& options) {
    return options.cancel_s + 2 * options.heartbeat_interval_s;
}

// Guards against exceeding a team's limit, and against waiting for longer than the bound. Both teams are at
// their limits, and their machines are unavailable while the jobs are cancelled. The leader crashes shortly
// before or after the cancellation, and its successor a few seconds later. The last leader knows the jobs
// only from the key-value store. The cloud deletes no machine, so only the end of a lease is evidence that a
// task has terminated. Waiting jobs must start after that evidence, and within the bound.
struct LimitCase {
    const char* name;
    Unavailability how;
    // Time of the crash in s after the cancellation, which is 2 s after the machines become unavailable.
    double leader_crashes_after;
    bool replicated;  // the next leader has a replica of the crashed leader's state
};
void PrintTo(const LimitCase& limit_case, std::ostream* out) {
    *out << limit_case.name;
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
// Two jobs of each team (j-1x: `tight`, j-2x: `free`), which use up its limit. They run on machines that a
// filler service keeps from being returned to the cloud.
constexpr std::array first_jobs{"j-11", "j-12", "j-21", "j-22"};
void fill_both_teams(SimulatedCluster& cluster) {
    cluster.at(1.9, [&cluster] { submit_service_on_every_machine(cluster); });
    cluster.at(2, [&cluster] {
        for (auto* team : {"tight", "free"}) {
            std::string prefix = team == std::string("tight") ? "j-1" : "j-2";
            cluster.submit(prefix + "1", "batch", 2, 300, {{"crew", team}, {"cards", 1.0}});
            cluster.submit(prefix + "2", "service", 2, 0, {{"crew", team}, {"cards", 1.0}});
        }
    });
    cluster.run_until(25);
    for (auto* id : first_jobs) ASSERT_EQ(tasks_on_machines(cluster, id), 2u) << id;
}
bool holds_any_first_job(const Worker& worker) {
    return std::any_of(first_jobs.begin(), first_jobs.end(),
                       [&worker](auto* id) { return tasks_on_machine(worker, id) > 0; });
}
TEST_P(TeamsAtTheirLimits, StartNothingBeforeEvidenceOfTerminationAndWaitNoLonger) {
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
    EXPECT_EQ(tasks_on_machines(cluster, "j-11") + tasks_on_machines(cluster, "j-12"), 0u);
    EXPECT_GT(tasks_on_machines(cluster, "j-13") + cluster.jobs["j-13"].tasks_done.size(), 0u);
    EXPECT_GT(tasks_on_machines(cluster, "j-23") + cluster.jobs["j-23"].tasks_done.size(), 0u);
    cluster.run_until(240);
    EXPECT_TRUE(cluster.jobs["j-13"].done && cluster.jobs["j-23"].done);
    expect_no_violations(cluster);
}

// Guards against exceeding a team's limit with the remaining tasks of a done gang. A gang is done when one of
// its tasks has ended, but its tasks on a hung machine still exist. The next leader knows only that the job
// is done, and must count these tasks for the team.
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
    ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 2u);
    std::optional<std::size_t> machine_with_task;
    for (std::size_t k = 0; k < cluster.workers.size() && !machine_with_task; ++k)
        if (tasks_on_machine(*cluster.workers[k], "j-1") == 1) machine_with_task = k;
    ASSERT_TRUE(machine_with_task);
    cluster.start_cloud_outage(60);
    cluster.at(cluster.now() + 4,
               [&cluster, machine_with_task] { cluster.hang_machine(*machine_with_task, 18); });
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

// Guards against exceeding a team's limit when a job is cancelled during a failover. The new leader cannot
// query some of the machines that run tasks of the team. The tasks on them must count, both if the
// cancellation comes before and if it comes after the new leader has listed the jobs.
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
    ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 5u);
    cluster.at(25, [&cluster] {
        cluster.submit("j-2", "service", 5, 0, {{"crew", "tight"}, {"rank", "high"}});
    });
    cluster.start_cloud_outage(90);
    std::size_t machines_with_task = 0;
    for (auto& worker : cluster.workers)
        if (tasks_on_machine(*worker, "j-1") > 0 && machines_with_task++ % 2 == 0)
            cluster.partition("10.0.", worker->addr, 70);
    ASSERT_GT(machines_with_task, 1u);
    cluster.at(30, [&cluster] { cluster.crash(leader_of(cluster), 5); });
    cluster.at(30 + cancelled_after, [&cluster] { cluster.cancel("j-1"); });
    cluster.run_until(30 + cancelled_after + quota_release_bound_s(options));
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 0u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 5u);
    cluster.cancel("j-2");
    cluster.run_until(200);
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation
