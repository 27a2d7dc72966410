// Latencies by class of work, in prometheus-cpp's histogram with buckets a twentieth apart (Debian 12 has no
// HdrHistogram or DDSketch for C or C++).
#pragma once
#include <prometheus/histogram.h>

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace coralhitch::scale {

class Latencies {
  public:
    void observe(const std::string& phase, const std::string& job_class, const std::string& measure,
                 double seconds) {
        auto& h = histograms_[phase + "/" + job_class + "/" + measure];
        if (!h.histogram) h.histogram = std::make_unique<prometheus::Histogram>(boundaries());
        h.histogram->Observe(seconds);
        h.most = std::max(h.most, seconds);
    }
    // By "phase/class/measure": count, percentiles and maximum, in seconds. A percentile is the upper end of
    // its bucket, so up to a twentieth too high.
    nlohmann::json summary() const {
        auto out = nlohmann::json::object();
        for (auto& [name, h] : histograms_) {
            auto data = h.histogram->Collect().histogram;
            auto count = data.sample_count;
            nlohmann::json row{{"count", count}, {"mean", data.sample_sum / static_cast<double>(count)}};
            for (double p : {0.5, 0.9, 0.99, 0.999})
                row["p" + label(p)] =
                    std::min(h.most, percentile(data.bucket, p * static_cast<double>(count)));
            row["max"] = h.most;
            out[name] = row;
        }
        return out;
    }

  private:
    struct One {
        std::unique_ptr<prometheus::Histogram> histogram;
        double most = 0;
    };
    static std::string label(double p) {
        return p == 0.5 ? "50" : p == 0.9 ? "90" : p == 0.99 ? "99" : "99.9";
    }
    template <class Buckets>
    static double percentile(const Buckets& buckets, double rank) {
        for (auto& b : buckets)
            if (static_cast<double>(b.cumulative_count) >= rank) return b.upper_bound;
        return buckets.empty() ? 0 : buckets.back().upper_bound;
    }
    static prometheus::Histogram::BucketBoundaries boundaries() {
        constexpr double least_s = 0.0005, most_s = 3600, step = 1.05;
        prometheus::Histogram::BucketBoundaries out;
        for (double b = least_s; b < most_s; b *= step) out.push_back(b);
        return out;
    }
    std::map<std::string, One> histograms_;
};

}  // namespace coralhitch::scale
