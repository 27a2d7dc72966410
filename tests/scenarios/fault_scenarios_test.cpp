#include "scenarios/fault_scenarios.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "http/address.hpp"
#include "scenarios/parameter_names.hpp"

namespace coralhitch::simulation {
namespace {

// In parts, so that they can be played side by side. `coralhitch_fault_scenarios` plays more by hand.
class FaultScenario : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(RandomSeeds, FaultScenario, testing::Range<std::uint64_t>(0, 16), Numbered{"Part"});
TEST_P(FaultScenario, KeepsAllRulesUnderRandomFaults) {
    spdlog::set_level(spdlog::level::off);
    constexpr std::uint64_t each = 15 / seeds_part;
    for (auto seed = 1 + GetParam() * each; seed <= (1 + GetParam()) * each; ++seed) {
        auto faults = draw_faults(seed, 12);
        for (auto& violation : run_scenario(seed, 12, faults))
            ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
}

// Each pair of troubles once, a few in each play.
class FaultPairs : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(AllPairs, FaultPairs, testing::Range<std::uint64_t>(0, 16), Numbered{"Part"});
TEST_P(FaultPairs, KeepAllRules) {
    spdlog::set_level(spdlog::level::off);
    for (auto seed = GetParam(); seed < pair_seeds; seed += 16 * seeds_part)
        for (auto& violation : run_scenario(seed, 12, draw_fault_pairs(seed, 12)))
            ADD_FAILURE() << "meeting " << seed << ": " << violation;
}

TEST(FaultPairs, AreAllDrawn) {
    std::set<std::string> met;
    for (std::uint64_t seed = 0; seed < pair_seeds; ++seed) {
        auto faults = draw_fault_pairs(seed, 12);
        for (std::size_t k = 0; k + 1 < faults.size(); k += 2)
            met.insert(name(faults[k]) + " / " + name(faults[k + 1]));
    }
    EXPECT_EQ(met.size(), pairs);
}

TEST(SimulatedCluster, GivesEachOf8000MachinesAnAddress) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 8000;
    SimulatedCluster cluster(options);
    std::set<std::string> addresses;
    for (auto& worker : cluster.workers) addresses.insert(worker->addr);
    EXPECT_EQ(addresses.size(), options.machines);
    for (auto& address : addresses) EXPECT_TRUE(http::socket_address(address)) << address;
}

// The checker sees what is wrong, and a failing play shrinks to what it needs.
TEST(FaultScenario, ShrinksToTheFaultsItNeeds) {
    spdlog::set_level(spdlog::level::off);
    std::vector<Fault> faults;
    for (int k = 0; k < 6; ++k)
        faults.push_back({20.0 + 10 * k, FaultKind::controller_crash, 3, 1, 0.2, false});
    // The key-value store never comes back: nothing ends.
    faults.push_back({60, FaultKind::key_value_store_outage, 0, 1, 1000, false});
    EXPECT_FALSE(run_scenario(1, 8, faults).empty());
    auto least = shrink(1, 8, faults);
    ASSERT_EQ(least.size(), 1u);
    EXPECT_EQ(least[0].what, FaultKind::key_value_store_outage);
}

}  // namespace
}  // namespace coralhitch::simulation
