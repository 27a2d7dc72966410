// Histograms of latencies by class of job. They use prometheus-cpp's histogram with bucket bounds 5 % apart,
// because Debian 12 has no HdrHistogram or DDSketch for C or C++.
#pragma once
#include <prometheus/histogram.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace coralhitch::scale {

// One histogram for each phase, class of job and measured latency.
class LatencyHistograms {
  public:
    // Adds one latency.
    void observe(const std::string& phase, const std::string& job_class, const std::string& measure,
                 double seconds);
    // Returns the count, mean, percentiles and maximum in seconds under the key "phase/class/measure". A
    // percentile is the upper bound of its bucket, so it may be up to 5 % too high.
    [[nodiscard]] nlohmann::json summary() const;

  private:
    struct Histogram {
        std::unique_ptr<prometheus::Histogram> buckets;
        double max_s = 0;
    };
    std::map<std::string, Histogram> histograms_;
};

}  // namespace coralhitch::scale
