// Reads fields of JSON objects as nlohmann::json trees, for messages that are rare or small. Internal to this
// package. Unless said otherwise, a function throws Malformed, which names the field, if the field is missing
// or its value has the wrong type.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/names.hpp"

namespace coralhitch::protocol::fields {

// Parses a JSON object. Throws Malformed if the body is not JSON or not an object.
nlohmann::json parse_object(std::string_view body);
// Returns nullptr if the field is absent or null; the protocol treats both alike.
const nlohmann::json* find(const nlohmann::json& object, const char* field);
// Returns a required field.
const nlohmann::json& required(const nlohmann::json& object, const char* field);
// Returns a string that is not empty and not longer than max_text bytes.
std::string text(const nlohmann::json& object, const char* field);
bool flag(const nlohmann::json& object, const char* field);
// Returns a number that is finite and not negative. `field` is only used in the error.
double as_amount(const nlohmann::json& value, const char* field);
// Returns a field as `as_amount` does.
double amount(const nlohmann::json& object, const char* field);
// Returns an unsigned integer. Counts, versions and tokens use all 64 bits and are never converted to double.
std::uint64_t count(const nlohmann::json& object, const char* field);
const nlohmann::json& list(const nlohmann::json& object, const char* field);
std::vector<std::string> texts(const nlohmann::json& value, const char* field);
// Returns the JSON text; bytes that are not UTF-8 are replaced. Does not throw Malformed.
std::string to_json_text(const nlohmann::json& value);

}  // namespace coralhitch::protocol::fields
