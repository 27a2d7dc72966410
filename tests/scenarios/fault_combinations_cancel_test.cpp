// Tests of jobs that are cancelled in the seconds of a failover.
#include "protocol/agent_api.hpp"
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Cancels the job through this controller only.
void cancel_at(SimulatedCluster& cluster, std::size_t node, const std::string& id) {
    cluster.ask_cancellation(id);
    cluster.send_user_request(node, {"POST", "/api/jobs/" + id + "/cancel", ""},
                              [&cluster, id](http::Response response) {
                                  if (response.status != 200 || cluster.jobs[id].cancelled) return;
                                  cluster.confirm_cancellation(id);
                              });
}
// Hides changes of the job's record from this controller's watches, so that it learns of the cancellation
// only from the notices of other controllers. Removes it from the load balancer, because it would give users
// an outdated answer.
void hide_cancellation_from(SimulatedCluster& cluster, std::size_t node, const std::string& id) {
    cluster.hide_job_from(node, id);
    cluster.remove_from_load_balancer(node);
}
// Starts a job that the test cancels (j-1) and a service that stays (j-2), each with one task per machine,
// and runs until 30 s.
void fill_machines(SimulatedCluster& cluster) {
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 6, 300);
        cluster.submit("j-2", "service", 6, 0);
    });
    cluster.run_until(30);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    ASSERT_EQ(tasks_on_machines(cluster, "j-2"), 6u);
}

// Guards against a cancellation that the leader never learns of: the notice of the controller that confirmed
// it is lost, and the leader's watch does not return it. The notice must be repeated.
TEST(FaultCombination, LostCancellationNoticeIsRepeated) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    fill_machines(cluster);
    auto leader = leader_of(cluster), other = (leader + 1) % 3;
    hide_cancellation_from(cluster, leader, "j-1");
    cluster.partition(host_of(other), host_of(leader), 3);
    cancel_at(cluster, other, "j-1");
    cluster.run_until(32);
    ASSERT_TRUE(cluster.jobs["j-1"].cancelled);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    cluster.run_until(36);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 0u);
    cluster.run_until(90);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 6u);
    expect_no_violations(cluster);
}

// Guards against losing a cancellation that is confirmed between the crash of a leader and the first plan of
// the next one. The next leader lists the jobs before or after the cancellation, its watch does not return
// it, and the notice may arrive before it has read the jobs.
class CancellationBetweenLeaders : public testing::TestWithParam<std::tuple<double, std::size_t>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, CancellationBetweenLeaders,
                         testing::Combine(testing::Values(0.01, 0.5, 1.0, 1.5, 1.9, 2.1, 2.2, 2.3, 2.4, 2.5,
                                                          2.6, 2.8, 3.2),
                                          testing::Values(1, 2)),
                         [](auto& info) {
                             auto after = std::get<0>(info.param);
                             auto distance = std::get<1>(info.param);
                             return "After" + seconds_name(after) + "ThroughController" +
                                    std::to_string(distance) + "FromLeader";
                         });
TEST_P(CancellationBetweenLeaders, StopsTasksWithTheFirstDecision) {
    spdlog::set_level(spdlog::level::off);
    auto [after, distance] = GetParam();
    SimulatedCluster cluster({});
    fill_machines(cluster);
    auto old = leader_of(cluster), confirms = (old + distance) % 3, next = (old + 3 - distance) % 3;
    cluster.crash(old, 8);
    cluster.at(30 + after, [&, confirms = confirms] {
        hide_cancellation_from(cluster, next, "j-1");
        cancel_at(cluster, confirms, "j-1");
    });
    cluster.run_until(30 + after + 1);
    ASSERT_TRUE(cluster.jobs["j-1"].cancelled);
    cluster.run_until(38);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 0u);
    cluster.run_until(100);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 6u);
    expect_no_violations(cluster);
}

// Guards against losing a cancellation during a failover whose reads are slow: the first notice arrives while
// the next leader reads the list of jobs, and the list is older than the cancellation. The cancellation comes
// at each of several moments after the claim of the leadership.
class CancellationWhileNextLeaderReads : public testing::TestWithParam<double> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, CancellationWhileNextLeaderReads, testing::Range(0.0, 1.2, 0.1),
                         [](auto& info) { return "After" + seconds_name(info.param); });
