#include "metrics/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace coralhitch::metrics {
namespace {
prometheus::Histogram::BucketBoundaries seconds() {
    return {0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10};
}
}  // namespace

Metrics::Metrics()
    : requests_(prometheus::BuildCounter()
                    .Name("coralhitch_requests_total")
                    .Help("Requests answered")
                    .Register(registry_)),
      events_(prometheus::BuildCounter()
                  .Name("coralhitch_events_total")
                  .Help("What the leader did")
                  .Register(registry_)),
      draws_(prometheus::BuildCounter()
                 .Name("coralhitch_placements_total")
                 .Help("Tasks placed, draws, redraws and fallbacks")
                 .Register(registry_)),
      gauges_(
          prometheus::BuildGauge().Name("coralhitch_current").Help("Current figures").Register(registry_)),
      submit_(prometheus::BuildHistogram()
                  .Name("coralhitch_submit_seconds")
                  .Help("Time to answer a submission")
                  .Register(registry_)
                  .Add({}, seconds())),
      plan_(prometheus::BuildHistogram()
                .Name("coralhitch_plan_seconds")
                .Help("Time to plan a round")
                .Register(registry_)
                .Add({}, seconds())) {}

std::string Metrics::text() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}
void Metrics::request(const std::string& route, int status) {
    requests_.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
}

}  // namespace coralhitch::metrics
