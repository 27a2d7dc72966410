// Translates a controller's metrics to the names that the result files of all versions use.
#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "scale/report/prometheus_text.hpp"

namespace coralhitch::scale {

// Values of one controller's metrics. Metrics that the controller does not serve are left out.
struct ControllerMetrics {
    std::map<std::string, double> requests_by_route;
    // Counters of elections, and of machines quarantined or marked for deletion.
    std::map<std::string, double> events;
    std::map<std::string, double> figures;  // all other numbers
    double planning_rounds = 0, planning_s = 0;
};

// Reads the metrics out of a controller's answer.
[[nodiscard]] ControllerMetrics read_controller_metrics(const PrometheusText& text);
// Converts to the form of the result files. nlohmann::json calls this function.
void to_json(nlohmann::json& out, const ControllerMetrics& metrics);

}  // namespace coralhitch::scale
