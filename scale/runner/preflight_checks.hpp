// Checks of the preconditions of a run, made before any process is started. All throw an ExperimentError that
// says what is missing.
#pragma once
#include <string>

#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// Checks that the program can be executed.
void check_executable(const std::string& program);
// Raises the limit of file descriptors as far as possible, and checks that it is high enough for each
// process.
void check_descriptors(const Experiment& experiment);
// Chooses a base port if the experiment sets none, and checks that the ports of the experiment are free.
void choose_ports(Experiment& experiment);

}  // namespace coralhitch::scale
