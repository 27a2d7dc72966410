// The processes that a run of an experiment starts in addition to the controllers.
#pragma once
#include <cstdint>

#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// Each function runs one process until it is killed.
int run_infrastructure_process(const Experiment& experiment);                 // key-value store and cloud
int run_worker_process(const Experiment& experiment, std::uint32_t process);  // hollow workers
int run_load_process(const Experiment& experiment);  // users, load balancer and checker

}  // namespace coralhitch::scale
