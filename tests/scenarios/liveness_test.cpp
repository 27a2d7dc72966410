// Tests of workers' leases when no controller, or only some controllers, may renew them: a zone is
// partitioned together with a controller, the leader changes repeatedly, or all controllers are down.
// docs/testing.md lists the cases.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Returns the number of machines in a zone, or in both zones if `zone` is empty. With `expired_only`, counts
// only machines whose worker's lease has expired.
std::size_t count_machines(const SimulatedCluster& cluster, const std::string& zone = "",
                           bool expired_only = false) {
    std::size_t n = 0;
    for (auto& worker : cluster.workers)
        n += !worker->dead && (zone.empty() || worker->zone == zone) &&
             (!expired_only || worker->agent_epoch > 1);
    return n;
}
std::size_t count_expired_leases(const SimulatedCluster& cluster, const std::string& zone = "") {
    return count_machines(cluster, zone, true);
}
// Crashes leaders until this controller is the leader (`wanted`) or is not the leader (not `wanted`).
void change_leader_until(SimulatedCluster& cluster, std::size_t node, bool wanted) {
    for (int tries = 0; tries < 30 && (leader_of(cluster) == node) != wanted; ++tries) {
        cluster.crash(leader_of(cluster), 2);
        cluster.run_until(cluster.now() + 6);
    }
    cluster.run_until(cluster.now() + 8);
    ASSERT_EQ(leader_of(cluster) == node, wanted);
}
// The controller in zone b. Every other machine is in zone b as well.
constexpr std::size_t controller_inside = 1;
// Partitions zone b from the other zone, the key-value store and the cloud.
void partition_zone(SimulatedCluster& cluster, double for_s, Packets packets) {
    std::vector<std::string> in{host_of(controller_inside)}, out{"10.2.", host_of(0), host_of(2)};
    for (auto& worker : cluster.workers) (worker->zone == "b" ? in : out).push_back(host_of(*worker));
    for (auto& inside : in)
        for (auto& outside : out) cluster.partition(inside, outside, for_s, packets);
    cluster.remove_from_load_balancer(controller_inside);
}

// Starts an array job with six long tasks (j-1) and a service with six tasks (j-2), and runs until 25 s.
void run_long_jobs(SimulatedCluster& cluster) {
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 6, 400);
        cluster.submit("j-2", "service", 6, 0);
    });
    cluster.run_until(25);
}

// A zone with workers and a controller is partitioned for longer than `lease_s`. Guards against two faults:
// - The controller inside renews the leases for too long. It must stop early enough to meet the bound for a
//   cancellation that it cannot learn of.
// - A leader outside restarts the zone's tasks too early. It must wait until the controller inside may no
//   longer renew leases and one more lease has passed.
struct ZonePartition {
    const char* name;
    bool leads = false;  // the controller inside is the leader when the partition begins
    Packets packets = Packets::dropped;
};
const ZonePartition zone_partitions[] = {
    {.name = "the leader is inside", .leads = true},
    {.name = "the leader is inside, packets held", .leads = true, .packets = Packets::held},
    {.name = "the leader is outside"},
    {.name = "the leader is outside, packets held", .packets = Packets::held},
};
class PartitionedZone : public testing::TestWithParam<ZonePartition> {};
INSTANTIATE_TEST_SUITE_P(Liveness, PartitionedZone, testing::ValuesIn(zone_partitions), NameOfCase());
TEST_P(PartitionedZone, KeepsItsTasksForTheAllowedTimeOnly) {
    spdlog::set_level(spdlog::level::off);
    auto test_case = GetParam();
    Options options;
    SimulatedCluster cluster(options);
    run_long_jobs(cluster);
    change_leader_until(cluster, controller_inside, test_case.leads);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    ASSERT_GT(tasks_on_machines(cluster, "j-1", "b"), 0u);
    ASSERT_EQ(count_expired_leases(cluster), 0u);
    double from = cluster.now();
    partition_zone(cluster, options.lease_s * 3, test_case.packets);
    // The cloud deletes no machine, so only the end of a lease is evidence that a task has terminated.
    cluster.start_cloud_outage(options.lease_s * 3);
    cluster.at(from + 4, [&cluster] { cluster.cancel("j-2"); });
    std::size_t kept_by_leader = 0;
    cluster.at(from + options.lease_s + options.heartbeat_interval_s * 1.5,
               [&] { kept_by_leader = tasks_on_machines(cluster, "j-1", "b"); });
    cluster.run_until(from + options.lease_s * 3);
    // Only the leases of the partitioned zone may expire.
    EXPECT_EQ(count_expired_leases(cluster, "a"), 0u);
    EXPECT_EQ(count_expired_leases(cluster, "b"), count_machines(cluster, "b"));
    EXPECT_EQ(kept_by_leader > 0, test_case.leads) << "tasks in the zone one lease after the partition began";
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 6u) << "not restarted after the leases in the zone ended";
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 0u);
    cluster.run_until(from + options.lease_s * 5);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 0u);
    expect_no_violations(cluster);
}

