#include "config/toml_table.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>

#include "config/settings.hpp"

namespace coralhitch::config {
namespace {
constexpr int max_port = 65535;

// Returns a number without trailing zeros.
std::string to_text(double number, int significant_digits = 6) {
    std::ostringstream out;
    out << std::setprecision(significant_digits) << number;
    return out.str();
}

// Returns a value as an error shows it, on one line.
std::string describe(const toml::node& node) {
    if (auto* integer = node.as_integer()) return std::to_string(integer->get());
    if (auto* number = node.as_floating_point()) return to_text(number->get(), 15);
    if (auto* boolean = node.as_boolean()) return boolean->get() ? "true" : "false";
    if (node.is_array()) return "a list";
    if (node.is_table()) return "a table";
    auto* string = node.as_string();
    if (!string) return "a date or time";
    auto text = string->get();
    std::replace_if(
        text.begin(), text.end(), [](unsigned char letter) { return letter < ' '; }, ' ');
    return '"' + text + '"';
}

// Returns the port of an address, or 0 if it has none.
int port_of(const std::string& address) {
    auto colon = address.rfind(':');
    if (colon == std::string::npos) return 0;
    try {
        return std::stoi(address.substr(colon + 1));
    } catch (const std::exception&) {
        return 0;
    }
}
}  // namespace

std::string TomlTable::text(const char* field) const {
    auto value = node(field).value<std::string>();
    if (!value || value->empty()) fail_with_value(field, "must be a string that is not empty");
    return *value;
}

std::string TomlTable::address(const char* field) const {
    auto value = text(field);
    int port = port_of(value);
    if (value.rfind(':') == 0 || port < 1 || port > max_port)
        fail_with_value(field, "must be an address like 10.0.0.1:8080");
    return value;
}

double TomlTable::finite_number(const char* field) const {
    auto value = node(field).value<double>();
    if (!value || !std::isfinite(*value)) fail_with_value(field, "must be a number");
    return *value;
}

double TomlTable::number(const char* field, double min) const {
    double value = finite_number(field);
    if (value < min) fail_with_value(field, "must be at least " + to_text(min));
    return value;
}

double TomlTable::number_within(const char* field, double min, double max) const {
    double value = number(field, min);
    if (value > max) fail_with_value(field, "must be at most " + to_text(max));
    return value;
}

double TomlTable::positive_number(const char* field) const {
    double value = finite_number(field);
    if (value <= 0) fail_with_value(field, "must be above 0");
    return value;
}

std::uint32_t TomlTable::count(const char* field, std::uint32_t min) const {
    auto value = node(field).value<std::int64_t>();
    constexpr auto max = std::numeric_limits<std::uint32_t>::max();
    if (!value || *value < min || *value > max)
        fail_with_value(field,
                        "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return static_cast<std::uint32_t>(*value);
}

std::vector<std::string> TomlTable::texts(const char* field) const {
    constexpr auto problem = "must be a list of strings";
    auto* array = node(field).as_array();
    if (!array) fail_with_value(field, problem);
    std::vector<std::string> values;
    values.reserve(array->size());
    for (auto& element : *array) {
        auto value = element.value<std::string>();
        if (!value) fail_with_value(field, problem, element);
        values.push_back(*value);
    }
    return values;
}

TomlTable TomlTable::subtable(const char* field) const {
    auto* table = node(field).as_table();
    if (!table) fail_with_value(field, "must be a table");
    return {*table, file_, path(field)};
}

std::vector<TomlTable> TomlTable::rows(const char* field) const {
    constexpr auto problem = "must be a list of tables";
    if (!has(field)) return {};
    auto* array = node(field).as_array();
    if (!array) fail_with_value(field, problem);
    std::vector<TomlTable> tables;
    tables.reserve(array->size());
    for (auto& element : *array) {
        auto* table = element.as_table();
        if (!table) fail_with_value(field, problem, element);
        tables.emplace_back(*table, file_, path(field) + "[" + std::to_string(tables.size()) + "]");
    }
    return tables;
}

const toml::node& TomlTable::node(const char* field) const {
    auto* found = table_.get(field);
    if (!found) fail(field, "is missing");
    return *found;
}

std::string TomlTable::path(const char* field) const {
    return section_.empty() ? field : section_ + "." + field;
}

void TomlTable::fail(const char* field, const std::string& problem) const {
    throw BadSettings(file_, path(field), problem);
}

void TomlTable::fail_with_value(const char* field, const std::string& problem) const {
    fail_with_value(field, problem, node(field));
}

void TomlTable::fail_with_value(const char* field, const std::string& problem,
                                const toml::node& found) const {
    fail(field, problem + ", found " + describe(found));
}

}  // namespace coralhitch::config
