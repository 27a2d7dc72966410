#include "config/toml_table.hpp"

#include <cmath>
#include <limits>
#include <sstream>

#include "config/settings.hpp"

namespace coralhitch::config {
namespace {
constexpr int max_port = 65535;

// Without zeros at the end.
std::string to_text(double number) {
    std::ostringstream out;
    out << number;
    return out.str();
}

// 0 if the address has none.
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
    if (!value || value->empty()) fail(field, "must be a string that is not empty");
    return *value;
}

std::string TomlTable::address(const char* field) const {
    auto value = text(field);
    int port = port_of(value);
    if (value.rfind(':') == 0 || port < 1 || port > max_port)
        fail(field, "must be an address like 10.0.0.1:8080");
    return value;
}

double TomlTable::finite_number(const char* field) const {
    auto value = node(field).value<double>();
    if (!value || !std::isfinite(*value)) fail(field, "must be a number");
    return *value;
}

double TomlTable::number(const char* field, double least) const {
    double value = finite_number(field);
    if (value < least) fail(field, "must be at least " + to_text(least));
    return value;
}

double TomlTable::number_within(const char* field, double least, double most) const {
    double value = number(field, least);
    if (value > most) fail(field, "must be at most " + to_text(most));
    return value;
}

double TomlTable::positive_number(const char* field) const {
    double value = finite_number(field);
    if (value <= 0) fail(field, "must be above 0");
    return value;
}

std::uint32_t TomlTable::count(const char* field, std::uint32_t least) const {
    auto value = node(field).value<std::int64_t>();
    if (!value || *value < least || *value > std::numeric_limits<std::uint32_t>::max())
        fail(field, "must be a whole number from " + std::to_string(least));
    return static_cast<std::uint32_t>(*value);
}

std::vector<std::string> TomlTable::texts(const char* field) const {
    constexpr auto problem = "must be a list of strings";
    auto* array = node(field).as_array();
    if (!array) fail(field, problem);
    std::vector<std::string> values;
    values.reserve(array->size());
    for (auto& element : *array) {
        auto value = element.value<std::string>();
        if (!value) fail(field, problem);
        values.push_back(*value);
    }
    return values;
}

TomlTable TomlTable::subtable(const char* field) const {
    auto* table = node(field).as_table();
    if (!table) fail(field, "must be a table");
    return {*table, file_, path(field)};
}

std::vector<TomlTable> TomlTable::rows(const char* field) const {
    constexpr auto problem = "must be a list of tables";
    if (!has(field)) return {};
    auto* array = node(field).as_array();
    if (!array) fail(field, problem);
    std::vector<TomlTable> tables;
    tables.reserve(array->size());
    for (auto& element : *array) {
        auto* table = element.as_table();
        if (!table) fail(field, problem);
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

}  // namespace coralhitch::config
