#include "protocol/kv_api.hpp"

#include "protocol/json_fields.hpp"
#include "protocol/json_reader.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {
std::string value_of(const reader::object& row) {
    return simdjson::minify(reader::required(row, "value"));
}
}  // namespace

namespace paths {
std::string kv(std::string_view key) {
    return "/kv/" + std::string(key);
}
std::string kv_list(std::string_view prefix, std::string_view after, int limit) {
    std::string path = "/kv?starts=" + std::string(prefix);
    if (!after.empty()) path += "&since=" + std::string(after);
    return path + "&limit=" + std::to_string(limit);
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
    json object = fields::parse_object(body);
    Entry entry{fields::text(object, "path"), fields::to_json_text(fields::required(object, "value")),
                fields::count(object, "stamp"), 0};
    if (auto* lease = fields::find(object, "mooring"); lease && lease->is_number_unsigned())
        entry.lease = lease->get<std::uint64_t>();
    return entry;
}
// Inserts the values unescaped: they are JSON texts that this program has produced.
std::string txn_request(const Txn& transaction) {
    std::string text = R"({"if":[)";
    for (auto& condition : transaction.conditions) {
        if (text.back() == '}') text += ',';
        text += R"({"path":)" + fields::to_json_text(condition.key);
        text += R"(,"stamp":)" + std::to_string(condition.version) + '}';
    }
    text += R"(],"then":[)";
    for (auto& change : transaction.changes) {
        if (text.back() == '}') text += ',';
        text += (change.value ? R"({"put":)" : R"({"drop":)") + fields::to_json_text(change.key);
        if (change.value) text += R"(,"value":)" + *change.value;
        if (change.value && change.lease) text += R"(,"mooring":)" + std::to_string(change.lease);
        text += '}';
    }
    return text + "]}";
}
std::uint64_t parse_revision(std::string_view body) {
    return fields::count(fields::parse_object(body), "epoch");
}
Conflict parse_conflict(std::string_view body) {
    json object = fields::parse_object(body);
    return {fields::texts(fields::list(object, "failed"), "failed")};
}
std::string lease_request(std::uint64_t ttl_ms) {
    return fields::to_json_text(json{{"ttl_ms", ttl_ms}});
}
std::uint64_t parse_lease(std::string_view body) {
    return fields::count(fields::parse_object(body), "mooring");
}

EntryPage parse_entries(std::string_view body) {
    simdjson::dom::parser parser;
    auto object = reader::root(parser, body);
    EntryPage page;
    for (auto element : reader::list(object, "entries")) {
        auto row = reader::as_object(element, "entries");
        page.entries.push_back({reader::text(row, "path"), value_of(row), reader::count(row, "stamp"), 0});
    }
    page.more = reader::more(object);
    page.revision = reader::count(object, "epoch");
    return page;
}

Events parse_events(std::string_view body) {
    simdjson::dom::parser parser;
    auto object = reader::root(parser, body);
    Events events;
    events.revision = reader::count(object, "epoch");
    for (auto element : reader::list(object, "news")) {
        auto row = reader::as_object(element, "news");
        Event event;
        reader::element put;
        if (reader::find(row, "put", put)) {
            event.key = reader::text(row, "put");
            event.value = value_of(row);
        } else {
            event.key = reader::text(row, "drop");
        }
        event.version = reader::count(row, "stamp");
        events.events.push_back(std::move(event));
    }
    return events;
}

}  // namespace coralhitch::protocol
