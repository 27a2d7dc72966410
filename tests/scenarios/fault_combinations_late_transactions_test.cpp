// Tests of transactions that are carried out late, and of a slow key-value store, during leader changes.
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Guards against losing the progress of a job. A transaction without an answer is carried out after newer
// ones of the same leader. The records of completed tasks in the newer ones must stay, because the machines
// have already been told to forget these tasks.
TEST(FaultCombination, LateTransactionLosesNoProgress) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 1;
    SimulatedCluster cluster(options);
    std::size_t written = 0;
    cluster.key_value_store.transaction_delay = [&](const json& txn) {
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

// A third of the controllers' transactions on one kind of key gets no answer and is carried out 2 s to 12 s
// late, after newer ones, while leaders crash and restart at once. All invariants must hold.
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
    std::string delayed_prefix = GetParam();
    SimulatedCluster cluster({});
    std::minstd_rand random(7);
    std::size_t late = 0;
    cluster.key_value_store.transaction_delay = [&](const json& txn) {
        for (auto& change : txn["then"]) {
            auto key = change.value("put", change.value("drop", ""));
            // Only a third is delayed, so that there is a leader most of the time.
            if (!key.starts_with(delayed_prefix) || cluster.now() > 100 || random() % 3) continue;
            ++late;
            return std::uniform_real_distribution<double>(2, 12)(random);
        }
        return 0.0;
    };
    submit_steady_jobs(cluster, 110);
    for (double time = 25; time < 100; time += 13)
        cluster.at(time, [&cluster] { cluster.crash(leader_of(cluster), 0.2); });
    cluster.run_until(260);
    EXPECT_GT(late, delayed_prefix == "types" ? 0u : 2u);
    expect_no_failures(cluster);
}

// The key-value store answers slowly, with delays close to the time in which a leader must renew its lease,
// while users cancel and query jobs. In between it refuses the leader alone, and is then unavailable to all.
// All invariants must hold.
TEST(FaultCombination, KeepsAllRulesWhenKeyValueStoreIsSlowAtTheEdgeOfALease) {
    spdlog::set_level(spdlog::level::off);
    for (double delay_s : {0.6, 1.2, 1.6}) {
        SimulatedCluster cluster({});
        submit_steady_jobs(cluster, 110);
        for (double time = 25; time < 95; time += 20) {
            cluster.at(time, [&cluster, delay_s] { cluster.key_value_store.slow_down(15, delay_s); });
            cluster.at(time + 6, [&cluster] { cluster.refuse_at_key_value_store(leader_of(cluster), 4); });
            cluster.at(time + 9, [&cluster] { cluster.key_value_store.start_outage(3); });
        }
        cluster.run_until(260);
        for (auto& failure : find_failures(cluster)) ADD_FAILURE() << delay_s << ": " << failure;
    }
}

}  // namespace
}  // namespace coralhitch::simulation
