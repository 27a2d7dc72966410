// Samples out of Prometheus' text format, as far as the controllers use it.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coralhitch::scale {

class PrometheusText {
  public:
    // Comments and lines that are no samples are skipped.
    explicit PrometheusText(std::string_view text);

    // Of a metric without labels; nothing if it is not served.
    [[nodiscard]] std::optional<double> value(std::string_view metric) const;
    // The sums of a metric's series by the value of one of its labels.
    [[nodiscard]] std::map<std::string, double> sums_by_label(std::string_view metric,
                                                              std::string_view label) const;

  private:
    struct Sample {
        std::string metric, labels;  // labels: what stands between the braces
        double value = 0;
    };
    std::vector<Sample> samples_;
};

}  // namespace coralhitch::scale
