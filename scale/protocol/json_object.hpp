// Parses the JSON object of a message.
#pragma once
#include <nlohmann/json.hpp>
#include <string_view>

#include "protocol/malformed.hpp"

namespace coralhitch::scale::messages {

// Parses a body. Throws protocol::Malformed if it is not a JSON object.
inline nlohmann::json parse_object(std::string_view body) {
    auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object()) throw protocol::Malformed("not an object");
    return object;
}

}  // namespace coralhitch::scale::messages
