// Tests of transactions that are carried out at once but whose answers are lost.
#include "protocol/agent_api.hpp"
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Delay in s after which the simulated key-value store carries such a transaction out. It never answers it.
constexpr double at_once_s = 1e-6;

// A third of the controllers' own transactions on one kind of key loses its answer, while leaders crash and
// restart. All invariants must hold and all jobs must end.
class LostTransactionAnswers : public testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, LostTransactionAnswers,
                         testing::Values("leader", "standby", "mach/page/", "prog/", "types"),
                         [](auto& info) { return camel_case(info.param); });
TEST_P(LostTransactionAnswers, ChangeNothing) {
    spdlog::set_level(spdlog::level::off);
    std::string key_prefix = GetParam();
    SimulatedCluster cluster({});
    std::minstd_rand random(11);
    std::size_t lost = 0;
    cluster.key_value_store.transaction_delay = [&](const json& txn) {
        for (auto& change : txn["then"]) {
            bool matches = change.value("put", change.value("drop", "")).starts_with(key_prefix);
            if (!matches || cluster.now() > 100 || random() % 3) continue;
            ++lost;
            return at_once_s;
        }
        return 0.0;
    };
    submit_steady_jobs(cluster, 110);
    for (double time = 25; time < 100; time += 13)
        cluster.at(time, [&cluster] { cluster.crash(leader_of(cluster), 0.2); });
    cluster.run_until(260);
    EXPECT_GT(lost, key_prefix == "types" ? 0u : 2u);
    expect_no_failures(cluster);
}

std::size_t node_of_label(const std::string& label) {
    return static_cast<std::size_t>(label.back() - '0');
}
void run_long_jobs(SimulatedCluster& cluster) {
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 6, 300);
        cluster.submit("j-2", "service", 6, 0);
    });
    cluster.run_until(30);
}

// A controller's claim of the leadership succeeds, its answer is lost, and the key-value store then refuses
// this controller for a while. Guards against a claimer that acts as the leader without knowing the result,
// and against an election that waits for longer than the unrenewed lease.
TEST(FaultCombination, LostAnswerToClaimDelaysElectionByOneLeaseAtMost) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    run_long_jobs(cluster);
    std::optional<double> claimed_at, next_leader_at;
    std::optional<std::size_t> claimer;
    std::size_t commands = 0;
    cluster.key_value_store.transaction_delay = [&](const json& txn) {
        for (auto& change : txn["then"]) {
            if (claimed_at || cluster.now() < 30 || change.value("put", "") != "leader") continue;
            claimed_at = cluster.now();
            claimer = node_of_label(change["value"]["label"]);
            cluster.at(cluster.now() + 0.001, [&] { cluster.refuse_at_key_value_store(*claimer, 12); });
            return at_once_s;
        }
        return 0.0;
    };
    cluster.on_message = [&](auto& from, auto&, auto& request) {
        bool refused = claimed_at && cluster.now() < *claimed_at + 12;
        if (refused && from == cluster.addr_of(*claimer) && request.target == protocol::paths::commands)
            ++commands;
    };
    for (double time = 30.1; time < 60; time += 0.1)
        cluster.at(time, [&] {
            if (claimed_at && !next_leader_at && cluster.leader()) next_leader_at = cluster.now();
        });
    cluster.crash(leader_of(cluster), 25);
    cluster.run_until(60);
    ASSERT_TRUE(claimed_at);
    ASSERT_TRUE(next_leader_at);
    // The leader's lease is a tenth of a worker's lease (24 s). The other tenth is allowed for the election.
    EXPECT_LT(*next_leader_at - *claimed_at, 24 / 5.0);
    EXPECT_EQ(commands, 0u);
    EXPECT_NE(cluster.leader(), claimer);
    cluster.run_until(120);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 6u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 6u);
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation
