// Makes readable names for the cases of parameterized tests.
#pragma once
#include <gtest/gtest.h>

#include <cctype>
#include <cstdio>
#include <string>
#include <string_view>

namespace coralhitch::simulation {

// Returns the words of a description joined in camel case. Every character that a test's name may not contain
// separates words.
inline std::string camel_case(std::string_view words) {
    std::string name;
    bool word_begins = true;
    for (char character : words) {
        bool allowed = std::isalnum(static_cast<unsigned char>(character)) != 0;
        if (allowed) {
            auto upper = static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
            name += word_begins ? upper : character;
        }
        word_begins = !allowed;
    }
    return name;
}

// Returns a name for a number of seconds: "2p5s" for 2.5, "Minus0p5s" for -0.5.
inline std::string seconds_name(double seconds) {
    constexpr std::size_t max_length = 32;
    char digits[max_length];
    std::snprintf(digits, sizeof digits, "%.3g", seconds < 0 ? -seconds : seconds);
    std::string name = seconds < 0 ? "Minus" : "";
    for (const char* digit = digits; *digit != '\0'; ++digit) name += *digit == '.' ? 'p' : *digit;
    return name + "s";
}

// Name generator for cases that have a field `name`.
struct NameOfCase {
    template <class Case>
    std::string operator()(const testing::TestParamInfo<Case>& info) const {
        return camel_case(info.param.name);
    }
};

// Name generator for cases that are numbers: `what` followed by the number.
struct Numbered {
    const char* what;
    template <class Number>
    std::string operator()(const testing::TestParamInfo<Number>& info) const {
        return what + std::to_string(info.param);
    }
};

}  // namespace coralhitch::simulation
