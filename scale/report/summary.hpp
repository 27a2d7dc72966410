// Summarizes a run: rates by phase and process, latencies by class of job, and broken rules.
#pragma once
#include <nlohmann/json.hpp>

namespace coralhitch::scale {

// Summarizes the value returned by run_experiment(). The field names are an interface: docs/capacity holds
// results of all versions, and slopes.py reads them.
nlohmann::json summarize(const nlohmann::json& measured);

}  // namespace coralhitch::scale
