// Runs one experiment: starts all processes, makes the faults, measures, and ends all processes.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "scale/config/experiment_file.hpp"

namespace coralhitch::scale {

struct RunOptions {
    std::string self;        // this program
    std::string controller;  // the service's
    std::string directory;   // for settings and logs; exists
    std::string file;        // of the experiment, and what was set beside it: the processes read both again
    std::vector<Override> overrides;
    bool quiet = false;  // no progress lines
};
// What was measured, as JSON: snapshots at the bounds of the phases (see summary()). Throws ExperimentError
// with a clear line if the run can't be made or was broken off; no process is left then either.
nlohmann::json run_experiment(Experiment experiment, const RunOptions& options);

}  // namespace coralhitch::scale
