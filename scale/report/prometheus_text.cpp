#include "scale/report/prometheus_text.hpp"

#include <algorithm>

namespace coralhitch::scale {
namespace {

std::optional<std::string> label_value(std::string_view labels, std::string_view label) {
    std::string start(label);
    start += "=\"";
    auto at = labels.find(start);
    if (at == std::string_view::npos) return std::nullopt;
    auto value = labels.substr(at + start.size());
    return std::string(value.substr(0, value.find('"')));
}

}  // namespace

PrometheusText::PrometheusText(std::string_view text) {
    while (!text.empty()) {
        auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        // Label values may contain spaces, so the value is what follows the last space.
        auto space = line.rfind(' ');
        if (line.starts_with('#') || space == std::string_view::npos) continue;
        auto series = line.substr(0, space);
        auto brace = series.find('{');
        std::string_view labels;
        if (brace != std::string_view::npos) labels = series.substr(brace + 1, series.rfind('}') - brace - 1);
        samples_.push_back({std::string(series.substr(0, brace)), std::string(labels),
                            std::stod(std::string(line.substr(space + 1)))});
    }
}

std::optional<double> PrometheusText::value(std::string_view metric) const {
    for (auto& sample : samples_)
        if (sample.metric == metric && sample.labels.empty()) return sample.value;
    return std::nullopt;
}

std::map<std::string, double> PrometheusText::sums_by_label(std::string_view metric,
                                                            std::string_view label) const {
    std::map<std::string, double> sums;
    for (auto& sample : samples_) {
        if (sample.metric != metric) continue;
        if (auto value = label_value(sample.labels, label)) sums[*value] += sample.value;
    }
    return sums;
}

}  // namespace coralhitch::scale
