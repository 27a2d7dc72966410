// Numbers out of and into result files.
#pragma once
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

namespace coralhitch::scale {

// 0 if there is no number at the JSON pointer.
inline double number_at(const nlohmann::json& document, const std::string& pointer) {
    nlohmann::json::json_pointer place(pointer);
    return document.contains(place) && document.at(place).is_number() ? document.at(place).get<double>() : 0;
}

// To four significant digits: results of one run are not exact, and files of them are read by people.
inline double rounded(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return std::atof(text);
}

}  // namespace coralhitch::scale
