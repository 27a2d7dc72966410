// The values that controllers keep at the key-value store. Versions before and after this one read them: a
// field is never renamed or reused, only added.
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/malformed.hpp"
#include "protocol/model.hpp"

namespace coralhitch::protocol {

// The text that is stored of each; what parses it throws Malformed.
std::string stored(const JobRecord& r);
std::string stored(const FinalRecord& r);
std::string stored(const MachinePage& p);
std::string stored(const LeaderRecord& r);
std::string stored(const InSyncReplicas& r);
std::string stored_bits(const std::vector<bool>& bits);
// As the cloud lists them: `parse_types` reads it.
std::string stored_types(std::span<const MachineType> types);
JobRecord parse_job_record(std::string_view v);
// What an answer about a live job needs of its record.
struct LiveRecord {
    bool cancelled = false;
    std::vector<std::string> dependencies;
};
LiveRecord parse_live_record(std::string_view v);
bool is_cancelled_record(std::string_view v);  // of a record that may be unreadable otherwise
// The record of a cancelled job without what may be long and only matters to starts: a cancellation must be
// storable where the record was stored under a larger limit.
JobRecord compact_cancelled_record(JobRecord r);
FinalRecord parse_final_record(std::string_view v);
MachineRecord parse_machine_record(std::string_view v);  // of the layout before there were pages
MachinePage parse_machine_page(std::string_view v);
LeaderRecord parse_leader_record(std::string_view v);
bool stores_in_sync_replicas(std::string_view leader_record);  // false if it can't be read
InSyncReplicas parse_in_sync_replicas(std::string_view v);
std::vector<bool> parse_bits(std::string_view v);

}  // namespace coralhitch::protocol
