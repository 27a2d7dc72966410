#include "protocol/records.hpp"

#include "protocol/job_json.hpp"
#include "protocol/json_fields.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {
// The job of a record. Versions that know nothing of awaited jobs would start one that awaits others at once;
// they refuse a record without the first name, and leave the job alone.
constexpr const char* job_field = "job";
constexpr const char* awaiting_field = "awaiting_job";
}  // namespace

std::string stored_types(std::span<const MachineType> types) {
    json a = json::array();
    for (auto& t : types)
        a.push_back(json{{"name", t.name},
                         {"vcpus", t.capacity.cpus},
                         {"cards", t.capacity.gpus},
                         {"ram_gb", t.capacity.memory_gb},
                         {"cache_gb", t.cache_gb},
                         {"fetch_gb_per_s", t.fetch_gb_per_s},
                         {"hourly", t.price},
                         {"spot_price", t.spot_price},
                         {"startup_s", t.boot_s},
                         {"reefs", t.zones}});
    return fields::dumped(json{{"hulls", a}});
}
std::string stored(const JobRecord& r) {
    auto* field = r.job.dependencies.empty() ? job_field : awaiting_field;
    return fields::dumped(
        json{{field, job_json(r.job)}, {"submitted", r.submitted}, {"cancelled", r.cancelled}});
}
std::string stored(const FinalRecord& r) {
    return fields::dumped(json{{"state", name_of(job_state_names, r.state)}, {"tasks", r.tasks}});
}
std::string stored(const MachinePage& p) {
    json rows = json::array();
    for (auto& [id, r] : p)
        rows.push_back(json::array({id, r.addr, r.type, r.zone, r.spot, r.marked_for_deletion}));
    return fields::dumped(json{{"machines", std::move(rows)}});
}
std::string stored(const LeaderRecord& r) {
    json j{{"label", r.label}, {"incarnation", r.incarnation}};
    if (r.stores_in_sync_replicas) j["standby"] = true;
    return fields::dumped(j);
}
std::string stored(const InSyncReplicas& r) {
    json members = json::array();
    for (auto& m : r.members)
        members.push_back(
            json{{"label", m.label}, {"incarnation", m.incarnation}, {"begun", m.base_version}});
    return fields::dumped(json{{"version", r.leader_version}, {"members", members}});
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
    return fields::dumped(json{{"bits", hex}});
}
JobRecord parse_job_record(std::string_view v) {
    json j = fields::parse_object(v);
    auto* awaiting = fields::find(j, awaiting_field);
    return {job_of(awaiting ? *awaiting : fields::need(j, job_field)), fields::amount(j, "submitted"),
            fields::flag(j, "cancelled")};
}
LiveRecord parse_live_record(std::string_view v) {
    json j = fields::parse_object(v);
    LiveRecord r{fields::flag(j, "cancelled"), {}};
    if (auto* awaiting = fields::find(j, awaiting_field)) r.dependencies = dependencies_of(*awaiting);
    return r;
}
bool is_cancelled_record(std::string_view v) {
    json j = json::parse(v, nullptr, false);
    auto* c = j.is_object() ? fields::find(j, "cancelled") : nullptr;
    return c && c->is_boolean() && c->get<bool>();
}
JobRecord compact_cancelled_record(JobRecord r) {
    r.job.job_class = r.job.image = "-";
    r.job.types.reset();
    r.job.dependencies.clear();
    return r;
}
FinalRecord parse_final_record(std::string_view v) {
    json j = fields::parse_object(v);
    return {named(job_state_names, fields::text(j, "state"), "state"),
            static_cast<std::uint32_t>(fields::count(j, "tasks"))};
}
MachineRecord parse_machine_record(std::string_view v) {
    json j = fields::parse_object(v);
    return {fields::text(j, "addr"), fields::text(j, "type"), fields::text(j, "zone"),
            fields::flag(j, "spot"), fields::flag(j, "condemned")};
}
MachinePage parse_machine_page(std::string_view v) {
    json j = fields::parse_object(v);
    MachinePage p;
    for (auto& row : fields::list(j, "machines")) {
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
    json j = fields::parse_object(v);
    return {fields::text(j, "label"), fields::count(j, "incarnation"),
            j.contains("standby") && fields::flag(j, "standby")};
}
bool stores_in_sync_replicas(std::string_view v) {
    try {
        return parse_leader_record(v).stores_in_sync_replicas;
    } catch (const Malformed&) {
        return false;
    }
}
InSyncReplicas parse_in_sync_replicas(std::string_view v) {
    json j = fields::parse_object(v);
    InSyncReplicas r{fields::count(j, "version"), {}};
    for (auto& m : fields::list(j, "members")) {
        if (!m.is_object()) bad("members", "holds something that is not a member");
        // Versions before copies were carried over name only whom they told all themselves.
        r.members.push_back({fields::text(m, "label"), fields::count(m, "incarnation"),
                             m.contains("begun") ? fields::count(m, "begun") : r.leader_version});
    }
    return r;
}
std::vector<bool> parse_bits(std::string_view v) {
    json j = fields::parse_object(v);
    auto& b = fields::need(j, "bits");
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
