// Result files must have the same fields and values for metrics under their present names as for those under
// the names of the previous release. Otherwise results of different versions could not be compared.
#include "scale/report/controller_metrics.hpp"

#include <gtest/gtest.h>

#include "metrics/metrics.hpp"

namespace coralhitch::scale {
namespace {

// Returns a controller's metrics with a different value in each series, and two series for each metric with a
// label.
std::string text_with_every_metric() {
    metrics::Metrics metrics;
    double value = 0.5;
    for (auto& definition : metrics::metric_definitions()) {
        if (definition.label.empty()) {
            metrics.set(definition.metric, value += 1);
            continue;
        }
        for (auto* label_value : {"reads", "all machines settled"})
            metrics.set(definition.metric, label_value, value += 1);
    }
    metrics.count_request("query", 200);
    metrics.count_request("query", 503);
    metrics.count_request("submit", 201);
    metrics.observe_planning_round(0.25);
    metrics.observe_planning_round(0.5);
    return metrics.text();
}

// This can be checked only while controllers still serve the old series.
TEST(ControllerMetrics, EqualThoseOfThePreviousRelease) {
    PrometheusText text(text_with_every_metric());
    auto metrics = read_controller_metrics(text);
    EXPECT_EQ(metrics.events, text.sums_by_label("coralhitch_events_total", "event"));
    EXPECT_EQ(metrics.figures, text.sums_by_label("coralhitch_current", "of"));
    EXPECT_EQ(metrics.events.size(), 4u);
    EXPECT_EQ(metrics.figures.size(), 41u);
}
TEST(ControllerMetrics, AddUpRequestsOfARouteAndPlanningRounds) {
    auto metrics = read_controller_metrics(PrometheusText(text_with_every_metric()));
    EXPECT_EQ(metrics.requests_by_route, (std::map<std::string, double>{{"query", 2}, {"submit", 1}}));
    EXPECT_EQ(metrics.planning_rounds, 2);
    EXPECT_DOUBLE_EQ(metrics.planning_s, 0.75);
}
TEST(ControllerMetrics, OmitMetricsThatAreNotServed) {
    auto metrics =
        read_controller_metrics(PrometheusText("# HELP coralhitch_live_jobs Jobs\ncoralhitch_live_jobs 7\n"));
    EXPECT_TRUE(metrics.events.empty());
    EXPECT_EQ(metrics.figures, (std::map<std::string, double>{{"live_jobs", 7}}));
    EXPECT_EQ(nlohmann::json(metrics).at("gauges").at("live_jobs"), 7);
}

}  // namespace
}  // namespace coralhitch::scale
