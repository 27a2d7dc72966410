// Tests of leaders and machines that only a part of the cluster reaches, combined with a second fault.
#include "protocol/agent_api.hpp"
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Guards against cancelled tasks that run longer than `cancel_s` because the leader does not learn of the
// cancellation. The key-value store refuses the leader alone, and another controller confirms a cancellation.
// Then the store is unavailable to all for longer than `cancel_s`, while the workers send heartbeats to the
// old leader. The other controllers cannot reach it, so their cancellation notices do not arrive.
struct RefusalCase {
    const char* name;
    double refused_s;  // how long the store refuses the leader, from 30 s on; the cancellation is at 30.3 s
    // Start of the outage for all, in s. It lasts 70 s, unless a second outage follows. If it starts before
    // the leader's lease ends, the leader keeps the lease.
    double outage_from_s;
    // The first outage is short, the leader renews its lease after it, and a second outage begins at once.
    bool second_outage = false;
    bool crash = false;       // the leader crashes at 33 s and restarts at once
    bool late_watch = false;  // the leader's open watch does not return the cancellation
};
const RefusalCase refusal_cases[] = {
    {.name = "refused on", .refused_s = 14, .outage_from_s = 31.0},
    {.name = "refused, then served for a moment",
     .refused_s = 10,
     .outage_from_s = 31.0,
     .second_outage = true},
    {.name = "served for a moment, and the watch is late",
     .refused_s = 10,
     .outage_from_s = 31.0,
     .second_outage = true,
     .late_watch = true},
    {.name = "the leader crashes meanwhile", .refused_s = 14, .outage_from_s = 31.0, .crash = true},
    {.name = "the lease is out before the outage", .refused_s = 14, .outage_from_s = 34.0},
};
class RefusedLeader : public testing::TestWithParam<RefusalCase> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, RefusedLeader, testing::ValuesIn(refusal_cases), NameOfCase());
TEST_P(RefusedLeader, StopsCancelledTasksInTime) {
    spdlog::set_level(spdlog::level::off);
    auto test_case = GetParam();
    SimulatedCluster cluster({});
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 6, 300);
        cluster.submit("j-2", "service", 3, 0);
    });
    cluster.run_until(30);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    auto old_leader = leader_of(cluster);
    cluster.remove_from_load_balancer(old_leader);
    if (test_case.late_watch)
        for (auto* id : {"j-1", "j-2"}) cluster.key_value_store.hide_job_from_watches(id);
    cluster.partition(host_of(old_leader), "10.0.", 90);
    cluster.refuse_at_key_value_store(old_leader, test_case.refused_s);
    cluster.at(30.3, [&cluster] {
        cluster.cancel("j-1");
        cluster.cancel("j-2");
    });
    double outage_s =
        test_case.second_outage ? test_case.refused_s - (test_case.outage_from_s - 30) - 0.05 : 70;
    cluster.at(test_case.outage_from_s,
               [&cluster, outage_s] { cluster.key_value_store.start_outage(outage_s); });
    if (test_case.crash) cluster.at(33, [&cluster, old_leader] { cluster.crash(old_leader, 0.1); });
    if (test_case.second_outage)
        cluster.on_message = [&cluster, old_leader, begun = false](auto& from, auto&, auto& request) mutable {
            bool renews = from == cluster.addr_of(old_leader) && request.target.ends_with("/renew");
            if (!renews || cluster.now() < 40 || std::exchange(begun, true)) return;
            cluster.at(cluster.now() + 0.009, [&cluster] { cluster.key_value_store.start_outage(70); });
        };
    cluster.run_until(31);
    ASSERT_TRUE(cluster.jobs["j-1"].cancelled && cluster.jobs["j-2"].cancelled);
    cluster.run_until(150);
    expect_no_violations(cluster);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1") + tasks_on_machines(cluster, "j-2"), 0u);
}

// Guards against counting tasks on unreachable machines as terminated too early. A leader crashes while
// machines with long tasks are partitioned from the controllers or outbound unreachable, in some cases for
// longer than a lease, and cannot be deleted. Their resources, quota and zone must stay in use until their
// leases end, and all tasks must run in the end.
class UnreachableMachines : public testing::TestWithParam<std::tuple<bool, double>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, UnreachableMachines,
                         testing::Combine(testing::Bool(), testing::Values(12.0, 22.0, 40.0)),
                         [](auto& info) {
                             auto both_ways = std::get<0>(info.param);
                             auto for_s = std::get<1>(info.param);
                             return (both_ways ? "BothWaysFor" : "OutboundFor") + seconds_name(for_s);
                         });
TEST_P(UnreachableMachines, CountAsUsedUntilEvidenceOfTermination) {
    spdlog::set_level(spdlog::level::off);
    auto [both_ways, for_s] = GetParam();
    Options options;
    options.gpus_max = 6;
    SimulatedCluster cluster(options);
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 6, 200, {{"crew", "tight"}});
        cluster.submit("j-2", "gang", 3, 200, {{"together", true}});
        cluster.submit("j-3", "service", 4, 0, {{"scatter", true}});
    });
    cluster.run_until(30);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1") + tasks_on_machines(cluster, "j-2") +
                  tasks_on_machines(cluster, "j-3"),
              13u);
    for (std::size_t machine = 0; machine < 3; ++machine) {
        if (both_ways)
            cluster.partition("10.0.", cluster.workers[machine]->addr, for_s);
        else
            cluster.partition_one_way("10.0.", cluster.workers[machine]->addr, for_s);
    }
    cluster.start_cloud_outage(for_s);
    cluster.at(31, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
    cluster.at(34, [&cluster] { cluster.crash(leader_of(cluster), 3); });
    cluster.run_until(30 + for_s + 60);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 3u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-3"), 4u);
    cluster.cancel("j-3");
    cluster.run_until(500);
    EXPECT_TRUE(cluster.jobs["j-1"].done && cluster.jobs["j-2"].done);
    expect_no_violations(cluster);
}

