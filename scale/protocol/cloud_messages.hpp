// Messages of the cloud: parses requests to it and writes its answers.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::scale::messages {

// A request to create machines.
struct CreateRequest {
    std::string name;  // identifies the request; a repetition has the same name
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 0;
};
// Parses a request to create machines. Throws if it is malformed.
CreateRequest parse_create_request(std::string_view body);
// Parse and write a list of machine ids, as in requests to delete machines and in answers to requests to
// create them.
std::vector<std::string> parse_machines(std::string_view body);
std::string machines_body(const std::vector<std::string>& machines);
// Writes one page of the list of machines. `more` says that further pages follow.
std::string hosts_body(const std::vector<protocol::Host>& hosts, bool more);

}  // namespace coralhitch::scale::messages