// Guards against workers' leases that expire because of frequent leader changes. The leader changes ten times
// in two minutes, in some cases during an outage of the key-value store. No lease is renewed for some seconds
// at each change, but the renewals in between must suffice: no task is killed or restarted, and no machine is
// deleted.
struct LeaderChangeCase {
    const char* name;
    double outage_s;      // outage of the key-value store from 1 s before the fifth change; 0: no outage
    double back_after_s;  // time until the crashed leader restarts
};
const LeaderChangeCase leader_change_cases[] = {
    {"one after the other", 0, 4},
    {"back at once", 0, 0.2},
    {"inside an outage", 12, 4},
    {"back at once inside an outage", 12, 0.2},
};
class TenLeaderChanges : public testing::TestWithParam<LeaderChangeCase> {};
INSTANTIATE_TEST_SUITE_P(Liveness, TenLeaderChanges, testing::ValuesIn(leader_change_cases), NameOfCase());
TEST_P(TenLeaderChanges, ExpireNoWorkerLease) {
    spdlog::set_level(spdlog::level::off);
    auto test_case = GetParam();
    Options options;
    SimulatedCluster cluster(options);
    run_long_jobs(cluster);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1") + tasks_on_machines(cluster, "j-2"), 12u);
    auto starts = cluster.starts;
    std::set<std::size_t> leaders;
    for (int k = 0; k < 10; ++k)
        cluster.at(30 + 12 * k, [&cluster, &leaders, test_case] {
            leaders.insert(leader_of(cluster));
            cluster.crash(leader_of(cluster), test_case.back_after_s);
        });
    if (test_case.outage_s > 0)
        cluster.at(30 + 12 * 4 - 1,
                   [&cluster, test_case] { cluster.key_value_store.start_outage(test_case.outage_s); });
    cluster.at(100, [&cluster] { cluster.cancel("j-2"); });
    cluster.run_until(200);
    EXPECT_EQ(count_expired_leases(cluster), 0u);
    EXPECT_EQ(cluster.machines_deleted_with_tasks, 0u);
    EXPECT_EQ(cluster.starts, starts);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 0u);
    EXPECT_GT(leaders.size(), 1u);
    expect_no_violations(cluster);
}

// All controllers are down for longer than `lease_s`, in some cases interrupted by a short time in which some
// of the workers' heartbeats are answered. Guards against starting tasks twice afterwards: no task may be
// placed before each machine has reported which tasks it still has.
struct OutageCase {
    const char* name;
    double back_s = 0;  // time from the crash to the interruption in s; 0: no interruption
    double for_s = 0;   // duration of the interruption in s
    double away_s;      // duration of the whole outage, including the interruption, in s
    bool replicated;    // the controllers replicate state before the outage
};
const OutageCase outage_cases[] = {
    {.name = "throughout", .away_s = 32, .replicated = true},
    {.name = "throughout, and know nothing", .away_s = 32, .replicated = false},
    {.name = "but for a moment", .back_s = 16, .for_s = 2, .away_s = 36, .replicated = true},
    {.name = "but for a moment, and know nothing",
     .back_s = 16,
     .for_s = 2,
     .away_s = 36,
     .replicated = false},
};
class ControllerOutage : public testing::TestWithParam<OutageCase> {};
INSTANTIATE_TEST_SUITE_P(Liveness, ControllerOutage, testing::ValuesIn(outage_cases), NameOfCase());
TEST_P(ControllerOutage, KeepsTasksWhoseHeartbeatsWereAnswered) {
    spdlog::set_level(spdlog::level::off);
    auto test_case = GetParam();
    Options options;
    options.machines = 9;
    if (!test_case.replicated) options.without_replication = {0, 1, 2};
    SimulatedCluster cluster(options);
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 6, 400);
        cluster.submit("j-2", "service", 6, 0);
    });
    cluster.run_until(24);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1") + tasks_on_machines(cluster, "j-2"), 12u);
    cluster.cancel("j-2");
    cluster.run_until(25);
    ASSERT_TRUE(cluster.jobs["j-2"].cancelled);
    auto all = [&cluster](double back_after) {
        for (std::size_t k = 0; k < 3; ++k) cluster.crash(k, back_after);
    };
    all(test_case.back_s > 0 ? test_case.back_s : test_case.away_s);
    if (test_case.back_s > 0)
        cluster.at(25 + test_case.back_s + test_case.for_s,
                   [&] { all(test_case.away_s - test_case.back_s - test_case.for_s); });
    cluster.run_until(25 + test_case.away_s);
    auto expired = count_expired_leases(cluster);
    EXPECT_EQ(expired == count_machines(cluster), test_case.back_s == 0) << expired;
    EXPECT_GT(expired, 0u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 0u);
    cluster.run_until(25 + test_case.away_s + 50);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 0u);
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation
