// An experiment file for tests.
#pragma once
#include <string>

namespace coralhitch::scale {

// Text of an experiment file with only the required fields.
inline const std::string smallest_experiment = R"(name = "x"
workers = 30
tasks_per_worker = 4
[[phases]]
name = "p"
seconds = 10
starts_per_worker_s = 0.5
)";

}  // namespace coralhitch::scale
