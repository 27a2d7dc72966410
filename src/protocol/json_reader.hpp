// Reads fields of JSON with simdjson, for messages that are frequent or long. Building nlohmann::json trees
// of the state that a new leader loads took longer than all processing of that state. Internal to this
// package. Unless said otherwise, a function throws Malformed if the field is missing or its value has the
// wrong type.
#pragma once
#include <simdjson.h>

#include <cmath>
#include <string>
#include <string_view>

#include "protocol/names.hpp"

namespace coralhitch::protocol::reader {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

// Returns false if the field is absent or null; the protocol treats both alike. Does not throw.
inline bool find(const object& parent, const char* field, element& value) {
    return parent.at_key(field).get(value) == simdjson::SUCCESS && !value.is_null();
}
// Returns a required field.
inline element required(const object& parent, const char* field) {
    element value;
    if (!find(parent, field, value)) throw_malformed(field, "is missing");
    return value;
}
// Returns a string that is not empty and not longer than max_text bytes.
inline std::string text(const object& parent, const char* field) {
    std::string_view value;
    if (required(parent, field).get(value) != simdjson::SUCCESS) throw_malformed(field, "is not a string");
    if (value.empty()) throw_malformed(field, "is empty");
    if (value.size() > max_text) throw_malformed(field, "is too long");
    return std::string(value);
}
inline bool flag(const object& parent, const char* field) {
    bool value = false;
    if (required(parent, field).get(value) != simdjson::SUCCESS)
        throw_malformed(field, "is not true or false");
    return value;
}
inline std::uint64_t count(const object& parent, const char* field) {
    auto number = required(parent, field);
    std::uint64_t value = 0;
    if (number.get(value) != simdjson::SUCCESS) throw_malformed(field, "is not a count");
    return value;
}
// Returns a number that is finite and not negative.
inline double amount(const object& parent, const char* field) {
    double value = 0;
    if (required(parent, field).get(value) != simdjson::SUCCESS) throw_malformed(field, "is not a number");
    if (!std::isfinite(value)) throw_malformed(field, "is not finite");
    if (value < 0) throw_malformed(field, "is negative");
    return value;
}
inline array list(const object& parent, const char* field) {
    array value;
    if (required(parent, field).get(value) != simdjson::SUCCESS) throw_malformed(field, "is not a list");
    return value;
}
// Returns an element of the list `list_name` as an object; the name is only used in the error.
inline object as_object(const element& value, const char* list_name) {
    object row;
    if (value.get(row) != simdjson::SUCCESS)
        throw_malformed(list_name, "holds something that is not an object");
    return row;
}
// Parses the body, which must be a JSON object. The result is valid until the parser is used again.
inline object root(simdjson::dom::parser& parser, std::string_view body) {
    element value;
    object root;
    if (parser.parse(body.data(), body.size()).get(value) != simdjson::SUCCESS) throw Malformed("not JSON");
    if (value.get(root) != simdjson::SUCCESS) throw Malformed("not an object");
    return root;
}
// Returns whether further pages of the list follow this one; false if the page does not say. Does not throw.
inline bool more(const object& page) {
    element value;
    bool more = false;
    return find(page, "more", value) && value.get(more) == simdjson::SUCCESS && more;
}

}  // namespace coralhitch::protocol::reader
