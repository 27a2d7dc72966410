// What must hold before a run starts anything. All throw ExperimentError that says what is missing.
#pragma once
#include <string>

#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

void check_executable(const std::string& program);
// Raises the limit of file descriptors as far as it goes, and checks that it is enough for any of the
// processes.
void check_descriptors(const Experiment& experiment);
// Chooses the base of the ports if the experiment names none, and checks that they are free.
void choose_ports(Experiment& experiment);

}  // namespace coralhitch::scale
