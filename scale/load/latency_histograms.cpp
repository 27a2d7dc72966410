#include "scale/load/latency_histograms.hpp"

#include <prometheus/client_metric.h>

#include <algorithm>
#include <vector>

namespace coralhitch::scale {
namespace {

struct Percentile {
    const char* name;
    double share;
};
constexpr Percentile percentiles[] = {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}};

prometheus::Histogram::BucketBoundaries bucket_boundaries() {
    constexpr double smallest_s = 0.0005, largest_s = 3600, step = 1.05;
    prometheus::Histogram::BucketBoundaries boundaries;
    for (double bound = smallest_s; bound < largest_s; bound *= step) boundaries.push_back(bound);
    return boundaries;
}

// Returns the upper bound of the bucket that holds the observation of this rank.
double bound_at(const std::vector<prometheus::ClientMetric::Bucket>& buckets, double rank) {
    for (auto& bucket : buckets)
        if (static_cast<double>(bucket.cumulative_count) >= rank) return bucket.upper_bound;
    return buckets.empty() ? 0 : buckets.back().upper_bound;
}

}  // namespace

void LatencyHistograms::observe(const std::string& phase, const std::string& job_class,
                                const std::string& measure, double seconds) {
    auto name = phase;
    name.append("/").append(job_class).append("/").append(measure);
    auto& histogram = histograms_[name];
    if (!histogram.buckets) histogram.buckets = std::make_unique<prometheus::Histogram>(bucket_boundaries());
    histogram.buckets->Observe(seconds);
    histogram.max_s = std::max(histogram.max_s, seconds);
}

nlohmann::json LatencyHistograms::summary() const {
    auto summary = nlohmann::json::object();
    for (auto& [name, histogram] : histograms_) {
        auto data = histogram.buckets->Collect().histogram;
        auto count = static_cast<double>(data.sample_count);
        nlohmann::json row{
            {"count", data.sample_count}, {"mean", data.sample_sum / count}, {"max", histogram.max_s}};
        for (auto& percentile : percentiles)
            row[percentile.name] = std::min(histogram.max_s, bound_at(data.bucket, percentile.share * count));
        summary[name] = row;
    }
    return summary;
}

}  // namespace coralhitch::scale
