#include "scenarios/fault_scenarios.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "scenarios/fault_generator.hpp"
#include "scenarios/parameter_names.hpp"

namespace coralhitch::simulation {
namespace {

constexpr std::size_t machines = 12;

void expect_rules_kept(std::uint64_t seed, const std::vector<Fault>& faults) {
    for (auto& failure : run_scenario({seed, machines, faults}))
        ADD_FAILURE() << "seed " << seed << ": " << failure;
}

// Runs the seeds in parts, so that the parts can run in parallel. `coralhitch_fault_scenarios` runs any
// number of seeds from the command line.
class FaultScenario : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(RandomSeeds, FaultScenario, testing::Range<std::uint64_t>(0, 16), Numbered{"Part"});
TEST_P(FaultScenario, KeepsAllRulesUnderRandomFaults) {
    spdlog::set_level(spdlog::level::off);
    constexpr std::uint64_t seeds_per_part = 15 / seed_count_divisor;
    for (auto seed = 1 + GetParam() * seeds_per_part; seed <= (1 + GetParam()) * seeds_per_part; ++seed)
        expect_rules_kept(seed, draw_faults(seed, machines));
}

// Guards against a start that puts a team above its limit after controllers, machines and a zone have failed
// together.
TEST(FaultScenario, KeepsTeamLimitsUnderTheFaultsOfSeed2234) {
    spdlog::set_level(spdlog::level::off);
    constexpr std::uint64_t seed = 2234;
    expect_rules_kept(seed, draw_faults(seed, machines));
}

// Covers each pair of kinds once, with a few pairs in each scenario.
class FaultPairs : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(AllPairs, FaultPairs, testing::Range<std::uint64_t>(0, 16), Numbered{"Part"});
TEST_P(FaultPairs, KeepAllRules) {
    spdlog::set_level(spdlog::level::off);
    for (auto seed = GetParam(); seed < pair_seeds; seed += 16 * seed_count_divisor)
        expect_rules_kept(seed, draw_fault_pairs(seed, machines));
}

TEST(FaultPairs, AreAllDrawn) {
    std::set<std::string> drawn;
    for (std::uint64_t seed = 0; seed < pair_seeds; ++seed) {
        auto faults = draw_fault_pairs(seed, machines);
        for (std::size_t k = 0; k + 1 < faults.size(); k += 2)
            drawn.insert(kind_name(faults[k]) + " / " + kind_name(faults[k + 1]));
    }
    EXPECT_EQ(drawn.size(), pair_count);
}

// Guards against a checker that reports nothing: a scenario with one fatal and six harmless faults must fail,
// and shrinking it must leave only the fatal fault.
TEST(FaultScenario, ShrinksToTheFaultsItNeeds) {
    spdlog::set_level(spdlog::level::off);
    Scenario scenario{.seed = 1, .machines = 8, .faults = {}};
    for (int k = 0; k < 6; ++k)
        scenario.faults.push_back({.at = 20.0 + 10 * k,
                                   .kind = FaultKind::controller_crash,
                                   .target = current_leader,
                                   .amount = 1,
                                   .for_s = 0.2});
    // The key-value store outage outlasts the scenario, so no job can end.
    scenario.faults.push_back(
        {.at = 60, .kind = FaultKind::key_value_store_outage, .target = 0, .amount = 1, .for_s = 1000});
    EXPECT_FALSE(run_scenario(scenario).empty());
    auto shrunk = shrink(scenario).faults;
    ASSERT_EQ(shrunk.size(), 1u);
    EXPECT_EQ(shrunk[0].kind, FaultKind::key_value_store_outage);
}

}  // namespace
}  // namespace coralhitch::simulation
