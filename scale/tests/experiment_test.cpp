// What an experiment's file may hold, and that all else is refused by name.
#include <gtest/gtest.h>

#include <set>

#include "config/settings.hpp"
#include "scale/config/controller_settings.hpp"
#include "scale/config/experiment_file.hpp"
#include "scale/load/latency_histograms.hpp"
#include "scale/report/run_failures.hpp"

namespace coralhitch::scale {
namespace {

const std::string good = R"(name = "x"
workers = 30
tasks_per_worker = 4
[[phases]]
name = "p"
seconds = 10
starts_per_worker_s = 0.5
)";
struct Bad {
    const char* name;
    std::string text;
    const char* said;
};
const Bad bad[] = {
    {"empty", "", "field 'name' is missing"},
    {"syntax", "name = ", "line 1"},
    {"unknown", "wrokers = 3\n" + good, "field 'wrokers' is not known"},
    {"unknown_in_table", good + "[load]\nteems = 3\n", "field 'load.teems' is not known"},
    {"range", good + "[state]\nvalue_kb = 65\n", "field 'state.value_kb' must be"},
    {"region", good + "[[faults]]\nkind = \"region_link\"\n", "'region_link' is not supported"},
    {"configuration", good + "[[faults]]\nkind = \"configuration\"\n", "'configuration' is not supported"},
    {"no_fault", good + "[[faults]]\nkind = \"flood\"\n", "'flood' is not a fault"},
    {"no_zone", good + "[[faults]]\nkind = \"zone\"\nwhich = \"q\"\n", "there is no zone 'q'"},
    {"no_controller", good + "[[faults]]\nkind = \"controller\"\nwhich = \"berth-3\"\n",
     "no controller 'berth-3'"},
    {"too_late", good + "[[faults]]\nkind = \"rack\"\nat_s = 10\n", "after the last phase"},
    {"lease", good + "[worker]\nlease_s = 60\ncancel_s = 61\n", "must be at least lease_s + report_s"},
};
class BadExperiment : public testing::TestWithParam<Bad> {};
INSTANTIATE_TEST_SUITE_P(Experiments, BadExperiment, testing::ValuesIn(bad),
                         [](auto& info) { return std::string(info.param.name); });
TEST_P(BadExperiment, IsRefusedByName) {
    try {
        parse_experiment(GetParam().text, "file.toml");
        FAIL() << "was taken";
    } catch (const ExperimentError& r) {
        EXPECT_NE(std::string(r.what()).find(GetParam().said), std::string::npos) << r.what();
        EXPECT_TRUE(std::string(r.what()).starts_with("file.toml: "));
    }
}
TEST(Experiment, OverridesReplaceFields) {
    auto e = parse_experiment(good, "f", {{"workers", "70"}, {"load.teams", "3"}, {"name", "other"}});
    EXPECT_EQ(e.workers, 70u);
    EXPECT_EQ(e.load.teams, 3u);
    EXPECT_EQ(e.name, "other");
}
TEST(Experiment, AddressesOfAllHostsDiffer) {
    auto e = parse_experiment(good, "f", {{"port_base", "20000"}});
    std::set<std::string> all;
    std::size_t n = 0;
    for (std::uint64_t k = 0; k < 20000; ++k, ++n) all.insert(e.worker_addr(k));
    for (std::uint32_t k = 0; k < 17; ++k, n += 2)
        all.insert(e.controller_addr(k)), all.insert(e.peer_addr(k));
    for (std::uint32_t k = 0; k < 32; ++k, ++n) all.insert(e.worker_control_addr(k));
    for (auto& a :
         {e.kv_store_addr(), e.cloud_addr(), e.load_control_addr(), e.infrastructure_control_addr()})
        all.insert(a), ++n;
    EXPECT_EQ(all.size(), n);
}
// The controllers themselves read them.
TEST(Experiment, SettingsOfControllersAreTaken) {
    auto e = parse_experiment(good, "f", {{"port_base", "20000"}, {"load.tight_cpus", "3"}});
    auto s = config::parse_settings(controller_settings(e, 1), "settings");
    EXPECT_EQ(s.label, "berth-1");
    EXPECT_EQ(s.peers.size(), 2u);
    EXPECT_EQ(s.teams.back().cpus_max, 3);
    EXPECT_EQ(config::parse_operator(operator_settings(e), "operator").max_machines, 30u);
}
TEST(RunFailures, NameBrokenRulesAndWorkThatWasNotDone) {
    nlohmann::json end{{"broken", nlohmann::json::array()},
                       {"tasks_begun", 5},
                       {"tasks_done", 4},
                       {"done", 2},
                       {"refused", 0}};
    EXPECT_TRUE(run_failures({{"end", end}}).empty());
    for (auto* zero : {"tasks_begun", "tasks_done", "done"}) {
        auto worse = end;
        worse[zero] = 0;
        EXPECT_EQ(run_failures({{"end", worse}}).size(), 1u) << zero;
    }
    end["broken"] = {"1.0 ran_twice j-1/0", "2.0 quota j-2/0"};
    EXPECT_EQ(run_failures({{"end", end}}).size(), 2u);
}
TEST(LatencyHistograms, PercentilesAreWithinATwentieth) {
    LatencyHistograms l;
    for (int k = 1; k <= 1000; ++k) l.observe("p", "c", "m", k * 0.01);
    auto row = l.summary().at("p/c/m");
    EXPECT_EQ(row.at("count"), 1000);
    for (auto& [name, exact] : {std::pair{"p50", 5.0}, {"p90", 9.0}, {"p99", 9.9}}) {
        EXPECT_GE(row.at(name).get<double>(), exact);
        EXPECT_LE(row.at(name).get<double>(), exact * 1.06);
    }
    EXPECT_DOUBLE_EQ(row.at("max").get<double>(), 10);
}

}  // namespace
}  // namespace coralhitch::scale
