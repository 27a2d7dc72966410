// What makes a run a failure, whatever its figures are.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace coralhitch::scale {

// Broken rules, no work done, refused jobs: one line each, of what summarize() gave. Empty: the run is good.
std::vector<std::string> run_failures(const nlohmann::json& summary);

}  // namespace coralhitch::scale
