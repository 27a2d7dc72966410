// Parses the Prometheus text format, which a controller serves at /metrics.
#pragma once
#include <map>
#include <sstream>
#include <string>

namespace coralhitch {

// Returns each series, with its labels as written, and its value as text.
inline std::map<std::string, std::string> parse_series(const std::string& text) {
    std::map<std::string, std::string> series;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
        if (!line.empty() && line[0] != '#') {
            auto end_of_name = line.rfind(' ');
            series[line.substr(0, end_of_name)] = line.substr(end_of_name + 1);
        }
    return series;
}

}  // namespace coralhitch
