#include "metrics/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <iterator>

namespace coralhitch::metrics {
namespace {

prometheus::Histogram::BucketBoundaries latency_buckets_s() {
    return {0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10};
}

prometheus::MetricType prometheus_type(MetricType type) {
    return type == MetricType::counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
}

prometheus::ClientMetric series(prometheus::MetricType type, std::string_view label,
                                const std::string& label_value, double value) {
    prometheus::ClientMetric out;
    if (!label.empty()) out.label.push_back({std::string(label), label_value});
    if (type == prometheus::MetricType::Counter)
        out.counter.value = value;
    else
        out.gauge.value = value;
    return out;
}

struct LegacyFamily {
    const char *name, *help;
    prometheus::MetricType type;
};
constexpr LegacyFamily legacy_family_list[] = {
    {"coralhitch_events_total", "Deprecated: what the leader did", prometheus::MetricType::Counter},
    {"coralhitch_placements_total", "Deprecated: tasks placed, draws, redraws and fallbacks",
     prometheus::MetricType::Counter},
    {"coralhitch_current", "Deprecated: current figures", prometheus::MetricType::Gauge},
};

void append(std::vector<prometheus::MetricFamily>& to, std::vector<prometheus::MetricFamily> from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

}  // namespace

Metrics::Metrics()
    : requests_(prometheus::BuildCounter()
                    .Name("coralhitch_requests_total")
                    .Help("Requests answered")
                    .Register(registry_)),
      submission_seconds_(prometheus::BuildHistogram()
                              .Name("coralhitch_submit_seconds")
                              .Help("Time to answer a submission")
                              .Register(registry_)
                              .Add({}, latency_buckets_s())),
      planning_seconds_(prometheus::BuildHistogram()
                            .Name("coralhitch_plan_seconds")
                            .Help("Time to plan a round")
                            .Register(registry_)
                            .Add({}, latency_buckets_s())) {}

void Metrics::set(Metric metric, const std::string& label_value, double value) {
    values_[metric][label_value] = value;
}
void Metrics::increment(Metric metric, double by) {
    values_[metric][""] += by;
}
void Metrics::count_request(const std::string& route, int status) {
    requests_.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
}

std::string Metrics::text() const {
    auto families = registry_.Collect();
    append(families, current_families());
    append(families, legacy_families());
    return prometheus::TextSerializer().Serialize(families);
}

std::vector<prometheus::MetricFamily> Metrics::current_families() const {
    std::vector<prometheus::MetricFamily> families;
    for (auto& [metric, series_by_label] : values_) {
        auto& definition = definition_of(metric);
        prometheus::MetricFamily family{
            std::string(definition.name), std::string(definition.help), prometheus_type(definition.type), {}};
        for (auto& [label_value, value] : series_by_label)
            family.metric.push_back(series(family.type, definition.label, label_value, value));
        families.push_back(std::move(family));
    }
    return families;
}

std::vector<prometheus::MetricFamily> Metrics::legacy_families() const {
    std::vector<prometheus::MetricFamily> families;
    for (auto& legacy_family : legacy_family_list) {
        prometheus::MetricFamily family{legacy_family.name, legacy_family.help, legacy_family.type, {}};
        for (auto& [metric, series_by_label] : values_) {
            auto& legacy = definition_of(metric).legacy;
            if (legacy.family != family.name) continue;
            for (auto& [label_value, value] : series_by_label) {
                std::string old_value(legacy.prefix);
                old_value.append(legacy_label_value(metric, label_value)).append(legacy.suffix);
                family.metric.push_back(series(family.type, legacy.label, old_value, value));
            }
        }
        if (!family.metric.empty()) families.push_back(std::move(family));
    }
    return families;
}

}  // namespace coralhitch::metrics
