// What the cloud reads and answers.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::scale::messages {

struct CreateRequest {
    std::string name;  // of the request: repeated ones have the same
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 0;
};
CreateRequest parse_create_request(std::string_view body);
// Ids of machines, as requests to delete them name them and as answers to requests for some do.
std::vector<std::string> parse_machines(std::string_view body);
std::string machines_body(const std::vector<std::string>& machines);
std::string hosts_body(const std::vector<protocol::Host>& hosts, bool more);

}  // namespace coralhitch::scale::messages
