// Transactions that are carried out at once while their answers are lost.
#include "protocol/agent_api.hpp"
#include "scenarios/fault_combinations_support.hpp"

namespace coralhitch::simulation {
namespace {

// The simulated key-value store carries such a transaction out after this time, and never answers it.
constexpr double at_once = 1e-6;

// Each kind of the controllers' own transactions, a third of the time, over leaders that end.
class LostAnswers : public testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Meeting, LostAnswers,
                         testing::Values("leader", "standby", "mach/page/", "prog/", "types"));
TEST_P(LostAnswers, ChangeNothing) {
    spdlog::set_level(spdlog::level::off);
    std::string kind = GetParam();
    SimulatedCluster w({});
    std::minstd_rand random(11);
    std::size_t lost = 0;
    w.late_txn = [&](const json& txn) {
        for (auto& c : txn["then"]) {
            bool ours = c.value("put", c.value("drop", "")).starts_with(kind);
            if (!ours || w.now() > 100 || random() % 3) continue;
            ++lost;
            return at_once;
        }
        return 0.0;
    };
    work(w, 110);
    for (double t = 25; t < 100; t += 13) w.at(t, [&w] { w.crash(lead(w), 0.2); });
    w.run_until(260);
    EXPECT_GT(lost, kind == "types" ? 0u : 2u);
    for (auto& b : wrong(w)) ADD_FAILURE() << b;
}

// A claim succeeds, its answer is lost, and its claimer reaches the key-value store no more for a while: it
// does not act as a leader, and another one leads once the lease is out that nobody renews.
TEST(Meeting, AClaimThatSucceededUnknownHoldsUpNobodyLongerThanALease) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster w({});
    w.at(2, [&w] {
        w.submit("j-1", "batch", 6, 300);
        w.submit("j-2", "service", 6, 0);
    });
    w.run_until(30);
    std::optional<double> claimed, led;
    std::optional<std::size_t> claimer;
    std::size_t commands = 0;
    w.late_txn = [&](const json& txn) {
        for (auto& c : txn["then"]) {
            if (claimed || w.now() < 30 || c.value("put", "") != "leader") continue;
            claimed = w.now();
            claimer = static_cast<std::size_t>(c["value"]["label"].get<std::string>().back() - '0');
            w.at(w.now() + 0.001, [&] { w.refuse_state(*claimer, 12); });
            return at_once;
        }
        return 0.0;
    };
    w.sent = [&](auto& from, auto&, auto& r) {
        bool refused = claimed && w.now() < *claimed + 12;
        if (refused && from == w.addr_of(*claimer) && r.target == protocol::paths::commands) ++commands;
    };
    for (double t = 30.1; t < 60; t += 0.1)
        w.at(t, [&] {
            if (claimed && !led && w.leader() >= 0) led = w.now();
        });
    w.crash(lead(w), 25);
    w.run_until(60);
    ASSERT_TRUE(claimed);
    ASSERT_TRUE(led);
    // The leader's lease is a tenth of a worker's; the rest is for the election.
    EXPECT_LT(*led - *claimed, 24 / 5.0);
    EXPECT_EQ(commands, 0u);
    EXPECT_NE(w.leader(), static_cast<int>(*claimer));
    w.run_until(120);
    EXPECT_EQ(on_machines(w, "j-1"), 6u);
    EXPECT_EQ(on_machines(w, "j-2"), 6u);
    expect_unbroken(w);
}

}  // namespace
}  // namespace coralhitch::simulation