TEST_P(CancellationWhileNextLeaderReads, IsNotLost) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    fill_machines(cluster);
    auto old = leader_of(cluster);
    std::optional<double> claimed;
    cluster.on_message = [&](auto& from, auto&, auto& request) {
        bool claim = request.target == "/txn" && request.body.find(R"("put":"leader")") != std::string::npos;
        if (!claim || claimed || cluster.now() < 30) return;
        claimed = cluster.now();
        std::size_t next = from == cluster.addr_of(0) ? 0 : from == cluster.addr_of(1) ? 1 : 2;
        cluster.at(cluster.now() + GetParam(), [&cluster, next, old] {
            hide_cancellation_from(cluster, next, "j-1");
            cancel_at(cluster, 3 - next - old, "j-1");
        });
    };
    cluster.crash(old, 12);
    cluster.key_value_store.slow_down(6, 0.25);
    cluster.run_until(41);
    ASSERT_TRUE(claimed);
    ASSERT_TRUE(cluster.jobs["j-1"].cancelled);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 0u);
    cluster.run_until(100);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 6u);
    expect_no_violations(cluster);
}

// Guards against answers to heartbeats that extend the lease of a worker with a cancelled task beyond the
// bound for cancellations (`cancel_s`). The relays change their leader and send the heartbeats that they hold
// to the next one. Soon afterwards no command reaches a machine, and the cloud deletes none.
class RelaysThatChangeLeader : public testing::TestWithParam<std::tuple<double, double>> {};
INSTANTIATE_TEST_SUITE_P(
    FaultCombinations, RelaysThatChangeLeader,
    testing::Combine(testing::Values(0.1, 1.5, 2.3, 3.0), testing::Values(0.2, 1.0, 3.0)), [](auto& info) {
        auto after = std::get<0>(info.param);
        auto cut_after = std::get<1>(info.param);
        return "After" + seconds_name(after) + "PartitionedAfter" + seconds_name(cut_after);
    });
TEST_P(RelaysThatChangeLeader, RenewNoLeaseForACancelledTask) {
    spdlog::set_level(spdlog::level::off);
    auto [after, cut_after] = GetParam();
    Options options;
    options.machines = 9;
    SimulatedCluster cluster(options);
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 9, 300);
        cluster.submit("j-2", "service", 9, 0);
    });
    cluster.run_until(40);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 9u);
    auto old = leader_of(cluster);
    cluster.start_cloud_outage(100);
    cluster.partition(host_of(old), "10.1.", 20, Packets::held);  // its messages arrive 20 s later
    cluster.at(40.3, [&cluster, old] { cluster.crash(old, 0.2); });
    cluster.at(40 + after, [&cluster] { cluster.cancel("j-1"); });
    cluster.at(40 + after + cut_after, [&cluster] { cluster.partition_one_way("10.0.", "10.1.", 60); });
    cluster.run_until(160);
    ASSERT_TRUE(cluster.jobs["j-1"].cancelled);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 0u);
    cluster.run_until(200);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 9u);
    expect_no_violations(cluster);
}

// Guards against tasks of a cancelled job that keep running because their `run` commands arrive late. The
// commands of a crashed leader are delayed, the next leader starts the remaining tasks, and the job is
// cancelled before, between or after these starts.
class StartsOfTwoLeaders : public testing::TestWithParam<std::tuple<double, bool>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, StartsOfTwoLeaders,
                         testing::Combine(testing::Values(0.05, 0.5, 2.2, 2.8, 4.0, 7.0), testing::Bool()),
                         [](auto& info) {
                             auto after = std::get<0>(info.param);
                             auto replicated = std::get<1>(info.param);
                             return "After" + seconds_name(after) +
                                    (replicated ? "WithReplicas" : "WithoutReplicas");
                         });
TEST_P(StartsOfTwoLeaders, AreStoppedOnceTheyArrive) {
    spdlog::set_level(spdlog::level::off);
    auto [after, replicated] = GetParam();
    Options options;
    options.machines = 8;
    if (!replicated) options.without_replication = {0, 1, 2};
    SimulatedCluster cluster(options);
    cluster.at(2, [&cluster] { cluster.submit("j-2", "service", 8, 0); });
    cluster.run_until(29.5);
    auto old = leader_of(cluster);
    std::optional<double> begun;
    cluster.on_message = [&](auto&, auto&, auto& request) {
        bool starts =
            request.target == protocol::paths::commands && request.body.find("j-1/") != std::string::npos;
        if (!starts || begun) return;
        begun = cluster.now();
        cluster.at(cluster.now() + 0.004, [&cluster, old] {
            cluster.partition(host_of(old), "10.1.", 5, Packets::held);
            cluster.crash(old, 9);
        });
        cluster.at(cluster.now() + after, [&cluster] { cluster.cancel("j-1"); });
    };
    cluster.at(30, [&cluster] { cluster.submit("j-1", "batch", 12, 300); });
    cluster.run_until(52);
    ASSERT_TRUE(begun);
    ASSERT_TRUE(cluster.jobs["j-1"].cancelled);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 0u);
    cluster.run_until(120);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 8u);
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation
