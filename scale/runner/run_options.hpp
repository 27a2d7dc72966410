// Options of one run of an experiment.
#pragma once
#include <string>
#include <vector>

#include "scale/config/experiment_file.hpp"

namespace coralhitch::scale {

// Paths of programs and files, and options of the command line.
struct RunOptions {
    std::string self;        // path of this program
    std::string controller;  // path of the controller program
    std::string directory;   // existing directory for settings and logs
    std::string file;        // experiment file; the started processes also read it, with the same overrides
    std::vector<Override> overrides;
    bool quiet = false;  // print no progress lines
};

}  // namespace coralhitch::scale
