// The values that controllers store in the key-value store. Older and newer versions read them too, so a
// stored field is never renamed or reused; fields are only added.
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/malformed.hpp"
#include "protocol/model.hpp"

namespace coralhitch::protocol {

// The `stored` functions return the text to store. The parse functions read it back and throw Malformed.
std::string stored(const JobRecord& record);
std::string stored(const FinalRecord& record);
std::string stored(const MachinePage& page);
std::string stored(const LeaderRecord& record);
std::string stored(const InSyncReplicas& replicas);
std::string stored_bits(const std::vector<bool>& bits);
// Uses the layout of the cloud's list of machine types, so `parse_types` reads it.
std::string stored_types(std::span<const MachineType> types);

JobRecord parse_job_record(std::string_view text);
// The part of a live job's record that is needed to answer status queries.
struct LiveRecord {
    bool cancelled = false;
    std::vector<std::string> dependencies;
};
LiveRecord parse_live_record(std::string_view text);
// Returns whether a job record is marked as cancelled, even if the rest of it cannot be parsed. Does not
// throw.
bool is_cancelled_record(std::string_view text);
// Returns the record of a cancelled job without the fields that may be long and matter only for starting
// tasks. The record may have been stored under a larger size limit, and its cancellation must still fit.
JobRecord compact_cancelled_record(JobRecord record);
FinalRecord parse_final_record(std::string_view text);
// Parses a machine stored under a key of its own, the layout before machine pages.
MachineRecord parse_machine_record(std::string_view text);
MachinePage parse_machine_page(std::string_view text);
LeaderRecord parse_leader_record(std::string_view text);
// Returns the field of this name of a leader record; false if the record cannot be parsed.
bool stores_in_sync_replicas(std::string_view leader_record);
InSyncReplicas parse_in_sync_replicas(std::string_view text);
std::vector<bool> parse_bits(std::string_view text);

}  // namespace coralhitch::protocol
