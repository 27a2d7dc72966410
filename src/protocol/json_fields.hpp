// Reads fields of JSON objects that come seldom or are small, as nlohmann::json trees. For the sources of
// this package only. Every function throws Malformed, which names the field, if the value is not what it
// reads.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/names.hpp"

namespace coralhitch::protocol::fields {

nlohmann::json parse_object(std::string_view body);
// Null if the field is absent or null, which mean the same.
const nlohmann::json* find(const nlohmann::json& object, const char* field);
const nlohmann::json& need(const nlohmann::json& object, const char* field);
// Not empty, and no longer than max_text.
std::string text(const nlohmann::json& object, const char* field);
bool flag(const nlohmann::json& object, const char* field);
// Finite and not negative.
double as_amount(const nlohmann::json& value, const char* field);
double amount(const nlohmann::json& object, const char* field);
// Counts, versions and tokens reach up to 2^64 and never pass through a double.
std::uint64_t count(const nlohmann::json& object, const char* field);
const nlohmann::json& list(const nlohmann::json& object, const char* field);
std::vector<std::string> texts(const nlohmann::json& value, const char* field);
// The JSON text; bytes that are not UTF-8 are replaced.
std::string dumped(const nlohmann::json& value);

}  // namespace coralhitch::protocol::fields
