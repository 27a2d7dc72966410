// Latencies by class of work, in prometheus-cpp's histogram with buckets a twentieth apart (Debian 12 has no
// HdrHistogram or DDSketch for C or C++).
#pragma once
#include <prometheus/histogram.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace coralhitch::scale {

class LatencyHistograms {
  public:
    void observe(const std::string& phase, const std::string& job_class, const std::string& measure,
                 double seconds);
    // By "phase/class/measure": count, percentiles and maximum, in seconds. A percentile is the upper end of
    // its bucket, so up to a twentieth too high.
    [[nodiscard]] nlohmann::json summary() const;

  private:
    struct Histogram {
        std::unique_ptr<prometheus::Histogram> buckets;
        double max_s = 0;
    };
    std::map<std::string, Histogram> histograms_;
};

}  // namespace coralhitch::scale
