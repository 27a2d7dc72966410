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
inline bool find(const object& o, const char* field, element& out) {
    return o.at_key(field).get(out) == simdjson::SUCCESS && !out.is_null();
}
inline element need(const object& o, const char* field) {
    element e;
    if (!find(o, field, e)) bad(field, "is missing");
    return e;
}
inline std::string text(const object& o, const char* field) {
    std::string_view s;
    if (need(o, field).get(s) != simdjson::SUCCESS) bad(field, "is not a string");
    if (s.empty()) bad(field, "is empty");
    if (s.size() > max_text) bad(field, "is too long");
    return std::string(s);
}
inline bool flag(const object& o, const char* field) {
    bool b = false;
    if (need(o, field).get(b) != simdjson::SUCCESS) bad(field, "is not true or false");
    return b;
}
inline std::uint64_t count(const object& o, const char* field) {
    auto e = need(o, field);
    std::uint64_t n = 0;
    if (e.get(n) != simdjson::SUCCESS) bad(field, "is not a count");
    return n;
}
inline double amount(const object& o, const char* field) {
    double d = 0;
    if (need(o, field).get(d) != simdjson::SUCCESS) bad(field, "is not a number");
    if (!std::isfinite(d)) bad(field, "is not finite");
    if (d < 0) bad(field, "is negative");
    return d;
}
inline array list(const object& o, const char* field) {
    array a;
    if (need(o, field).get(a) != simdjson::SUCCESS) bad(field, "is not a list");
    return a;
}
inline object as_object(const element& e, const char* field) {
    object o;
    if (e.get(o) != simdjson::SUCCESS) bad(field, "holds something that is not an object");
    return o;
}
inline object root(simdjson::dom::parser& parser, std::string_view body) {
    element e;
    object o;
    if (parser.parse(body.data(), body.size()).get(e) != simdjson::SUCCESS) throw Malformed("not JSON");
    if (e.get(o) != simdjson::SUCCESS) throw Malformed("not an object");
    return o;
}
// Whether a list says that it goes on after this page.
inline bool more(const object& o) {
    element e;
    bool more = false;
    return find(o, "more", e) && e.get(more) == simdjson::SUCCESS && more;
}

}  // namespace coralhitch::protocol::reader
