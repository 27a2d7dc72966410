#include "protocol/cloud_api.hpp"

#include "protocol/json_fields.hpp"
#include "protocol/json_reader.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace paths {
std::string host_list(std::string_view after, int limit) {
    std::string path = "/hosts?limit=" + std::to_string(limit);
    if (!after.empty()) path += "&since=" + std::string(after);
    return path;
}
}  // namespace paths

namespace {
MachineType read_machine_type(const json& row) {
    MachineType type;
    type.name = fields::text(row, "name");
    type.capacity = {fields::amount(row, "vcpus"), fields::amount(row, "cards"),
                     fields::amount(row, "ram_gb")};
    type.cache_gb = fields::amount(row, "cache_gb");
    type.fetch_gb_per_s = fields::amount(row, "fetch_gb_per_s");
    type.price = fields::amount(row, "hourly");
    type.spot_price = fields::amount(row, "spot_price");
    type.boot_s = fields::amount(row, "startup_s");
    type.zones = fields::texts(fields::list(row, "reefs"), "reefs");
    return type;
}
Host read_host(const reader::element& element) {
    auto row = reader::as_object(element, "berths");
    Host host;
    host.id = reader::text(row, "id");
    reader::element addr;
    std::string_view addr_text;
    if (reader::find(row, "addr", addr) && addr.get(addr_text) == simdjson::SUCCESS) host.addr = addr_text;
    host.type = reader::text(row, "hull");
    host.zone = reader::text(row, "reef");
    host.spot = reader::flag(row, "driftwood");
    host.state = named(host_state_names, reader::text(row, "status"), "status");
    host.age_s = reader::amount(row, "age_s");
    return host;
}
}  // namespace

std::vector<MachineType> parse_types(std::string_view body) {
    std::vector<MachineType> types;
    json object = fields::parse_object(body);
    for (auto& row : fields::list(object, "hulls")) types.push_back(read_machine_type(row));
    return types;
}
std::string rent_request(std::string_view name, std::string_view type, std::string_view zone, bool spot,
                         int count) {
    return fields::to_json_text(
        json{{"charter", name}, {"hull", type}, {"reef", zone}, {"driftwood", spot}, {"how_many", count}});
}
std::vector<std::string> parse_rented(std::string_view body) {
    json object = fields::parse_object(body);
    return fields::texts(fields::list(object, "berths"), "berths");
}
std::string delete_request(std::span<const std::string> machines) {
    json ids = json::array();
    for (auto& id : machines) ids.push_back(id);
    return fields::to_json_text(json{{"berths", ids}});
}

HostPage parse_hosts(std::string_view body) {
    simdjson::dom::parser parser;
    auto object = reader::root(parser, body);
    HostPage page;
    for (auto element : reader::list(object, "berths")) page.hosts.push_back(read_host(element));
    page.more = reader::more(object);
    return page;
}

}  // namespace coralhitch::protocol
