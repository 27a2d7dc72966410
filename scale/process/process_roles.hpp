// The processes that one run of an experiment starts beside the controllers.
#pragma once
#include <cstdint>

#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// Each runs until it is killed.
int run_infrastructure_process(const Experiment& experiment);  // key-value store and cloud
int run_worker_process(const Experiment& experiment, std::uint32_t process);
int run_load_process(const Experiment& experiment);

}  // namespace coralhitch::scale
