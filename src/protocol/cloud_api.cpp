#include "protocol/cloud_api.hpp"

#include "protocol/json_fields.hpp"
#include "protocol/json_reader.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace paths {
std::string host_list(std::string_view after, int limit) {
    std::string p = "/hosts?limit=" + std::to_string(limit);
    if (!after.empty()) p += "&since=" + std::string(after);
    return p;
}
}  // namespace paths

namespace {
MachineType type_of(const json& e) {
    MachineType t;
    t.name = fields::text(e, "name");
    t.capacity = {fields::amount(e, "vcpus"), fields::amount(e, "cards"), fields::amount(e, "ram_gb")};
    t.cache_gb = fields::amount(e, "cache_gb");
    t.fetch_gb_per_s = fields::amount(e, "fetch_gb_per_s");
    t.price = fields::amount(e, "hourly");
    t.spot_price = fields::amount(e, "spot_price");
    t.boot_s = fields::amount(e, "startup_s");
    t.zones = fields::texts(fields::list(e, "reefs"), "reefs");
    return t;
}
}  // namespace

std::vector<MachineType> parse_types(std::string_view body) {
    std::vector<MachineType> out;
    json j = fields::parse_object(body);
    for (auto& e : fields::list(j, "hulls")) out.push_back(type_of(e));
    return out;
}
std::string rent_request(std::string_view name, std::string_view type, std::string_view zone, bool spot,
                         int n) {
    return fields::dumped(
        json{{"charter", name}, {"hull", type}, {"reef", zone}, {"driftwood", spot}, {"how_many", n}});
}
std::vector<std::string> parse_rented(std::string_view body) {
    json j = fields::parse_object(body);
    return fields::texts(fields::list(j, "berths"), "berths");
}
std::string delete_request(std::span<const std::string> machines) {
    json a = json::array();
    for (auto& m : machines) a.push_back(m);
    return fields::dumped(json{{"berths", a}});
}

HostPage parse_hosts(std::string_view body) {
    simdjson::dom::parser p;
    auto o = reader::root(p, body);
    HostPage page;
    for (auto e : reader::list(o, "berths")) {
        auto row = reader::as_object(e, "berths");
        Host h;
        h.id = reader::text(row, "id");
        reader::element addr;
        std::string_view a;
        if (reader::find(row, "addr", addr) && addr.get(a) == simdjson::SUCCESS) h.addr = a;
        h.type = reader::text(row, "hull");
        h.zone = reader::text(row, "reef");
        h.spot = reader::flag(row, "driftwood");
        h.state = named(host_state_names, reader::text(row, "status"), "status");
        h.age_s = reader::amount(row, "age_s");
        page.hosts.push_back(std::move(h));
    }
    page.more = reader::more(o);
    return page;
}

}  // namespace coralhitch::protocol
