// Runs one experiment: starts all processes, fills the cluster with services, runs the phases, injects the
// faults, measures, and ends all processes.
#pragma once
#include <nlohmann/json.hpp>

#include "scale/config/experiment.hpp"
#include "scale/runner/run_options.hpp"

namespace coralhitch::scale {

// Returns the measurements: snapshots at the beginning and end of each phase (see summarize()). Throws
// ExperimentError that tells the reason if the run can't be started or was aborted. All processes have ended
// in either case.
nlohmann::json run_experiment(Experiment experiment, const RunOptions& options);

}  // namespace coralhitch::scale
