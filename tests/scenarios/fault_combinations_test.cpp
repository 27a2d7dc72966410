// Two troubles that meet: a scripted case for each, with the order of messages fixed. docs/testing.md lists
// them.
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Keeps the machines, with room for one card more on each.
void keep_machines(SimulatedCluster& cluster) {
    cluster.at(2, [&cluster] {
        cluster.submit("j-9", "service", static_cast<int>(cluster.workers.size()), 0, {{"cards", 3.0}});
    });
}

// The key-value store refuses the leader alone, another controller confirms a cancellation, and the service
// is then out for all for longer than `cancel_s`, while the workers report to the old leader. Others don't
// reach it: what they tell it proves nothing.
struct RefusalCase {
    const char* name;
    double refused_s;      // the leader alone, from 30 s on; the cancellation comes 0.3 s later
    double outage_from_s;  // for all, for 70 s; before the leader's lease is out, which thus is kept
    bool again;       // a first outage ends, the leader renews its lease, and the next outage begins at once
    bool crash;       // the leader ends in the middle, and is back at once
    bool late_watch;  // the leader's watch, still open, says nothing of it
};
const RefusalCase refusal_cases[] = {
    {"refused on", 14, 31.0, false, false, false},
    {"refused, then served for a moment", 10, 31.0, true, false, false},
    {"served for a moment, and the watch is late", 10, 31.0, true, false, true},
    {"the leader ends meanwhile", 14, 31.0, false, true, false},
    {"the lease is out before the outage", 14, 34.0, false, false, false},
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
        for (auto* id : {"j-1", "j-2"}) cluster.hide_from_watches(id);
    cluster.partition(host_of(old_leader), "10.0.", 90, false);
    cluster.refuse_at_key_value_store(old_leader, test_case.refused_s);
    cluster.at(30.3, [&cluster] {
        cluster.cancel("j-1");
        cluster.cancel("j-2");
    });
    double outage_s = test_case.again ? test_case.refused_s - (test_case.outage_from_s - 30) - 0.05 : 70;
    cluster.at(test_case.outage_from_s,
               [&cluster, outage_s] { cluster.start_key_value_store_outage(outage_s); });
    if (test_case.crash) cluster.at(33, [&cluster, old_leader] { cluster.crash(old_leader, 0.1); });
    if (test_case.again)
        cluster.on_message = [&cluster, old_leader, begun = false](auto& from, auto&, auto& request) mutable {
            bool renews = from == cluster.addr_of(old_leader) && request.target.ends_with("/renew");
            if (!renews || cluster.now() < 40 || std::exchange(begun, true)) return;
            cluster.at(cluster.now() + 0.009, [&cluster] { cluster.start_key_value_store_outage(70); });
        };
    cluster.run_until(31);
    ASSERT_TRUE(cluster.jobs["j-1"].cancelled && cluster.jobs["j-2"].cancelled);
    cluster.run_until(150);
    expect_no_violations(cluster);
    EXPECT_EQ(on_machines(cluster, "j-1") + on_machines(cluster, "j-2"), 0u);
}

// A transaction without an answer is carried out late, after newer ones of the same leader: what these stored
// of tasks that are done must not be lost, since their machines have been told to forget them.
TEST(FaultCombination, LateTransactionLosesNoProgress) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 1;
    SimulatedCluster cluster(options);
    std::size_t written = 0;
    cluster.transaction_delay = [&](const json& txn) {
        for (auto& change : txn["then"])
            if (change.value("put", "").starts_with("prog/") && written++ == 0) {
                cluster.at(cluster.now() + 11.2, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
                return 11.0;
            }
        return 0.0;
    };
    cluster.at(2, [&cluster] { cluster.submit("j-1", "batch", 40, 6, {{"driftwood", false}}); });
    cluster.run_until(160);
    EXPECT_GT(written, 3u);
    EXPECT_TRUE(cluster.jobs["j-1"].done);
    EXPECT_EQ(cluster.restarts_of_done_tasks, 0u);
    expect_no_violations(cluster);
}

