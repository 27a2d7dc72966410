// Summarizes the resource usage and traffic of each process in one phase of an experiment.
#pragma once
#include <nlohmann/json.hpp>

namespace coralhitch::scale {

// Summarizes an element of `phases` in the value returned by run_experiment(): a phase's name, and a snapshot
// each at its beginning and end.
nlohmann::json summarize_phase(const nlohmann::json& phase);

}  // namespace coralhitch::scale
