// From snapshots to figures: what each role used and said in each phase.
#pragma once
#include <nlohmann/json.hpp>
#include <ostream>

namespace coralhitch::scale {

// Of what run_experiment() gave: rates by phase and role, latencies by class of work, rules broken.
nlohmann::json summary(const nlohmann::json& measured);
void print_table(std::ostream& out, const nlohmann::json& summary);
// What makes a run a failure: broken rules, no work done. Empty: nothing.
std::vector<std::string> complaints(const nlohmann::json& summary);

}  // namespace coralhitch::scale