// Guards against starting tasks on machines that cannot connect to any controller while commands still reach
// them. Their answers to commands look healthy, but their leases are not renewed, and the end of a lease
// kills the tasks that were started since.
TEST(FaultCombination, StartsNothingOnInboundUnreachableMachines) {
    spdlog::set_level(spdlog::level::off);
    for (bool crash : {false, true}) {
        Options options;
        options.machines = 8;
        SimulatedCluster cluster(options);
        schedule_service_on_every_machine(cluster);
        cluster.run_until(30);
        constexpr double unreachable_s = 90;
        for (std::size_t machine = 0; machine < 4; ++machine)
            cluster.workers[machine]->inbound_unreachable_until = cluster.now() + unreachable_s;
        std::size_t runs = 0;
        bool over = false;
        std::set<std::string> unreachable;
        for (std::size_t machine = 0; machine < 4; ++machine)
            unreachable.insert(cluster.workers[machine]->addr);
        // Starts must stop half a lease and one check after the fault begins. A new leader measures the time
        // from its own start, so it may take longer.
        double from = cluster.now() + options.lease_s / 2 + (crash ? 20 : 3);
        cluster.on_message = [&](auto&, auto& to, auto& request) {
            bool run = request.target == protocol::paths::commands &&
                       request.body.find("\"run\"") != std::string::npos;
            runs += run && !over && cluster.now() > from && unreachable.contains(to);
        };
        if (crash) cluster.at(35, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
        // The reachable half of the machines has room for these jobs one after the other.
        for (int k = 0; k < 8; ++k)
            cluster.at(from + 1 + k * 6,
                       [&cluster, k] { cluster.submit("j-" + std::to_string(k), "batch", 2, 8); });
        cluster.run_until(30 + unreachable_s);
        over = true;
        EXPECT_EQ(runs, 0u) << crash;
        // The machines can connect again and must be used.
        cluster.at(cluster.now() + 5, [&cluster] { cluster.submit("j-20", "batch", 8, 20); });
        cluster.run_until(cluster.now() + 90);
        EXPECT_TRUE(cluster.jobs["j-20"].done);
        for (int k = 0; k < 8; ++k) EXPECT_TRUE(cluster.jobs["j-" + std::to_string(k)].done) << k;
        expect_no_violations(cluster);
    }
}

struct QueryCounts {
    std::size_t asked = 0, answered = 0;
};
// Queries the job at this controller. Fails the test if the answer is 404, or shows the job as unfinished
// although it had already ended or been cancelled when the query was sent.
void expect_nothing_older(SimulatedCluster& cluster, std::size_t node, const std::string& id,
                          QueryCounts& counts) {
    bool over = cluster.jobs[id].cancelled || cluster.jobs[id].done;
    ++counts.asked;
    cluster.send_user_request(
        node, {"GET", "/api/jobs/" + id, ""}, [&cluster, &counts, over](http::Response response) {
            counts.answered += response.status == 200;
            auto status = response.status == 200 ? json::parse(response.body)["status"] : json();
            if (response.status == 404 || (over && (status == "pending" || status == "running")))
                ADD_FAILURE() << cluster.now() << " " << response.status << " " << response.body;
        });
}
// Submits the cancelled job again to this controller. Fails the test if the answer has status 201, or status
// 200 and a state other than cancelled.
void expect_cancelled_job_refuses_repeat(SimulatedCluster& cluster, std::size_t node, const std::string& id) {
    cluster.post_job_to(node, cluster.jobs[id].spec.dump(), [&cluster](http::Response response) {
        bool older = response.status == 201 ||
                     (response.status == 200 && response.body.find("withdrawn") == std::string::npos);
        if (older) ADD_FAILURE() << cluster.now() << " " << response.status << " " << response.body;
    });
}

// Guards against outdated answers from an isolated leader. The leader is partitioned from the key-value store
// and from the other controllers, while workers and users still reach it, and jobs are cancelled through the
// new leader. The old leader must not answer with an older state, and must not keep cancelled tasks too long.
TEST(FaultCombination, IsolatedLeaderAnswersNothingOlder) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 6, 300);
        cluster.submit("j-2", "service", 3, 0);
        cluster.submit("j-3", "batch", 3, 12);
    });
    cluster.run_until(15);
    auto old_leader = leader_of(cluster);
    cluster.remove_from_load_balancer(old_leader);
    cluster.partition(host_of(old_leader), "10.2.0.1", 60, Packets::held);
    cluster.partition(host_of(old_leader), "10.0.", 60, Packets::held);
    cluster.at(16, [&cluster] { cluster.cancel("j-1"); });
    cluster.at(16, [&cluster] { cluster.cancel("j-2"); });
    QueryCounts counts;
    for (double time = 18; time < 90; time += 0.7)
        cluster.at(time, [&] {
            for (auto* id : {"j-1", "j-2", "j-3"}) expect_nothing_older(cluster, old_leader, id, counts);
            expect_cancelled_job_refuses_repeat(cluster, old_leader, "j-1");
        });
    cluster.run_until(150);
    EXPECT_TRUE(cluster.jobs["j-1"].cancelled && cluster.jobs["j-2"].cancelled && cluster.jobs["j-3"].done);
    EXPECT_GT(counts.answered, counts.asked / 5);  // answers arrive once the partition has ended
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation
