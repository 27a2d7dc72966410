// A process's metrics: set by the packages that measure them, read as Prometheus text.
//
// Not thread-safe: all calls are on the event loop's thread.
#pragma once
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

#include "metrics/metric_definitions.hpp"

namespace coralhitch::metrics {

class Metrics {
  public:
    Metrics();

    // Sets a gauge, or a counter whose total is kept elsewhere. A series is served once it has been set.
    void set(Metric metric, double value) { set(metric, "", value); }
    // For a metric with a label: one series for each label value.
    void set(Metric metric, const std::string& label_value, double value);
    // Adds to a counter.
    void increment(Metric metric, double by = 1);

    // A user's request was answered. `route`: submit, query or cancel; `status`: of the HTTP answer.
    void count_request(const std::string& route, int status);
    void observe_submission(double seconds) { submission_seconds_.Observe(seconds); }
    void observe_planning_round(double seconds) { planning_seconds_.Observe(seconds); }

    // All series in Prometheus' text format: under their names, and for one release more under those that the
    // release before gave them.
    [[nodiscard]] std::string text() const;

  private:
    using SeriesByLabel = std::map<std::string, double>;  // key "": the metric has no label
    [[nodiscard]] std::vector<prometheus::MetricFamily> current_families() const;
    [[nodiscard]] std::vector<prometheus::MetricFamily> legacy_families() const;

    std::map<Metric, SeriesByLabel> values_;
    prometheus::Registry registry_;  // of the metrics below, which are no single numbers
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Histogram &submission_seconds_, &planning_seconds_;
};

}  // namespace coralhitch::metrics