// An old report arrives after newer ones, at a leader that has heard nothing newer of that machine: what it
// shows has moved on since, and what runs elsewhere must go on.
TEST(FaultCombination, OldHeartbeatStopsNothingThatRunsElsewhere) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 2;
    options.without_replication = {0, 1, 2};  // nothing is known of the machines but what they say
    SimulatedCluster cluster(options);
    keep_machines(cluster);
    cluster.at(4, [&cluster] { cluster.submit("j-1", "service", 1, 0); });
    std::map<std::string, http::Request> last_heartbeats;  // the last report of each machine with the task
    cluster.on_message = [&](auto& from, auto&, auto& request) {
        if (request.target == protocol::paths::report && request.body.find("j-1/") != std::string::npos &&
            cluster.now() < 25)
            last_heartbeats[from] = request;
    };
    cluster.run_until(25);
    ASSERT_EQ(on_machines(cluster, "j-1"), 1u);
    std::size_t first = on_machine(*cluster.workers[0], "j-1") ? 0 : 1;
    // For longer than a lease, and it can't be deleted: the task goes on elsewhere, the machine in its next
    // agent epoch.
    cluster.hang_machine(first, 30);
    cluster.start_cloud_outage(60);
    cluster.run_until(70);
    ASSERT_EQ(on_machines(cluster, "j-1"), 1u);
    std::size_t second = 1 - first;
    ASSERT_EQ(on_machine(*cluster.workers[first], "j-1"), 0u);
    auto copy = last_heartbeats.at(cluster.workers[first]->addr);
    auto starts = cluster.starts;
    cluster.hang_machine(first, 8);
    cluster.hang_machine(second, 5);
    cluster.crash(leader_of(cluster), 6);
    for (double t = 70; t < 78; t += 0.2)
        cluster.at(t, [&cluster, &copy, first] {
            for (std::size_t n = 0; n < 3; ++n)
                cluster.send(cluster.workers[first]->addr, cluster.addr_of(n), copy, 1,
                             [](std::optional<http::Response>) {});
        });
    cluster.run_until(110);
    EXPECT_EQ(on_machines(cluster, "j-1"), 1u);
    EXPECT_EQ(cluster.starts, starts);
    expect_no_violations(cluster);
}

// A `run` is held up on its way to a machine that hears nobody, and its job is cancelled meanwhile. It
// arrives between a report and the answer to it, and then the machine is cut off altogether: an answer that
// renews its lease would leave the task there for a lease more.
TEST(FaultCombination, DelayedStartOfCancelledJobGetsNoLeaseRenewal) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 12;
    options.heartbeat_processing_s = 0.05;  // so that the answer comes after the `run`
    options.cancel_s = 34;
    SimulatedCluster cluster(options);
    keep_machines(cluster);
    cluster.run_until(30);
    cluster.partition_one_way("10.0.", "10.1.", 13, false);
    cluster.start_cloud_outage(90);
    std::map<std::string, http::Request> held;
    std::string met;
    cluster.on_message = [&](auto& from, auto& to, auto& request) {
        if (request.target == protocol::paths::commands && request.body.find("run") != std::string::npos &&
            cluster.now() < 43)
            held.emplace(to, request);
        if (request.target != protocol::paths::report || cluster.now() < 43 || !met.empty() ||
            !held.contains(from))
            return;
        met = from;
        cluster.send("10.9.0.1", met, held.at(met), 1, [](std::optional<http::Response>) {});
        cluster.at(cluster.now() + 0.4, [&cluster] { cluster.partition("10.0.", "10.1.", 60, false); });
    };
    cluster.submit("j-1", "batch", 12, 300);
    cluster.at(31.5, [&cluster] { cluster.cancel("j-1"); });
    cluster.run_until(45);
    ASSERT_FALSE(met.empty());
    EXPECT_EQ(on_machines(cluster, "j-1"), 1u);  // it has arrived
    cluster.run_until(150);
    EXPECT_TRUE(cluster.jobs["j-1"].cancelled);
    expect_no_violations(cluster);
}

