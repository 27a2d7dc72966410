// Reads JSON that comes often or is long, without building a tree of values: what a new leader reads first
// took it longer that way than all it did with it. For the sources of this package only. Throws Malformed.
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

// Absent and null are the same.
inline bool find(const object& parent, const char* field, element& value) {
    return parent.at_key(field).get(value) == simdjson::SUCCESS && !value.is_null();
}
inline element need(const object& parent, const char* field) {
    element value;
    if (!find(parent, field, value)) bad(field, "is missing");
    return value;
}
// Not empty, and no longer than max_text.
inline std::string text(const object& parent, const char* field) {
    std::string_view value;
    if (need(parent, field).get(value) != simdjson::SUCCESS) bad(field, "is not a string");
    if (value.empty()) bad(field, "is empty");
    if (value.size() > max_text) bad(field, "is too long");
    return std::string(value);
}
inline bool flag(const object& parent, const char* field) {
    bool value = false;
    if (need(parent, field).get(value) != simdjson::SUCCESS) bad(field, "is not true or false");
    return value;
}
inline std::uint64_t count(const object& parent, const char* field) {
    auto number = need(parent, field);
    std::uint64_t value = 0;
    if (number.get(value) != simdjson::SUCCESS) bad(field, "is not a count");
    return value;
}
// Finite and not negative.
inline double amount(const object& parent, const char* field) {
    double value = 0;
    if (need(parent, field).get(value) != simdjson::SUCCESS) bad(field, "is not a number");
    if (!std::isfinite(value)) bad(field, "is not finite");
    if (value < 0) bad(field, "is negative");
    return value;
}
inline array list(const object& parent, const char* field) {
    array value;
    if (need(parent, field).get(value) != simdjson::SUCCESS) bad(field, "is not a list");
    return value;
}
// An element of the list of this name.
inline object as_object(const element& value, const char* list_name) {
    object row;
    if (value.get(row) != simdjson::SUCCESS) bad(list_name, "holds something that is not an object");
    return row;
}
// The body's object; valid as long as the parser has read nothing else.
inline object root(simdjson::dom::parser& parser, std::string_view body) {
    element value;
    object root;
    if (parser.parse(body.data(), body.size()).get(value) != simdjson::SUCCESS) throw Malformed("not JSON");
    if (value.get(root) != simdjson::SUCCESS) throw Malformed("not an object");
    return root;
}
// Whether a list says that it goes on after this page.
inline bool more(const object& page) {
    element value;
    bool more = false;
    return find(page, "more", value) && value.get(more) == simdjson::SUCCESS && more;
}

}  // namespace coralhitch::protocol::reader
