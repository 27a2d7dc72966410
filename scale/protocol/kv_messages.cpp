#include "scale/protocol/kv_messages.hpp"

#include "scale/protocol/json_object.hpp"

namespace coralhitch::scale::messages {
namespace {
using nlohmann::json;

std::string json_text(std::string_view text) {
    return json(text).dump();
}

protocol::Change parse_change(const json& change) {
    if (!change.contains("put")) return {change.at("drop").get<std::string>(), std::nullopt, 0};
    return {change["put"].get<std::string>(), change.at("value").dump(),
            change.value("mooring", std::uint64_t{0})};
}

}  // namespace

protocol::Txn parse_transaction(std::string_view body) {
    auto object = parse_object(body);
    protocol::Txn transaction;
    if (object.contains("if"))
        for (auto& condition : object["if"])
            transaction.conditions.push_back(
                {condition.at("path").get<std::string>(), condition.at("stamp").get<std::uint64_t>()});
    if (object.contains("then"))
        for (auto& change : object["then"]) transaction.changes.push_back(parse_change(change));
    return transaction;
}

std::string revision_body(std::uint64_t revision) {
    return R"({"epoch":)" + std::to_string(revision) + "}";
}
std::string conflict_body(const std::vector<std::string>& failed_keys, std::uint64_t revision) {
    return json{{"failed", failed_keys}, {"epoch", revision}}.dump();
}
std::string entry_body(const protocol::Entry& entry) {
    std::string out = R"({"path":)" + json_text(entry.key) + R"(,"value":)" + entry.value + R"(,"stamp":)" +
                      std::to_string(entry.version);
    if (entry.lease) out += R"(,"mooring":)" + std::to_string(entry.lease);
    return out + "}";
}
std::string entries_body(const std::vector<protocol::Entry>& entries, bool more, std::uint64_t revision) {
    std::string out = R"({"entries":[)";
    for (auto& entry : entries) {
        if (out.back() == '}') out += ',';
        out += entry_body(entry);
    }
    return out + R"(],"more":)" + (more ? "true" : "false") + R"(,"epoch":)" + std::to_string(revision) + "}";
}
std::string events_body(const std::vector<const protocol::Event*>& events, std::uint64_t revision) {
    std::string out = R"({"epoch":)" + std::to_string(revision) + R"(,"news":[)";
    for (auto* event : events) {
        if (out.back() == '}') out += ',';
        out += (event->value ? R"({"put":)" : R"({"drop":)") + json_text(event->key);
        if (event->value) out += R"(,"value":)" + *event->value;
        out += R"(,"stamp":)" + std::to_string(event->version) + "}";
    }
    return out + "]}";
}
std::string lease_body(std::uint64_t lease) {
    return R"({"mooring":)" + std::to_string(lease) + "}";
}
double parse_ttl_s(std::string_view body) {
    return parse_object(body).at("ttl_ms").get<double>() / 1000;
}

}  // namespace coralhitch::scale::messages
