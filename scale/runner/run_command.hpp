// The command `run`: runs an experiment, or a sweep with one run for each value of a field. Prints the
// results and writes them to a file.
#pragma once
#include <string>
#include <vector>

#include "scale/config/experiment_file.hpp"

namespace coralhitch::scale {

// Arguments of the command line.
struct RunArguments {
    std::string experiment_file;
    std::string controller;    // the controller program; "": coralhitch in the directory of this program
    std::string results_file;  // "": no file is written
    std::string sweep;         // KEY=V1,V2,...; "": a single run
    std::vector<std::string> overrides;  // KEY=VALUE
    bool keep_directory = false, with_snapshots = false, quiet = false;
};

// Parses overrides of the form KEY=VALUE. Throws ExperimentError if a text does not have this form.
std::vector<Override> parse_overrides(const std::vector<std::string>& texts);

// Executes the command. Returns the exit status: 1 if a run failed, else 0. Throws ExperimentError if a run
// can't be started or was aborted.
int execute_run(const RunArguments& arguments);

}  // namespace coralhitch::scale