// Each kind of transaction of the controllers, again and again without an answer and carried out after newer
// ones, over leaders that end and are back at once.
class LateTransactions : public testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, LateTransactions,
                         testing::Values("leader", "standby", "mach/page/", "job/", "prog/", "final/",
                                         "types", ""),
                         [](auto& info) {
                             std::string key_prefix = info.param;
                             return key_prefix.empty() ? "AnyKey" : camel_case(key_prefix);
                         });
TEST_P(LateTransactions, BreakNoRule) {
    spdlog::set_level(spdlog::level::off);
    std::string kind = GetParam();
    SimulatedCluster cluster({});
    std::minstd_rand random(7);
    std::size_t late = 0;
    cluster.transaction_delay = [&](const json& txn) {
        for (auto& change : txn["then"]) {
            auto key = change.value("put", change.value("drop", ""));
            // Not so many that nobody leads for long.
            if (!key.starts_with(kind) || cluster.now() > 100 || random() % 3) continue;
            ++late;
            return std::uniform_real_distribution<double>(2, 12)(random);
        }
        return 0.0;
    };
    submit_steady_jobs(cluster, 110);
    for (double t = 25; t < 100; t += 13)
        cluster.at(t, [&cluster] { cluster.crash(leader_of(cluster), 0.2); });
    cluster.run_until(260);
    EXPECT_GT(late, kind == "types" ? 0u : 2u);
    expect_no_failures(cluster);
}

// A leader ends while machines with long tasks can't be reached, or don't hear the new leader, for longer
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
            cluster.partition("10.0.", cluster.workers[machine]->addr, for_s, false);
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

// Controllers hand over and back within moments, all end, one returns; what the first life of one sent comes
// later.
TEST(FaultCombination, KeepsAllRulesWhenLeadershipAlternates) {
    spdlog::set_level(spdlog::level::off);
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Options options;
        options.seed = seed;
        SimulatedCluster cluster(options);
        submit_steady_jobs(cluster, 110);
        for (double t = 25; t < 95; t += 24) {
            cluster.at(t, [&cluster] {
                auto leader = leader_of(cluster);
                cluster.partition(host_of(leader), "10.", 4,
                                  true);  // held, and sent on when its second life leads
                cluster.crash(leader, 0.1);
            });
            cluster.at(t + 3.5, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
            cluster.at(t + 7, [&cluster] { cluster.crash(leader_of(cluster), 0.3); });
            cluster.at(t + 12, [&cluster] {
                for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, n == 1 ? 0.2 : 5);
            });
        }
        cluster.run_until(260);
        for (auto& failure : find_failures(cluster)) ADD_FAILURE() << "seed " << seed << ": " << failure;
    }
}

// The key-value store answers slowly, up to the edge of a leader's lease, while users cancel and ask, refuses
// the leader alone in between, and is then out for all.
TEST(FaultCombination, KeepsAllRulesWhenKeyValueStoreIsSlowAtTheEdgeOfALease) {
    spdlog::set_level(spdlog::level::off);
    for (double by : {0.6, 1.2, 1.6}) {
        SimulatedCluster cluster({});
        submit_steady_jobs(cluster, 110);
        for (double t = 25; t < 95; t += 20) {
            cluster.at(t, [&cluster, by] { cluster.slow_key_value_store(15, by); });
            cluster.at(t + 6, [&cluster] { cluster.refuse_at_key_value_store(leader_of(cluster), 4); });
            cluster.at(t + 9, [&cluster] { cluster.start_key_value_store_outage(3); });
        }
        cluster.run_until(260);
        for (auto& failure : find_failures(cluster)) ADD_FAILURE() << by << ": " << failure;
    }
}

