// What each process used and sent in one phase of an experiment.
#pragma once
#include <nlohmann/json.hpp>

namespace coralhitch::scale {

// Of one element of `phases` of what run_experiment() gave: its name, and a snapshot at each of its bounds.
nlohmann::json summarize_phase(const nlohmann::json& phase);

}  // namespace coralhitch::scale
