#include "protocol/protocol.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "protocol/names.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {

json parse_object(std::string_view body) {
    json j = json::parse(body, nullptr, false);
    if (j.is_discarded()) throw Malformed("not JSON");
    if (!j.is_object()) throw Malformed("not an object");
    return j;
}
const json* find(const json& j, const char* field) {
    auto it = j.find(field);
    return it == j.end() || it->is_null() ? nullptr : &*it;
}
const json& need(const json& j, const char* field) {
    auto* v = find(j, field);
    if (!v) bad(field, "is missing");
    return *v;
}
std::string text(const json& j, const char* field) {
    auto& v = need(j, field);
    if (!v.is_string()) bad(field, "is not a string");
    auto s = v.get<std::string>();
    if (s.empty()) bad(field, "is empty");
    if (s.size() > max_text) bad(field, "is too long");
    return s;
}
bool flag(const json& j, const char* field) {
    auto& v = need(j, field);
    if (!v.is_boolean()) bad(field, "is not true or false");
    return v.get<bool>();
}
double as_amount(const json& v, const char* field) {
    if (!v.is_number()) bad(field, "is not a number");
    double d = v.get<double>();
    if (!std::isfinite(d)) bad(field, "is not finite");
    if (d < 0) bad(field, "is negative");
    return d;
}
double amount(const json& j, const char* field) {
    return as_amount(need(j, field), field);
}
// Counts, versions and tokens reach up to 2^64 and never pass through a double.
std::uint64_t count(const json& j, const char* field) {
    auto& v = need(j, field);
    if (!v.is_number_unsigned()) bad(field, "is not a count");
    return v.get<std::uint64_t>();
}
const json& list(const json& j, const char* field) {
    auto& v = need(j, field);
    if (!v.is_array()) bad(field, "is not a list");
    return v;
}
std::vector<std::string> texts(const json& v, const char* field) {
    if (!v.is_array()) bad(field, "is not a list");
    std::vector<std::string> out;
    for (auto& e : v) {
        if (!e.is_string()) bad(field, "holds something that is not a string");
        out.push_back(e.get<std::string>());
    }
    return out;
}

constexpr const char* awaits_field = "awaits";
// The job of a record. Versions that know nothing of awaited jobs would start one that awaits others at once;
// they refuse a record without the first name, and leave the job alone.
constexpr const char* job_field = "job";
constexpr const char* awaiting_field = "awaiting_job";

json job_json(const Job& b) {
    json j{{"id", b.id},
           {"cohort", b.cls},
           {"crew", b.team},
           {"shape", name_of(kind_names, b.kind)},
           {"rank", name_of(priority_names, b.priority)},
           {"shards", b.tasks},
           {"vcpus", b.request.cpus},
           {"cards", b.request.gpus},
           {"ram_gb", b.request.memory_gb},
           {"payload", b.image},
           {"image_gb", b.image_gb},
           {"together", b.one_zone},
           {"scatter", b.spread},
           {"driftwood", b.spot},
           {"reckon_s", b.estimate_s},
           {"anchor_s", b.checkpoint_s},
           {"stow_s", b.save_s}};
    if (b.types) j["hulls"] = *b.types;
    if (b.zone) j["reef"] = *b.zone;
    if (b.deadline_s) j["tide_s"] = *b.deadline_s;
    if (!b.awaits.empty()) j[awaits_field] = b.awaits;
    return j;
}

