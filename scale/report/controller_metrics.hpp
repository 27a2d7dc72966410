// What a controller's metrics say, under the names that the result files of all versions have.
#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "scale/report/prometheus_text.hpp"

namespace coralhitch::scale {

struct ControllerMetrics {
    std::map<std::string, double> requests_by_route;
    std::map<std::string, double> events;   // counters of elections and of machines given up
    std::map<std::string, double> figures;  // all other single numbers
    double planning_rounds = 0, planning_s = 0;
};

[[nodiscard]] ControllerMetrics read_controller_metrics(const PrometheusText& text);
// Found by nlohmann::json.
void to_json(nlohmann::json& out, const ControllerMetrics& metrics);

}  // namespace coralhitch::scale
