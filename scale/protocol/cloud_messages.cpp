#include "scale/protocol/cloud_messages.hpp"

#include "protocol/names.hpp"
#include "scale/protocol/json_object.hpp"

namespace coralhitch::scale::messages {
using nlohmann::json;

CreateRequest parse_create_request(std::string_view body) {
    auto object = parse_object(body);
    return {object.at("charter").get<std::string>(), object.at("hull").get<std::string>(),
            object.at("reef").get<std::string>(), object.at("driftwood").get<bool>(),
            object.at("how_many").get<std::uint32_t>()};
}

std::vector<std::string> parse_machines(std::string_view body) {
    return parse_object(body).at("berths").get<std::vector<std::string>>();
}
std::string machines_body(const std::vector<std::string>& machines) {
    return json{{"berths", machines}}.dump();
}

std::string hosts_body(const std::vector<protocol::Host>& hosts, bool more) {
    json list = json::array();
    for (auto& host : hosts)
        list.push_back({{"id", host.id},
                        {"addr", host.addr},
                        {"hull", host.type},
                        {"reef", host.zone},
                        {"driftwood", host.spot},
                        {"status", protocol::name_of(protocol::host_state_names, host.state)},
                        {"age_s", host.age_s}});
    return json{{"berths", std::move(list)}, {"more", more}}.dump();
}

}  // namespace coralhitch::scale::messages
