// Leaders and machines that only a part of the cluster reaches, and a second fault meanwhile.
#include "protocol/agent_api.hpp"
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// The key-value store refuses the leader alone, another controller confirms a cancellation, and the service
// is then out for all for longer than `cancel_s`, while the workers report to the old leader. Others don't
// reach it: what they tell it proves nothing.
struct RefusalCase {
    const char* name;
    double refused_s;      // the leader alone, from 30 s on; the cancellation comes 0.3 s later
    double outage_from_s;  // for all, for 70 s; before the leader's lease is out, which thus is kept
    // A first outage ends, the leader renews its lease, and the next outage begins at once.
    bool second_outage = false;
    bool crash = false;       // the leader crashes in the middle, and is back at once
    bool late_watch = false;  // the leader's watch, still open, says nothing of it
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
    ASSERT_EQ(on_machines(cluster, "j-1"), 6u);
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
    EXPECT_EQ(on_machines(cluster, "j-1") + on_machines(cluster, "j-2"), 0u);
}

// A leader crashes while machines with long tasks can't be reached, or are outbound unreachable, for longer
// than a lease, and can't be deleted: their places, quota and zone stay taken until their leases are out, and
// everything goes on.
class UnreachableMachines : public testing::TestWithParam<std::tuple<bool, double>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, UnreachableMachines,
                         testing::Combine(testing::Bool(), testing::Values(12.0, 22.0, 40.0)),
                         [](auto& info) {
                             auto both_ways = std::get<0>(info.param);
                             auto for_s = std::get<1>(info.param);
                             return (both_ways ? "BothWaysFor" : "OutboundFor") + seconds_name(for_s);
                         });
TEST_P(UnreachableMachines, CountAsUsedUntilProvenTerminated) {
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
    ASSERT_EQ(on_machines(cluster, "j-1") + on_machines(cluster, "j-2") + on_machines(cluster, "j-3"), 13u);
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
    EXPECT_EQ(on_machines(cluster, "j-1"), 6u);
    EXPECT_EQ(on_machines(cluster, "j-2"), 3u);
    EXPECT_EQ(on_machines(cluster, "j-3"), 4u);
    cluster.cancel("j-3");
    cluster.run_until(500);
    EXPECT_TRUE(cluster.jobs["j-1"].done && cluster.jobs["j-2"].done);
    expect_no_violations(cluster);
}

// Workers can't open connections to any controller, while direct commands still reach them: their answers
// show them well, but every lease that ends kills what was started there since.
TEST(FaultCombination, StartsNothingOnInboundUnreachableMachines) {
    spdlog::set_level(spdlog::level::off);
    for (bool crash : {false, true}) {
        Options options;
        options.machines = 8;
        SimulatedCluster cluster(options);
        keep_machines(cluster);
        cluster.run_until(30);
        constexpr double unreachable_s = 90;
        for (std::size_t machine = 0; machine < 4; ++machine)
            cluster.workers[machine]->inbound_unreachable_until = cluster.now() + unreachable_s;
        std::size_t runs = 0;
        bool over = false;
        std::set<std::string> unreachable;
        for (std::size_t machine = 0; machine < 4; ++machine)
            unreachable.insert(cluster.workers[machine]->addr);
        // Half of a lease and a look later, longer with a new leader, which begins to count at its start.
        double from = cluster.now() + options.lease_s / 2 + (crash ? 20 : 3);
        cluster.on_message = [&](auto&, auto& to, auto& request) {
            bool run = request.target == protocol::paths::commands &&
                       request.body.find("\"run\"") != std::string::npos;
            runs += run && !over && cluster.now() > from && unreachable.contains(to);
        };
        if (crash) cluster.at(35, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
        // The other half has room for these, one after the other.
        for (int k = 0; k < 8; ++k)
            cluster.at(from + 1 + k * 6,
                       [&cluster, k] { cluster.submit("j-" + std::to_string(k), "batch", 2, 8); });
        cluster.run_until(30 + unreachable_s);
        over = true;
        EXPECT_EQ(runs, 0u) << crash;
        // They are well again, and are used.
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
void expect_cancelled_job_refuses_repeat(SimulatedCluster& cluster, std::size_t node, const std::string& id) {
    cluster.post_job_to(node, cluster.jobs[id].spec.dump(), [&cluster](http::Response response) {
        bool older = response.status == 201 ||
                     (response.status == 200 && response.body.find("withdrawn") == std::string::npos);
        if (older) ADD_FAILURE() << cluster.now() << " " << response.status << " " << response.body;
    });
}

// A leader is partitioned from the key-value store and from the other controllers, while workers and users
// still reach it, and jobs are cancelled through the new one: the old one answers nothing older, and keeps no
// task too long.
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
    EXPECT_GT(counts.answered, counts.asked / 5);  // once it is back
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation
