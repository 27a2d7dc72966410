#include "protocol/records.hpp"

#include "protocol/job_json.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {
// The field of a record that holds the job. A job with dependencies is stored under the second name: versions
// without dependencies would start it at once, but they reject a record without the first name and leave the
// job alone.
constexpr const char* job_field = "job";
constexpr const char* awaiting_field = "awaiting_job";

constexpr std::size_t bits_per_digit = 4;  // a hexadecimal digit stores four bits, the lowest first

StoredMachine stored_machine(const json& row) {
    constexpr std::size_t text_columns = 4, columns = 6;  // the flags follow the texts
    if (!row.is_array() || row.size() < columns)
        throw_malformed("machines", "holds something that is not a machine");
    for (std::size_t k = 0; k < columns; ++k)
        if (k < text_columns ? !row[k].is_string() : !row[k].is_boolean())
            throw_malformed("machines", "holds something that is not a machine");
    return {row[0].get<std::string>(),
            {row[1].get<std::string>(), row[2].get<std::string>(), row[3].get<std::string>(),
             row[4].get<bool>(), row[5].get<bool>()}};
}

}  // namespace

std::string stored_types(std::span<const MachineType> types) {
    json rows = json::array();
    for (auto& type : types)
        rows.push_back(json{{"name", type.name},
                            {"vcpus", type.capacity.cpus},
                            {"cards", type.capacity.gpus},
                            {"ram_gb", type.capacity.memory_gb},
                            {"cache_gb", type.cache_gb},
                            {"fetch_gb_per_s", type.fetch_gb_per_s},
                            {"hourly", type.price},
                            {"spot_price", type.spot_price},
                            {"startup_s", type.boot_s},
                            {"reefs", type.zones}});
    return fields::to_json_text(json{{"hulls", rows}});
}
std::string stored(const JobRecord& record) {
    auto* field = record.job.dependencies.empty() ? job_field : awaiting_field;
    return fields::to_json_text(json{
        {field, job_json(record.job)}, {"submitted", record.submitted}, {"cancelled", record.cancelled}});
}
std::string stored(const FinalRecord& record) {
    return fields::to_json_text(
        json{{"state", name_of(job_state_names, record.state)}, {"tasks", record.tasks}});
}
std::string stored(const MachinePage& page) {
    json rows = json::array();
    for (auto& [id, record] : page)
        rows.push_back(json::array(
            {id, record.addr, record.type, record.zone, record.spot, record.marked_for_deletion}));
    return fields::to_json_text(json{{"machines", std::move(rows)}});
}
std::string stored(const LeaderRecord& record) {
    json object{{"label", record.label}, {"incarnation", record.incarnation.value()}};
    if (record.stores_in_sync_replicas) object["standby"] = true;
    return fields::to_json_text(object);
}
std::string stored(const InSyncReplicas& replicas) {
    json members = json::array();
    for (auto& member : replicas.members)
        members.push_back(json{{"label", member.label},
                               {"incarnation", member.incarnation.value()},
                               {"begun", member.base_version.value()}});
    return fields::to_json_text(json{{"version", replicas.leader_version.value()}, {"members", members}});
}
std::string stored_bits(const std::vector<bool>& bits) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex((bits.size() + bits_per_digit - 1) / bits_per_digit, '0');
    for (std::size_t i = 0; i < hex.size(); ++i) {
        unsigned value = 0;
        for (std::size_t k = 0; k < bits_per_digit; ++k) {
            const auto bit = i * bits_per_digit + k;
            if (bit < bits.size() && bits[bit]) value |= 1U << k;
        }
        hex[i] = digits[value];
    }
    return fields::to_json_text(json{{"bits", hex}});
}

JobRecord parse_job_record(std::string_view text) {
    json object = fields::parse_object(text);
    auto* awaiting = fields::find(object, awaiting_field);
    return {parse_job_object(awaiting ? *awaiting : fields::required(object, job_field)),
            fields::amount(object, "submitted"), fields::flag(object, "cancelled")};
}
LiveRecord parse_live_record(std::string_view text) {
    json object = fields::parse_object(text);
    LiveRecord record{fields::flag(object, "cancelled"), {}};
    if (auto* awaiting = fields::find(object, awaiting_field))
        record.dependencies = dependencies_of(*awaiting);
    return record;
}
bool is_cancelled_record(std::string_view text) {
    json object = json::parse(text, nullptr, false);
    auto* cancelled = object.is_object() ? fields::find(object, "cancelled") : nullptr;
    return cancelled && cancelled->is_boolean() && cancelled->get<bool>();
}
JobRecord compact_cancelled_record(JobRecord record) {
    record.job.job_class = record.job.image = "-";
    record.job.types.reset();
    record.job.dependencies.clear();
    return record;
}
FinalRecord parse_final_record(std::string_view text) {
    json object = fields::parse_object(text);
    return {named(job_state_names, fields::text(object, "state"), "state"),
            static_cast<std::uint32_t>(fields::count(object, "tasks"))};
}
MachineRecord parse_machine_record(std::string_view text) {
    json object = fields::parse_object(text);
    return {fields::text(object, "addr"), fields::text(object, "type"), fields::text(object, "zone"),
            fields::flag(object, "spot"), fields::flag(object, "condemned")};
}
MachinePage parse_machine_page(std::string_view text) {
    json object = fields::parse_object(text);
    MachinePage page;
    for (auto& row : fields::list(object, "machines")) page.push_back(stored_machine(row));
    return page;
}
LeaderRecord parse_leader_record(std::string_view text) {
    json object = fields::parse_object(text);
    return {fields::text(object, "label"), Incarnation{fields::count(object, "incarnation")},
            object.contains("standby") && fields::flag(object, "standby")};
}
bool stores_in_sync_replicas(std::string_view leader_record) {
    try {
        return parse_leader_record(leader_record).stores_in_sync_replicas;
    } catch (const Malformed&) {
        return false;
    }
}
InSyncReplicas parse_in_sync_replicas(std::string_view text) {
    json object = fields::parse_object(text);
    InSyncReplicas replicas{LeaderVersion{fields::count(object, "version")}, {}};
    for (auto& member : fields::list(object, "members")) {
        if (!member.is_object()) throw_malformed("members", "holds something that is not a member");
        // Versions without replica handover omit the field: they list only followers to which the leader of
        // this record has sent a snapshot itself.
        replicas.members.push_back({fields::text(member, "label"),
                                    Incarnation{fields::count(member, "incarnation")},
                                    member.contains("begun") ? LeaderVersion{fields::count(member, "begun")}
                                                             : replicas.leader_version});
    }
    return replicas;
}
std::vector<bool> parse_bits(std::string_view text) {
    json object = fields::parse_object(text);
    auto& value = fields::required(object, "bits");
    if (!value.is_string()) throw_malformed("bits", "is not a string");
    auto& hex = value.get_ref<const std::string&>();
    std::vector<bool> bits(hex.size() * bits_per_digit);
    for (std::size_t i = 0; i < hex.size(); ++i) {
        int digit = hex[i] >= 'a' ? hex[i] - 'a' + 10 : hex[i] - '0';
        if (digit < 0 || digit > 15) throw_malformed("bits", "is not hexadecimal");
        for (std::size_t k = 0; k < bits_per_digit; ++k) bits[i * bits_per_digit + k] = (digit >> k) & 1;
    }
    return bits;
}

}  // namespace coralhitch::protocol
