#include "scale/config/controller_settings.hpp"

#include <gtest/gtest.h>

#include "config/settings.hpp"
#include "scale/config/experiment_file.hpp"
#include "smallest_experiment.hpp"

namespace coralhitch::scale {
namespace {

// Parses the settings with the controllers' own parser, since a difference would prevent a run from starting.
TEST(ControllerSettings, AreAcceptedByControllers) {
    auto experiment =
        parse_experiment(smallest_experiment, "f", {{"port_base", "20000"}, {"load.tight_cpus", "3"}});
    auto settings = config::parse_settings(controller_settings(experiment, 1), "settings");
    EXPECT_EQ(settings.label, "berth-1");
    EXPECT_EQ(settings.peers.size(), 2u);
    EXPECT_EQ(settings.teams.back().cpus_max, 3);
    EXPECT_EQ(config::parse_operator(operator_settings(experiment), "operator").max_machines, 30u);
}

}  // namespace
}  // namespace coralhitch::scale
