#include "scale/config/toml_fields.hpp"

#include <sstream>

#include "scale/config/experiment_error.hpp"

namespace coralhitch::scale {
namespace {

// Formats a number without the trailing zeros that std::to_string adds.
std::string number_text(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

}  // namespace

TomlFields::TomlFields(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

void TomlFields::number(const char* key, double& out, double least, double most) {
    auto* node = take(key);
    if (!node) return;
    auto value = node->value<double>();
    if (!value || !std::isfinite(*value) || *value < least || *value > most)
        fail(key, "must be a number from " + number_text(least) + " to " + number_text(most));
    out = *value;
}

std::int64_t TomlFields::integer(const char* key, const toml::node& node, std::int64_t least,
                                 std::int64_t most) const {
    auto value = node.value<std::int64_t>();
    if (!value || *value < least || *value > most)
        fail(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return *value;
}

void TomlFields::text(const char* key, std::string& out) {
    auto* node = take(key);
    if (!node) return;
    auto value = node->value<std::string>();
    if (!value) fail(key, "must be a string");
    out = *value;
}

void TomlFields::require(const char* key) const {
    if (!table_.get(key)) fail(key, "is missing");
}

void TomlFields::check_all_read() const {
    for (auto& [key, value] : table_)
        if (!read_.contains(std::string(key.str()))) fail(std::string(key.str()), "is not known");
}

void TomlFields::fail(const std::string& key, const std::string& problem) const {
    throw ExperimentError("field '" + (path_.empty() ? key : path_ + "." + key) + "' " + problem);
}

const toml::node* TomlFields::take(const char* key) {
    read_.insert(key);
    return table_.get(key);
}

}  // namespace coralhitch::scale
