// Tests of messages that arrive after newer messages, or after their sender has crashed.
#include "protocol/agent_api.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

void send_to_all(SimulatedCluster& cluster, const Worker& from, const http::Request& request) {
    for (std::size_t n = 0; n < controller_count; ++n)
        cluster.send(from.addr, cluster.addr_of(n), request, 1, [](std::optional<http::Response>) {});
}

// Guards against stopping a task because of an old heartbeat. The heartbeat arrives after newer ones, at a
// new leader that has received no newer one from that machine. The task that it shows has since been
// restarted on another machine and must keep running there.
TEST(FaultCombination, OldHeartbeatStopsNothingThatRunsElsewhere) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 2;
    options.without_replication = {0, 1, 2};  // a new leader knows the machines' tasks only from heartbeats
    SimulatedCluster cluster(options);
    schedule_service_on_every_machine(cluster);
    cluster.at(4, [&cluster] { cluster.submit("j-1", "service", 1, 0); });
    std::map<std::string, http::Request> last_heartbeats;  // the last heartbeat of each machine with the task
    cluster.on_message = [&](auto& from, auto&, auto& request) {
        if (request.target == protocol::paths::heartbeat && request.body.find("j-1/") != std::string::npos &&
            cluster.now() < 25)
            last_heartbeats[from] = request;
    };
    cluster.run_until(25);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 1u);
    std::size_t first = tasks_on_machine(*cluster.workers[0], "j-1") ? 0 : 1;
    // The machine hangs for longer than its lease and cannot be deleted. The task is restarted on the other
    // machine, and the hung machine continues in its next agent epoch.
    cluster.hang_machine(first, 30);
    cluster.start_cloud_outage(60);
    cluster.run_until(70);
    ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 1u);
    std::size_t second = 1 - first;
    ASSERT_EQ(tasks_on_machine(*cluster.workers[first], "j-1"), 0u);
    auto copy = last_heartbeats.at(cluster.workers[first]->addr);
    auto starts = cluster.starts;
    cluster.hang_machine(first, 8);
    cluster.hang_machine(second, 5);
    cluster.crash(leader_of(cluster), 6);
    for (double time = 70; time < 78; time += 0.2)
        cluster.at(time, [&cluster, &copy, first] { send_to_all(cluster, *cluster.workers[first], copy); });
    cluster.run_until(110);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 1u);
    EXPECT_EQ(cluster.starts, starts);
    expect_no_violations(cluster);
}

// Guards against renewing the lease of a machine for a task that is already cancelled. A `run` command to a
// machine that no controller reaches is delayed, and its job is cancelled meanwhile. The command arrives
// between a heartbeat and its answer, and then the machine is partitioned from all controllers. An answer
// that renews the lease would let the task run for another lease.
TEST(FaultCombination, DelayedStartOfCancelledJobGetsNoLeaseRenewal) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 12;
    options.heartbeat_processing_s = 0.05;  // so that the answer to the heartbeat arrives after the `run`
    options.cancel_s = 34;
    SimulatedCluster cluster(options);
    schedule_service_on_every_machine(cluster);
    cluster.run_until(30);
    cluster.partition_one_way("10.0.", "10.1.", 13);
    cluster.start_cloud_outage(90);
    std::map<std::string, http::Request> delayed_runs;
    std::string target_addr;
    cluster.on_message = [&](auto& from, auto& to, auto& request) {
        if (request.target == protocol::paths::commands && request.body.find("run") != std::string::npos &&
            cluster.now() < 43)
            delayed_runs.emplace(to, request);
        if (request.target != protocol::paths::heartbeat || cluster.now() < 43 || !target_addr.empty() ||
            !delayed_runs.contains(from))
            return;
        target_addr = from;
        cluster.send("10.9.0.1", target_addr, delayed_runs.at(target_addr), 1,
                     [](std::optional<http::Response>) {});
        cluster.at(cluster.now() + 0.4, [&cluster] { cluster.partition("10.0.", "10.1.", 60); });
    };
    cluster.submit("j-1", "batch", 12, 300);
    cluster.at(31.5, [&cluster] { cluster.cancel("j-1"); });
    cluster.run_until(45);
    ASSERT_FALSE(target_addr.empty());
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 1u);  // the delayed `run` has arrived
    cluster.run_until(150);
    EXPECT_TRUE(cluster.jobs["j-1"].cancelled);
    expect_no_violations(cluster);
}

// Leadership alternates between controllers within seconds, then all controllers crash and one restarts
// first. Messages that a crashed leader sent arrive after its process has been restarted. All invariants must
// hold.
TEST(FaultCombination, KeepsAllRulesWhenLeadershipAlternates) {
    spdlog::set_level(spdlog::level::off);
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Options options;
        options.seed = seed;
        SimulatedCluster cluster(options);
        submit_steady_jobs(cluster, 110);
        for (double time = 25; time < 95; time += 24) {
            cluster.at(time, [&cluster] {
                auto leader = leader_of(cluster);
                cluster.partition(host_of(leader), "10.", 4,
                                  Packets::held);  // delivered after the process has restarted
                cluster.crash(leader, 0.1);
            });
            cluster.at(time + 3.5, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
            cluster.at(time + 7, [&cluster] { cluster.crash(leader_of(cluster), 0.3); });
            cluster.at(time + 12, [&cluster] {
                for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, n == 1 ? 0.2 : 5);
            });
        }
        cluster.run_until(260);
        for (auto& failure : find_failures(cluster)) ADD_FAILURE() << "seed " << seed << ": " << failure;
    }
}

}  // namespace
}  // namespace coralhitch::simulation
