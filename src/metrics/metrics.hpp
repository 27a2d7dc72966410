// The metrics of a process: set by the packages that measure them, served in Prometheus text format.
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

// Holds the current value of every metric.
class Metrics {
  public:
    Metrics();

    // Sets a gauge, or a counter whose total the caller keeps. A series is not served before it is first set.
    void set(Metric metric, double value) { set(metric, "", value); }
    // Sets one series of a metric that has a label.
    void set(Metric metric, const std::string& label_value, double value);
    // Adds to a counter.
    void increment(Metric metric, double by = 1);

    // Counts an answered user request. `route` is submit, query or cancel; `status` is the HTTP status code.
    void count_request(const std::string& route, int status);
    void observe_submission(double seconds) { submission_seconds_.Observe(seconds); }
    void observe_planning_round(double seconds) { planning_seconds_.Observe(seconds); }

    // Returns all series in Prometheus text format, both under their names and, for one more release, under
    // the names that the previous release used.
    [[nodiscard]] std::string text() const;

  private:
    using SeriesByLabel = std::map<std::string, double>;  // the key is "" if the metric has no label
    [[nodiscard]] std::vector<prometheus::MetricFamily> current_families() const;
    [[nodiscard]] std::vector<prometheus::MetricFamily> legacy_families() const;

    std::map<Metric, SeriesByLabel> values_;
    prometheus::Registry registry_;  // of the metrics below, which are not in metric_definitions()
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Histogram &submission_seconds_, &planning_seconds_;
};

}  // namespace coralhitch::metrics
