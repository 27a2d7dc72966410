#include "protocol/kv_api.hpp"

#include "protocol/json_fields.hpp"
#include "protocol/json_reader.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {
std::string value_of(const reader::object& row) {
    return simdjson::minify(reader::need(row, "value"));
}
}  // namespace

namespace paths {
std::string kv(std::string_view key) {
    return "/kv/" + std::string(key);
}
std::string kv_list(std::string_view prefix, std::string_view after, int limit) {
    std::string p = "/kv?starts=" + std::string(prefix);
    if (!after.empty()) p += "&since=" + std::string(after);
    return p + "&limit=" + std::to_string(limit);
}
std::string watch(std::string_view prefix, std::uint64_t since, std::uint64_t wait_ms) {
    return "/watch?starts=" + std::string(prefix) + "&since=" + std::to_string(since) +
           "&hold_ms=" + std::to_string(wait_ms);
}
std::string lease(std::uint64_t id) {
    return "/holds/" + std::to_string(id);
}
std::string lease_renew(std::uint64_t id) {
    return lease(id) + "/renew";
}
}  // namespace paths

Entry parse_entry(std::string_view body) {
    json j = fields::parse_object(body);
    Entry e{fields::text(j, "path"), fields::dumped(fields::need(j, "value")), fields::count(j, "stamp"), 0};
    if (auto* l = fields::find(j, "mooring"); l && l->is_number_unsigned()) e.lease = l->get<std::uint64_t>();
    return e;
}
// Values are JSON texts of this program: they go in as they are.
std::string txn_request(const Txn& transaction) {
    std::string out = R"({"if":[)";
    for (auto& c : transaction.conditions) {
        if (out.back() == '}') out += ',';
        out += R"({"path":)" + fields::dumped(c.key) + R"(,"stamp":)" + std::to_string(c.version) + '}';
    }
    out += R"(],"then":[)";
    for (auto& c : transaction.changes) {
        if (out.back() == '}') out += ',';
        out += (c.value ? R"({"put":)" : R"({"drop":)") + fields::dumped(c.key);
        if (c.value) out += R"(,"value":)" + *c.value;
        if (c.value && c.lease) out += R"(,"mooring":)" + std::to_string(c.lease);
        out += '}';
    }
    return out + "]}";
}
std::uint64_t parse_revision(std::string_view body) {
    return fields::count(fields::parse_object(body), "epoch");
}
Conflict parse_conflict(std::string_view body) {
    json j = fields::parse_object(body);
    return {fields::texts(fields::list(j, "failed"), "failed")};
}
std::string lease_request(std::uint64_t ttl_ms) {
    return fields::dumped(json{{"ttl_ms", ttl_ms}});
}
std::uint64_t parse_lease(std::string_view body) {
    return fields::count(fields::parse_object(body), "mooring");
}

EntryPage parse_entries(std::string_view body) {
    simdjson::dom::parser p;
    auto o = reader::root(p, body);
    EntryPage page;
    for (auto e : reader::list(o, "entries")) {
        auto row = reader::as_object(e, "entries");
        page.entries.push_back({reader::text(row, "path"), value_of(row), reader::count(row, "stamp"), 0});
    }
    page.more = reader::more(o);
    page.revision = reader::count(o, "epoch");
    return page;
}

Events parse_events(std::string_view body) {
    simdjson::dom::parser p;
    auto o = reader::root(p, body);
    Events out;
    out.revision = reader::count(o, "epoch");
    for (auto e : reader::list(o, "news")) {
        auto row = reader::as_object(e, "news");
        Event v;
        reader::element put;
        if (reader::find(row, "put", put)) {
            v.key = reader::text(row, "put");
            v.value = value_of(row);
        } else {
            v.key = reader::text(row, "drop");
        }
        v.version = reader::count(row, "stamp");
        out.events.push_back(std::move(v));
    }
    return out;
}

}  // namespace coralhitch::protocol
