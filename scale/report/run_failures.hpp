// Decides whether a run has failed, independently of its measurements.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace coralhitch::scale {

// Returns one line for each failure in the value returned by summarize(): broken rules, no completed work,
// rejected jobs. Returns an empty list if the run succeeded.
std::vector<std::string> run_failures(const nlohmann::json& summary);

}  // namespace coralhitch::scale
