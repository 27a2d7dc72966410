// What the messages of all counterparts are parsed with.
#pragma once
#include <nlohmann/json.hpp>
#include <string_view>

#include "protocol/malformed.hpp"

namespace coralhitch::scale::messages {

// Throws protocol::Malformed unless the body is a JSON object.
inline nlohmann::json parse_object(std::string_view body) {
    auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object()) throw protocol::Malformed("not an object");
    return object;
}

}  // namespace coralhitch::scale::messages
