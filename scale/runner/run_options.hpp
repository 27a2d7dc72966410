// How one run of an experiment is to be made.
#pragma once
#include <string>
#include <vector>

#include "scale/config/experiment_file.hpp"

namespace coralhitch::scale {

struct RunOptions {
    std::string self;        // this program
    std::string controller;  // the service's program
    std::string directory;   // for settings and logs; exists
    std::string file;        // of the experiment; the processes read it and the overrides again
    std::vector<Override> overrides;
    bool quiet = false;  // no progress lines
};

}  // namespace coralhitch::scale
