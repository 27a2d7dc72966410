// Every outside message: parse and serialise. Only protocol.cpp knows the protocol's own names.
#pragma once
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::protocol {

// A message that does not follow the protocol; what() names the field.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

namespace paths {
inline constexpr std::string_view jobs = "/api/jobs";
inline constexpr std::string_view cancel = "/cancel";
inline constexpr std::string_view health = "/healthz";
inline constexpr std::string_view metrics = "/metrics";
inline constexpr std::string_view report = "/hello";
inline constexpr std::string_view commands = "/do";
inline constexpr std::string_view inspect = "/inspect";
inline constexpr std::string_view types = "/flavors";
inline constexpr std::string_view hosts = "/hosts";
inline constexpr std::string_view hosts_delete = "/hosts/delete";
inline constexpr std::string_view txn = "/txn";
inline constexpr std::string_view leases = "/holds";
std::string kv(std::string_view key);
std::string kv_list(std::string_view prefix, std::string_view after, int limit);
std::string watch(std::string_view prefix, std::uint64_t since, std::uint64_t wait_ms);
std::string lease(std::uint64_t id);
std::string lease_renew(std::uint64_t id);
std::string host_list(std::string_view after, int limit);
}  // namespace paths

// Users
inline constexpr std::size_t max_job_id = 64;
bool valid_job_id(std::string_view id);
// The body of a submission, as `parse_job` reads it.
std::string submission(const Job& job);
Job parse_job(std::string_view body);
std::optional<std::string> job_id_of(std::string_view body);  // of a body that may be malformed otherwise
std::string job_status(const JobStatus& s);
std::string error_body(std::string_view text);
bool names_dependencies(std::string_view body);  // whether a submission names jobs that it awaits

// Workers
inline constexpr double heartbeat_timeout_s = 4;  // a worker drops answers to its reports after that
inline constexpr double heartbeat_retry_s =
    heartbeat_timeout_s + 1;  // and has then turned to the next controller
Heartbeat parse_heartbeat(std::string_view body);
// The same for many reports: keeps its buffers.
class HeartbeatReader {
  public:
    HeartbeatReader();
    ~HeartbeatReader();
    Heartbeat read(std::string_view body);  // throws Malformed

  private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};
// What tells two reports of a machine apart that say the same: where the sequence stands in the text. Found
// without reading the rest; nothing if the text is laid out in a way that this does not expect.
struct HeartbeatOutline {
    std::string_view machine;
    std::uint64_t agent_epoch = 0, sequence = 0;
    std::size_t at = 0, digits = 0;  // of the sequence's digits
};
std::optional<HeartbeatOutline> outline_heartbeat(std::string_view body);
std::string heartbeat_response(std::uint64_t token, std::span<const Command> commands);
std::string direct_commands(std::uint64_t token, std::uint64_t agent_epoch,
                            std::span<const Command> commands);
std::string heartbeat_redirect(std::string_view label);  // empty label: nobody known

// Cloud
std::vector<MachineType> parse_types(std::string_view body);
std::string rent_request(std::string_view name, std::string_view type, std::string_view zone, bool spot,
                         int count);
std::vector<std::string> parse_rented(std::string_view body);
std::string delete_request(std::span<const std::string> machines);
struct HostPage {
    std::vector<Host> hosts;
    bool more = false;
};
HostPage parse_hosts(std::string_view body);

// State service
struct Entry {
    std::string key, value;  // value: JSON text
    std::uint64_t version = 0, lease = 0;
};
struct EntryPage {
    std::vector<Entry> entries;
    bool more = false;
    std::uint64_t revision = 0;
};
struct Event {
    std::string key;
    std::optional<std::string> value;  // absent: deleted
    std::uint64_t version = 0;
};
struct Events {
    std::uint64_t revision = 0;
    std::vector<Event> events;
};
struct Condition {
    std::string key;
    std::uint64_t version = 0;
};
struct Change {
    std::string key;
    std::optional<std::string> value;  // absent: delete
    std::uint64_t lease = 0;
};
struct Txn {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};
struct Conflict {
    std::vector<std::string> failed;
};
Entry parse_entry(std::string_view body);
EntryPage parse_entries(std::string_view body);
Events parse_events(std::string_view body);
std::string txn_request(const Txn& t);
std::uint64_t parse_revision(std::string_view body);
Conflict parse_conflict(std::string_view body);
std::string lease_request(std::uint64_t ttl_ms);
std::uint64_t parse_lease(std::string_view body);

// Stored values
std::string stored(const JobRecord& r);
std::string stored(const FinalRecord& r);
std::string stored(const MachinePage& p);
std::string stored(const LeaderRecord& r);
std::string stored(const StandbyRecord& r);
std::string stored_bits(const std::vector<bool>& bits);
std::string stored_types(std::span<const MachineType> types);
JobRecord parse_job_record(std::string_view v);
// What an answer about a live job needs of its record.
struct LiveRecord {
    bool cancelled = false;
    std::vector<std::string> awaits;
};
LiveRecord parse_live_record(std::string_view v);
bool says_cancelled(std::string_view v);  // of a record that may be unreadable otherwise
// The record of a cancelled job without what may be long and only matters to starts: a cancellation must be
// storable where the record was stored under a larger limit.
JobRecord shortened(JobRecord r);
FinalRecord parse_final_record(std::string_view v);
MachineRecord parse_machine_record(std::string_view v);  // of the layout before there were pages
MachinePage parse_machine_page(std::string_view v);
LeaderRecord parse_leader_record(std::string_view v);
bool keeps_record(std::string_view leader_record);  // false if it can't be read
StandbyRecord parse_standby_record(std::string_view v);
std::vector<bool> parse_bits(std::string_view v);

}  // namespace coralhitch::protocol
