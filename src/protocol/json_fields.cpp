#include "protocol/json_fields.hpp"

#include <cmath>

namespace coralhitch::protocol::fields {
using nlohmann::json;

json parse_object(std::string_view body) {
    json object = json::parse(body, nullptr, false);
    if (object.is_discarded()) throw Malformed("not JSON");
    if (!object.is_object()) throw Malformed("not an object");
    return object;
}
const json* find(const json& object, const char* field) {
    auto it = object.find(field);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}
const json& required(const json& object, const char* field) {
    auto* value = find(object, field);
    if (!value) throw_malformed(field, "is missing");
    return *value;
}
std::string text(const json& object, const char* field) {
    auto& value = required(object, field);
    if (!value.is_string()) throw_malformed(field, "is not a string");
    auto string = value.get<std::string>();
    if (string.empty()) throw_malformed(field, "is empty");
    if (string.size() > max_text) throw_malformed(field, "is too long");
    return string;
}
bool flag(const json& object, const char* field) {
    auto& value = required(object, field);
    if (!value.is_boolean()) throw_malformed(field, "is not true or false");
    return value.get<bool>();
}
double as_amount(const json& value, const char* field) {
    if (!value.is_number()) throw_malformed(field, "is not a number");
    auto number = value.get<double>();
    if (!std::isfinite(number)) throw_malformed(field, "is not finite");
    if (number < 0) throw_malformed(field, "is negative");
    return number;
}
double amount(const json& object, const char* field) {
    return as_amount(required(object, field), field);
}
std::uint64_t count(const json& object, const char* field) {
    auto& value = required(object, field);
    if (!value.is_number_unsigned()) throw_malformed(field, "is not a count");
    return value.get<std::uint64_t>();
}
const json& list(const json& object, const char* field) {
    auto& value = required(object, field);
    if (!value.is_array()) throw_malformed(field, "is not a list");
    return value;
}
std::vector<std::string> texts(const json& value, const char* field) {
    if (!value.is_array()) throw_malformed(field, "is not a list");
    std::vector<std::string> strings;
    for (auto& element : value) {
        if (!element.is_string()) throw_malformed(field, "holds something that is not a string");
        strings.push_back(element.get<std::string>());
    }
    return strings;
}
std::string to_json_text(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace coralhitch::protocol::fields
