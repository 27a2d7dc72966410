// An experiment file with an error must be rejected with a text that names the field, instead of running
// another experiment than was meant.
#include "scale/config/experiment_file.hpp"

#include <gtest/gtest.h>

#include "smallest_experiment.hpp"

namespace coralhitch::scale {
namespace {

struct InvalidFile {
    const char* name;
    std::string text;
    const char* expected_error;
};
const InvalidFile invalid_files[] = {
    {"empty", "", "field 'name' is missing"},
    {"syntax", "name = ", "line 1"},
    {"unknown", "wrokers = 3\n" + smallest_experiment, "field 'wrokers' is not known"},
    {"unknown_in_table", smallest_experiment + "[load]\nteems = 3\n", "field 'load.teems' is not known"},
    {"range", smallest_experiment + "[state]\nvalue_kb = 65\n", "field 'state.value_kb' must be"},
    {"region", smallest_experiment + "[[faults]]\nkind = \"region_link\"\n",
     "'region_link' is not supported"},
    {"configuration", smallest_experiment + "[[faults]]\nkind = \"configuration\"\n",
     "'configuration' is not supported"},
    {"no_fault", smallest_experiment + "[[faults]]\nkind = \"flood\"\n", "'flood' is not a fault"},
    {"no_zone", smallest_experiment + "[[faults]]\nkind = \"zone\"\nwhich = \"q\"\n", "there is no zone 'q'"},
    {"no_controller", smallest_experiment + "[[faults]]\nkind = \"controller\"\nwhich = \"berth-3\"\n",
     "no controller 'berth-3'"},
    {"too_late", smallest_experiment + "[[faults]]\nkind = \"rack\"\nat_s = 10\n", "after the last phase"},
    {"lease", smallest_experiment + "[worker]\nlease_s = 60\ncancel_s = 61\n",
     "must be at least lease_s + report_s"},
};
class InvalidExperiment : public testing::TestWithParam<InvalidFile> {};
INSTANTIATE_TEST_SUITE_P(Experiments, InvalidExperiment, testing::ValuesIn(invalid_files),
                         [](auto& info) { return std::string(info.param.name); });
TEST_P(InvalidExperiment, IsRejectedWithTheExpectedError) {
    try {
        parse_experiment(GetParam().text, "file.toml");
        FAIL() << "the invalid file was accepted";
    } catch (const ExperimentError& error) {
        EXPECT_NE(std::string(error.what()).find(GetParam().expected_error), std::string::npos)
            << error.what();
        EXPECT_TRUE(std::string(error.what()).starts_with("file.toml: "));
    }
}
TEST(ExperimentFile, OverridesReplaceFields) {
    auto experiment = parse_experiment(smallest_experiment, "f",
                                       {{"workers", "70"}, {"load.teams", "3"}, {"name", "other"}});
    EXPECT_EQ(experiment.workers, 70u);
    EXPECT_EQ(experiment.load.teams, 3u);
    EXPECT_EQ(experiment.name, "other");
}

}  // namespace
}  // namespace coralhitch::scale
