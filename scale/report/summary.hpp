// The result of a run: rates by phase and process, latencies by class of work, broken rules.
#pragma once
#include <nlohmann/json.hpp>

namespace coralhitch::scale {

// Of what run_experiment() gave. Its field names are an interface: docs/capacity holds results of all
// versions, and slopes.py reads them.
nlohmann::json summarize(const nlohmann::json& measured);

}  // namespace coralhitch::scale