// A leader is cut from the key-value store and from the other controllers, while workers and users still
// reach it, and jobs are cancelled through the new one: the old one says nothing older, and keeps no task too
// long.
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
    cluster.partition(host_of(old_leader), "10.2.0.1", 60, true);
    cluster.partition(host_of(old_leader), "10.0.", 60, true);
    cluster.at(16, [&cluster] { cluster.cancel("j-1"); });
    cluster.at(16, [&cluster] { cluster.cancel("j-2"); });
    std::size_t asked = 0, answered = 0;
    for (double t = 18; t < 90; t += 0.7)
        cluster.at(t, [&] {
            for (auto* id : {"j-1", "j-2", "j-3"}) {
                bool over = cluster.jobs[id].cancelled || cluster.jobs[id].done;
                ++asked;
                cluster.send_user_request(
                    old_leader, {"GET", std::string("/api/jobs/") + id, ""},
                    [&, over](http::Response response) {
                        answered += response.status == 200;
                        auto status = response.status == 200 ? json::parse(response.body)["status"] : json();
                        if (response.status == 404 || (over && (status == "pending" || status == "running")))
                            ADD_FAILURE() << cluster.now() << " " << response.status << " " << response.body;
                    });
            }
            cluster.post_job_to(old_leader, cluster.jobs["j-1"].spec.dump(), [&](http::Response response) {
                bool older = response.status == 201 ||
                             (response.status == 200 && response.body.find("withdrawn") == std::string::npos);
                if (older) ADD_FAILURE() << cluster.now() << " " << response.status << " " << response.body;
            });
        });
    cluster.run_until(150);
    EXPECT_TRUE(cluster.jobs["j-1"].cancelled && cluster.jobs["j-2"].cancelled && cluster.jobs["j-3"].done);
    EXPECT_GT(answered, asked / 5);  // once it is back
    expect_no_violations(cluster);
}

// Jobs of two or three tasks that end far apart, and the leader ends in between, or right when an end was
// reported to it alone.
class TaskEndsFarApart : public testing::TestWithParam<std::tuple<const char*, bool>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, TaskEndsFarApart,
                         testing::Combine(testing::Values("batch", "gang"), testing::Bool()), [](auto& info) {
                             auto shape = std::get<0>(info.param);
                             auto at_report = std::get<1>(info.param);
                             return camel_case(shape) + (at_report ? "AtEachHeartbeat" : "AtFixedTimes");
                         });
TEST_P(TaskEndsFarApart, AreStoredOnce) {
    spdlog::set_level(spdlog::level::off);
    auto [shape, at_report] = GetParam();
    Options options;
    options.machines = 1;
    SimulatedCluster cluster(options);
    bool gang = std::string(shape) == "gang";
    // One at a time finds room.
    cluster.at(2, [&cluster, s = std::string(shape), gang] {
        cluster.submit("j-1", s, gang ? 1 : 3, 8, {{"cards", 3.0}, {"driftwood", false}});
    });
    cluster.at(3, [&cluster] { cluster.submit("j-2", "service", 1, 0, {{"driftwood", false}}); });
    std::set<std::string> crashed;
    if (at_report)
        cluster.on_message = [&](auto&, auto&, auto& request) {
            if (request.target != protocol::paths::report || request.body.find("exited") == std::string::npos)
                return;
            auto ended = std::to_string(cluster.jobs["j-1"].tasks_done.size());
            if (!crashed.insert(ended).second) return;
            cluster.at(cluster.now() + 0.012, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
        };
    else
        for (double t = 17; t < 70; t += 4.5)
            cluster.at(t, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
    cluster.run_until(170);
    EXPECT_TRUE(cluster.jobs["j-1"].done);
    EXPECT_EQ(cluster.jobs["j-1"].tasks_done.size(), gang ? 1u : 3u);
    EXPECT_EQ(cluster.restarts_of_done_tasks, 0u);
    EXPECT_EQ(on_machines(cluster, "j-2"), 1u);
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation
