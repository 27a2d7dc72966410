// Parses the part of Prometheus' text format that the controllers use.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coralhitch::scale {

// The samples of one text.
class PrometheusText {
  public:
    // Parses the text. Skips comments and lines that are not samples.
    explicit PrometheusText(std::string_view text);

    // Returns the value of a metric without labels, or std::nullopt if the text does not have the metric.
    [[nodiscard]] std::optional<double> value(std::string_view metric) const;
    // Returns the sums of a metric's series, grouped by the value of one of its labels.
    [[nodiscard]] std::map<std::string, double> sums_by_label(std::string_view metric,
                                                              std::string_view label) const;

  private:
    struct Sample {
        std::string metric, labels;  // labels: the text between the braces
        double value = 0;
    };
    std::vector<Sample> samples_;
};

}  // namespace coralhitch::scale
