#pragma once
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace coralhitch::metrics {

class Metrics {
  public:
    Metrics();
    std::string text() const;

  private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>&requests_, &events_, &draws_;
    prometheus::Family<prometheus::Gauge>& gauges_;
    prometheus::Histogram &submit_, &plan_;

  public:
    void request(const std::string& route, int status);
    void event(const std::string& name, double n = 1) { events_.Add({{"event", name}}).Increment(n); }
    void drawn(const std::string& what, double n) { draws_.Add({{"what", what}}).Increment(n); }
    void gauge(const std::string& name, double v) { gauges_.Add({{"of", name}}).Set(v); }
    void submit_took(double s) { submit_.Observe(s); }
    void plan_took(double s) { plan_.Observe(s); }
};

}  // namespace coralhitch::metrics
