// The command `run`: an experiment, or one for each value of a field, with the results printed and written.
#pragma once
#include <string>
#include <vector>

#include "scale/config/experiment_file.hpp"

namespace coralhitch::scale {

struct RunArguments {
    std::string experiment_file;
    std::string controller;              // the service's program; "": coralhitch beside this one
    std::string results_file;            // "": none is written
    std::string sweep;                   // KEY=V1,V2,...; "": one run
    std::vector<std::string> overrides;  // KEY=VALUE
    bool keep_directory = false, with_snapshots = false, quiet = false;
};

// Each text KEY=VALUE. Throws ExperimentError.
std::vector<Override> parse_overrides(const std::vector<std::string>& texts);

// Returns the exit status: 1 if a run failed. Throws ExperimentError if one can't be made.
int execute_run(const RunArguments& arguments);

}  // namespace coralhitch::scale