std::vector<std::string> awaits_of(const json& j) {
    auto* v = find(j, awaits_field);
    if (!v) return {};
    auto names = texts(*v, awaits_field);
    for (auto& n : names)
        if (!valid_job_id(n)) bad(awaits_field, "holds something that is not of the form j-000412");
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

Job job_of(const json& j) {
    Job b;
    b.id = text(j, "id");
    if (!valid_job_id(b.id)) bad("id", "is not of the form j-000412");
    b.cls = text(j, "cohort");
    b.team = text(j, "crew");
    b.kind = named(kind_names, text(j, "shape"), "shape");
    b.priority = named(priority_names, text(j, "rank"), "rank");
    auto tasks = count(j, "shards");
    constexpr std::uint64_t max_tasks = 100000;
    if (tasks == 0 || tasks > max_tasks) bad("shards", "is out of range");
    b.tasks = static_cast<std::uint32_t>(tasks);
    b.request = {amount(j, "vcpus"), amount(j, "cards"), amount(j, "ram_gb")};
    b.image = text(j, "payload");
    b.image_gb = amount(j, "image_gb");
    if (auto* v = find(j, "hulls")) b.types = texts(*v, "hulls");
    if (find(j, "reef")) b.zone = text(j, "reef");
    b.one_zone = flag(j, "together");
    b.spread = flag(j, "scatter");
    b.spot = flag(j, "driftwood");
    b.estimate_s = amount(j, "reckon_s");
    b.checkpoint_s = amount(j, "anchor_s");
    b.save_s = amount(j, "stow_s");
    if (auto* v = find(j, "tide_s")) b.deadline_s = as_amount(*v, "tide_s");
    b.awaits = awaits_of(j);
    return b;
}

std::string dumped(const json& j) {
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Most answers hold none.
std::string orders(std::span<const Command> commands) {
    if (commands.empty()) return "[]";
    json out = json::array();
    for (auto& c : commands) {
        json o{{"verb", name_of(op_names, c.op)}, {"shard", c.task.str()}, {"launch", c.attempt}};
        if (c.op == CommandKind::stop) o["slack_s"] = c.grace_s;
        out.push_back(std::move(o));
    }
    return dumped(out);
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
std::string host_list(std::string_view after, int limit) {
    std::string p = "/hosts?limit=" + std::to_string(limit);
    if (!after.empty()) p += "&since=" + std::string(after);
    return p;
}
}  // namespace paths

bool valid_job_id(std::string_view id) {
    if (!id.starts_with("j-") || id.size() < 3 || id.size() > max_job_id) return false;
    for (char c : id.substr(2))
        if (c < '0' || c > '9') return false;
    return true;
}
std::string submission(const Job& job) {
    return dumped(job_json(job));
}
Job parse_job(std::string_view body) {
    return job_of(parse_object(body));
}
std::optional<std::string> job_id_of(std::string_view body) {
    json j = json::parse(body, nullptr, false);
    if (!j.is_object()) return std::nullopt;
    auto* v = find(j, "id");
    if (!v || !v->is_string() || !valid_job_id(v->get_ref<const std::string&>())) return std::nullopt;
    return v->get<std::string>();
}
std::string job_status(const JobStatus& s) {
    json j{{"id", s.id}, {"status", name_of(job_state_names, s.state)}};
    if (s.done) j["done"] = *s.done;
    if (s.running) j["running"] = *s.running;
    return dumped(j);
}
bool names_dependencies(std::string_view body) {
    json j = json::parse(body, nullptr, false);
    return j.is_object() && find(j, awaits_field);
}
std::string error_body(std::string_view t) {
    return dumped(json{{"error", t}});
}

std::optional<HeartbeatOutline> outline_heartbeat(std::string_view body) {
    constexpr std::string_view machine_field = "\"berth\":", session_field = "\"watch\":",
                               sequence_field = "\"tally\":";
    auto value_at = [&](std::string_view field) {
        auto p = body.find(field);
        if (p == std::string_view::npos) return p;
        return body.find_first_not_of(' ', p + field.size());
    };
    HeartbeatOutline o;
    auto m = value_at(machine_field);
    if (m == std::string_view::npos || body[m] != '"') return std::nullopt;
    auto end = body.find('"', ++m);
    auto agent_epoch = value_at(session_field);
    o.at = value_at(sequence_field);
    if (end == std::string_view::npos || agent_epoch == std::string_view::npos ||
        o.at == std::string_view::npos)
        return std::nullopt;
    auto* text_end = body.data() + body.size();
    if (std::from_chars(body.data() + agent_epoch, text_end, o.agent_epoch).ec != std::errc())
        return std::nullopt;
    o.machine = body.substr(m, end - m);
    auto [last, ec] = std::from_chars(body.data() + o.at, text_end, o.sequence);
    o.digits = static_cast<std::size_t>(last - body.data()) - o.at;
    // An escape would make the name another one.
    if (ec != std::errc() || o.machine.find('\\') != std::string_view::npos) return std::nullopt;
    return o;
}
std::string heartbeat_response(std::uint64_t token, std::span<const Command> commands) {
    return R"({"helm":)" + std::to_string(token) + R"(,"orders":)" + orders(commands) + '}';
}
std::string direct_commands(std::uint64_t token, std::uint64_t agent_epoch,
                            std::span<const Command> commands) {
    return R"({"helm":)" + std::to_string(token) + R"(,"watch":)" + std::to_string(agent_epoch) +
           R"(,"orders":)" + orders(commands) + '}';
}
std::string heartbeat_redirect(std::string_view label) {
    return label.empty() ? "{}" : dumped(json{{"harbor", label}});
}

namespace {
MachineType type_of(const json& e) {
    MachineType t;
    t.name = text(e, "name");
    t.room = {amount(e, "vcpus"), amount(e, "cards"), amount(e, "ram_gb")};
    t.cache_gb = amount(e, "cache_gb");
    t.fetch_gb_per_s = amount(e, "fetch_gb_per_s");
    t.price = amount(e, "hourly");
    t.spot_price = amount(e, "spot_price");
    t.boot_s = amount(e, "startup_s");
    t.zones = texts(list(e, "reefs"), "reefs");
    return t;
}
}  // namespace

std::vector<MachineType> parse_types(std::string_view body) {
    std::vector<MachineType> out;
    json j = parse_object(body);
    for (auto& e : list(j, "hulls")) out.push_back(type_of(e));
    return out;
}
std::string stored_types(std::span<const MachineType> types) {
    json a = json::array();
    for (auto& t : types)
        a.push_back(json{{"name", t.name},
                         {"vcpus", t.room.cpus},
                         {"cards", t.room.gpus},
                         {"ram_gb", t.room.memory_gb},
                         {"cache_gb", t.cache_gb},
                         {"fetch_gb_per_s", t.fetch_gb_per_s},
                         {"hourly", t.price},
                         {"spot_price", t.spot_price},
                         {"startup_s", t.boot_s},
                         {"reefs", t.zones}});
    return dumped(json{{"hulls", a}});
}
std::string rent_request(std::string_view name, std::string_view type, std::string_view zone, bool spot,
                         int n) {
    return dumped(
        json{{"charter", name}, {"hull", type}, {"reef", zone}, {"driftwood", spot}, {"how_many", n}});
}
std::vector<std::string> parse_rented(std::string_view body) {
    json j = parse_object(body);
    return texts(list(j, "berths"), "berths");
}
std::string delete_request(std::span<const std::string> machines) {
    json a = json::array();
    for (auto& m : machines) a.push_back(m);
    return dumped(json{{"berths", a}});
}
Entry parse_entry(std::string_view body) {
    json j = parse_object(body);
    Entry e{text(j, "path"), dumped(need(j, "value")), count(j, "stamp"), 0};
    if (auto* l = find(j, "mooring"); l && l->is_number_unsigned()) e.lease = l->get<std::uint64_t>();
    return e;
}
// Values are JSON texts of our own: they go in as they are.
std::string txn_request(const Txn& t) {
    std::string out = R"({"if":[)";
    for (auto& c : t.conditions) {
        if (out.back() == '}') out += ',';
        out += R"({"path":)" + dumped(c.key) + R"(,"stamp":)" + std::to_string(c.version) + '}';
    }
    out += R"(],"then":[)";
    for (auto& c : t.changes) {
        if (out.back() == '}') out += ',';
        out += (c.value ? R"({"put":)" : R"({"drop":)") + dumped(c.key);
        if (c.value) out += R"(,"value":)" + *c.value;
        if (c.value && c.lease) out += R"(,"mooring":)" + std::to_string(c.lease);
        out += '}';
    }
    return out + "]}";
}
std::uint64_t parse_revision(std::string_view body) {
    return count(parse_object(body), "epoch");
}
Conflict parse_conflict(std::string_view body) {
    json j = parse_object(body);
    return {texts(list(j, "failed"), "failed")};
}
std::string lease_request(std::uint64_t ttl_ms) {
    return dumped(json{{"ttl_ms", ttl_ms}});
}
std::uint64_t parse_lease(std::string_view body) {
    return count(parse_object(body), "mooring");
}

std::string stored(const JobRecord& r) {
    auto* field = r.job.awaits.empty() ? job_field : awaiting_field;
    return dumped(json{{field, job_json(r.job)}, {"submitted", r.submitted}, {"cancelled", r.cancelled}});
}
std::string stored(const FinalRecord& r) {
    return dumped(json{{"state", name_of(job_state_names, r.state)}, {"tasks", r.tasks}});
}
std::string stored(const MachinePage& p) {
    json rows = json::array();
    for (auto& [id, r] : p)
        rows.push_back(json::array({id, r.addr, r.type, r.zone, r.spot, r.marked_for_deletion}));
    return dumped(json{{"machines", std::move(rows)}});
}
std::string stored(const LeaderRecord& r) {
    json j{{"label", r.label}, {"incarnation", r.incarnation}};
    if (r.keeps_record) j["standby"] = true;
    return dumped(j);
}
std::string stored(const StandbyRecord& r) {
    json members = json::array();
    for (auto& m : r.members)
        members.push_back(json{{"label", m.label}, {"incarnation", m.incarnation}, {"begun", m.begun}});
    return dumped(json{{"version", r.version}, {"members", members}});
}
std::string stored_bits(const std::vector<bool>& bits) {
    constexpr char digits[] = "0123456789abcdef";
    std::string hex((bits.size() + 3) / 4, '0');
    for (std::size_t i = 0; i < hex.size(); ++i) {
        unsigned v = 0;
        for (std::size_t k = 0; k < 4; ++k)
            if (i * 4 + k < bits.size() && bits[i * 4 + k]) v |= 1u << k;
        hex[i] = digits[v];
    }
    return dumped(json{{"bits", hex}});
}
JobRecord parse_job_record(std::string_view v) {
    json j = parse_object(v);
    auto* awaiting = find(j, awaiting_field);
    return {job_of(awaiting ? *awaiting : need(j, job_field)), amount(j, "submitted"), flag(j, "cancelled")};
}
LiveRecord parse_live_record(std::string_view v) {
    json j = parse_object(v);
    LiveRecord r{flag(j, "cancelled"), {}};
    if (auto* awaiting = find(j, awaiting_field)) r.awaits = awaits_of(*awaiting);
    return r;
}
bool says_cancelled(std::string_view v) {
    json j = json::parse(v, nullptr, false);
    auto* c = j.is_object() ? find(j, "cancelled") : nullptr;
    return c && c->is_boolean() && c->get<bool>();
}
JobRecord shortened(JobRecord r) {
    r.job.cls = r.job.image = "-";
    r.job.types.reset();
    r.job.awaits.clear();
    return r;
}
FinalRecord parse_final_record(std::string_view v) {
    json j = parse_object(v);
    return {named(job_state_names, text(j, "state"), "state"), static_cast<std::uint32_t>(count(j, "tasks"))};
}
MachineRecord parse_machine_record(std::string_view v) {
    json j = parse_object(v);
    return {text(j, "addr"), text(j, "type"), text(j, "zone"), flag(j, "spot"), flag(j, "condemned")};
}
MachinePage parse_machine_page(std::string_view v) {
    json j = parse_object(v);
    MachinePage p;
    for (auto& row : list(j, "machines")) {
        if (!row.is_array() || row.size() < 6) bad("machines", "holds something that is not a machine");
        for (std::size_t k = 0; k < 6; ++k)
            if (k < 4 ? !row[k].is_string() : !row[k].is_boolean())
                bad("machines", "holds something that is not a machine");
        p.emplace_back(row[0].get<std::string>(),
                       MachineRecord{row[1].get<std::string>(), row[2].get<std::string>(),
                                     row[3].get<std::string>(), row[4].get<bool>(), row[5].get<bool>()});
    }
    return p;
}
LeaderRecord parse_leader_record(std::string_view v) {
    json j = parse_object(v);
    return {text(j, "label"), count(j, "incarnation"), j.contains("standby") && flag(j, "standby")};
}
bool keeps_record(std::string_view v) {
    try {
        return parse_leader_record(v).keeps_record;
    } catch (const Malformed&) {
        return false;
    }
}
StandbyRecord parse_standby_record(std::string_view v) {
    json j = parse_object(v);
    StandbyRecord r{count(j, "version"), {}};
    for (auto& m : list(j, "members")) {
        if (!m.is_object()) bad("members", "holds something that is not a member");
        // Versions before copies were carried over name only whom they told all themselves.
        r.members.push_back(
            {text(m, "label"), count(m, "incarnation"), m.contains("begun") ? count(m, "begun") : r.version});
    }
    return r;
}
std::vector<bool> parse_bits(std::string_view v) {
    json j = parse_object(v);
    auto& b = need(j, "bits");
    if (!b.is_string()) bad("bits", "is not a string");
    auto& hex = b.get_ref<const std::string&>();
    std::vector<bool> bits(hex.size() * 4);
    for (std::size_t i = 0; i < hex.size(); ++i) {
        int d = hex[i] >= 'a' ? hex[i] - 'a' + 10 : hex[i] - '0';
        if (d < 0 || d > 15) bad("bits", "is not hexadecimal");
        for (std::size_t k = 0; k < 4; ++k) bits[i * 4 + k] = (d >> k) & 1;
    }
    return bits;
}

}  // namespace coralhitch::protocol
