#include "protocol/json_fields.hpp"

#include <cmath>

namespace coralhitch::protocol::fields {
using nlohmann::json;

json parse_object(std::string_view body) {
    json j = json::parse(body, nullptr, false);
    if (j.is_discarded()) throw Malformed("not JSON");
    if (!j.is_object()) throw Malformed("not an object");
    return j;
}
const json* find(const json& j, const char* field) {
    auto it = j.find(field);
    return it == j.end() || it->is_null() ? nullptr : &*it;
}
const json& need(const json& j, const char* field) {
    auto* v = find(j, field);
    if (!v) bad(field, "is missing");
    return *v;
}
std::string text(const json& j, const char* field) {
    auto& v = need(j, field);
    if (!v.is_string()) bad(field, "is not a string");
    auto s = v.get<std::string>();
    if (s.empty()) bad(field, "is empty");
    if (s.size() > max_text) bad(field, "is too long");
    return s;
}
bool flag(const json& j, const char* field) {
    auto& v = need(j, field);
    if (!v.is_boolean()) bad(field, "is not true or false");
    return v.get<bool>();
}
double as_amount(const json& v, const char* field) {
    if (!v.is_number()) bad(field, "is not a number");
    double d = v.get<double>();
    if (!std::isfinite(d)) bad(field, "is not finite");
    if (d < 0) bad(field, "is negative");
    return d;
}
double amount(const json& j, const char* field) {
    return as_amount(need(j, field), field);
}
std::uint64_t count(const json& j, const char* field) {
    auto& v = need(j, field);
    if (!v.is_number_unsigned()) bad(field, "is not a count");
    return v.get<std::uint64_t>();
}
const json& list(const json& j, const char* field) {
    auto& v = need(j, field);
    if (!v.is_array()) bad(field, "is not a list");
    return v;
}
std::vector<std::string> texts(const json& v, const char* field) {
    if (!v.is_array()) bad(field, "is not a list");
    std::vector<std::string> out;
    for (auto& e : v) {
        if (!e.is_string()) bad(field, "holds something that is not a string");
        out.push_back(e.get<std::string>());
    }
    return out;
}
std::string dumped(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace coralhitch::protocol::fields
