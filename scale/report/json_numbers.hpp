// Reads numbers from result files and rounds numbers for them.
#pragma once
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

namespace coralhitch::scale {

// Returns the number at the JSON pointer, or 0 if there is none.
inline double number_at(const nlohmann::json& document, const std::string& pointer) {
    nlohmann::json::json_pointer place(pointer);
    return document.contains(place) && document.at(place).is_number() ? document.at(place).get<double>() : 0;
}

// Rounds to four significant digits, since results of one run are not exact and people read the result files.
inline double rounded(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return std::atof(text);
}

}  // namespace coralhitch::scale
