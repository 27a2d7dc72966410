// Runs one experiment: starts all processes, fills the cluster, plays the phases and faults, measures, and
// ends all processes.
#pragma once
#include <nlohmann/json.hpp>

#include "scale/config/experiment.hpp"
#include "scale/runner/run_options.hpp"

namespace coralhitch::scale {

// What was measured: snapshots at the bounds of the phases (see summarize()). Throws ExperimentError with a
// clear line if the run can't be made or was broken off; no process is left then either.
nlohmann::json run_experiment(Experiment experiment, const RunOptions& options);

}  // namespace coralhitch::scale
