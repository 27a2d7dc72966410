#include "scale/outside.hpp"

#include <nlohmann/json.hpp>

#include "protocol/cloud_api.hpp"
#include "protocol/malformed.hpp"
#include "protocol/names.hpp"

namespace coralhitch::scale::outside {
using nlohmann::json;
using namespace protocol;

namespace {
json parse(std::string_view body) {
    auto j = json::parse(body, nullptr, false);
    if (!j.is_object()) throw Malformed("not an object");
    return j;
}
std::string json_text(std::string_view text) {
    return json(text).dump();
}
TaskId task_id(const std::string& text) {
    auto slash = text.rfind('/');
    if (slash == std::string::npos) throw Malformed("not a task id");
    return {text.substr(0, slash), static_cast<std::uint32_t>(std::stoul(text.substr(slash + 1)))};
}
}  // namespace

JobStatus parse_status(std::string_view body) {
    auto j = parse(body);
    JobStatus s;
    s.id = j.value("id", "");
    s.state = named(job_state_names, j.value("status", ""), "status");
    if (j.contains("done")) s.done = j["done"].get<std::uint64_t>();
    if (j.contains("running")) s.running = j["running"].get<std::uint64_t>();
    return s;
}

std::string report_body(const Heartbeat& r) {
    std::string out = R"({"berth":")" + r.machine + R"(","addr":")" + r.addr + R"(","hull":")" + r.type +
                      R"(","reef":")" + r.zone + R"(","driftwood":)" + (r.spot ? "true" : "false") +
                      R"(,"watch":)" + std::to_string(r.agent_epoch) + R"(,"tally":)" +
                      std::to_string(r.sequence) + R"(,"helm":)" + std::to_string(r.token) +
                      R"(,"warning_s":null,"shards":[)";
    for (auto& t : r.tasks) {
        if (out.back() == '}') out += ',';
        out +=
            R"({"shard":")" + t.task.str() + R"(","launch":)" + std::to_string(t.attempt) + R"(,"status":")";
        out += name_of(task_state_names, t.state);
        out += '"';
        if (t.state == TaskState::exited) {
            out += R"(,"cause":")";
            out += name_of(cause_names, t.cause);
            out += '"';
        }
        out += '}';
    }
    return out + "]}";
}
Orders parse_orders(std::string_view body) {
    auto j = parse(body);
    Orders out;
    if (j.contains("helm")) out.token = j["helm"].get<std::uint64_t>();
    if (j.contains("watch")) out.agent_epoch = j["watch"].get<std::uint64_t>();
    if (!j.contains("orders")) return out;
    for (auto& o : j["orders"]) {
        Command c;
        c.kind = named(command_names, o.value("verb", ""), "verb");
        c.task = task_id(o.value("shard", ""));
        c.attempt = o.value("launch", std::uint64_t{0});
        c.grace_s = o.value("slack_s", 0.0);
        out.commands.push_back(std::move(c));
    }
    return out;
}
std::optional<std::string> parse_elsewhere(std::string_view body) {
    auto j = json::parse(body, nullptr, false);
    if (!j.is_object() || !j.contains("harbor") || !j["harbor"].is_string()) return std::nullopt;
    return j["harbor"].get<std::string>();
}

Rent parse_rent(std::string_view body) {
    auto j = parse(body);
    return {j.at("charter").get<std::string>(), j.at("hull").get<std::string>(),
            j.at("reef").get<std::string>(), j.at("driftwood").get<bool>(),
            j.at("how_many").get<std::uint32_t>()};
}
std::vector<std::string> parse_machines(std::string_view body) {
    return parse(body).at("berths").get<std::vector<std::string>>();
}
std::string machines_body(const std::vector<std::string>& machines) {
    return json{{"berths", machines}}.dump();
}
std::string hosts_body(const std::vector<Host>& hosts, bool more) {
    json list = json::array();
    for (auto& h : hosts)
        list.push_back({{"id", h.id},
                        {"addr", h.addr},
                        {"hull", h.type},
                        {"reef", h.zone},
                        {"driftwood", h.spot},
                        {"status", name_of(host_state_names, h.state)},
                        {"age_s", h.age_s}});
    return json{{"berths", std::move(list)}, {"more", more}}.dump();
}
std::vector<Host> parse_hosts(std::string_view body) {
    return protocol::parse_hosts(body).hosts;
}

Txn parse_txn(std::string_view body) {
    auto j = parse(body);
    Txn t;
    if (j.contains("if"))
        for (auto& c : j["if"])
            t.conditions.push_back({c.at("path").get<std::string>(), c.at("stamp").get<std::uint64_t>()});
    if (!j.contains("then")) return t;
    for (auto& c : j["then"]) {
        if (c.contains("put"))
            t.changes.push_back(
                {c["put"].get<std::string>(), c.at("value").dump(), c.value("mooring", std::uint64_t{0})});
        else
            t.changes.push_back({c.at("drop").get<std::string>(), std::nullopt, 0});
    }
    return t;
}
std::string revision_body(std::uint64_t revision) {
    return R"({"epoch":)" + std::to_string(revision) + "}";
}
std::string conflict_body(const std::vector<std::string>& failed, std::uint64_t revision) {
    return json{{"failed", failed}, {"epoch", revision}}.dump();
}
std::string entry_body(const Entry& e) {
    std::string out = R"({"path":)" + json_text(e.key) + R"(,"value":)" + e.value + R"(,"stamp":)" +
                      std::to_string(e.version);
    if (e.lease) out += R"(,"mooring":)" + std::to_string(e.lease);
    return out + "}";
}
std::string entries_body(const std::vector<Entry>& entries, bool more, std::uint64_t revision) {
    std::string out = R"({"entries":[)";
    for (auto& e : entries) {
        if (out.back() == '}') out += ',';
        out += entry_body(e);
    }
    return out + R"(],"more":)" + (more ? "true" : "false") + R"(,"epoch":)" + std::to_string(revision) + "}";
}
std::string events_body(const std::vector<const Event*>& events, std::uint64_t revision) {
    std::string out = R"({"epoch":)" + std::to_string(revision) + R"(,"news":[)";
    for (auto* e : events) {
        if (out.back() == '}') out += ',';
        out += (e->value ? R"({"put":)" : R"({"drop":)") + json_text(e->key);
        if (e->value) out += R"(,"value":)" + *e->value;
        out += R"(,"stamp":)" + std::to_string(e->version) + "}";
    }
    return out + "]}";
}
std::string lease_body(std::uint64_t lease) {
    return R"({"mooring":)" + std::to_string(lease) + "}";
}
double parse_ttl_s(std::string_view body) {
    return parse(body).at("ttl_ms").get<double>() / 1000;
}
std::string query(const std::string& target, const std::string& name) {
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto next = target.find('&', at + 1);
        auto part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
        at = next;
    }
    return "";
}

}  // namespace coralhitch::scale::outside
