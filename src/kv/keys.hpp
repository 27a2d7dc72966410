// The layout of keys in the key-value store; docs/design.md describes what their values hold.
//
// Names of keys are stored data: controllers of neighbouring versions read each other's keys while a version
// is rolled out, so none may change.
#pragma once
#include <cstddef>
#include <string>

namespace coralhitch::kv::keys {

// Single keys.
// Record of the current leader, attached to the leader's lease. The key's version is the fencing token.
inline const std::string leader = "leader";
// The replicas that hold every task start that may have been sent (protocol::InSyncReplicas).
inline const std::string in_sync_replicas = "standby";
// Rewritten only to advance the store's revision. The value is not read.
inline const std::string attempts = "attempts";
// Machine types last read from the cloud, for controllers that start while the cloud is unavailable.
inline const std::string types = "types";

// Prefixes.
// Live jobs, and cancelled jobs until all their tasks have ended.
inline const std::string jobs = "job/";
inline const std::string finals = "final/";                   // final states of jobs, never deleted
inline const std::string progress = "prog/";                  // finished tasks of live jobs, in blocks
inline const std::string machines = "mach/";                  // machines that may run tasks
inline const std::string machine_pages = machines + "page/";  // pages: many machines in one value

// Returns the key of a live job's record.
inline std::string job(const std::string& id) {
    return jobs + id;
}
// Returns the key of the record of a job's final state.
inline std::string final(const std::string& id) {
    return finals + id;
}
// Returns the key of a page of machines.
inline std::string machine_page(std::size_t number) {
    return machine_pages + std::to_string(number);
}
// Returns the key of one block of the finished tasks of a live job.
inline std::string progress_of(const std::string& id, const std::string& block) {
    return progress + id + "/" + block;
}

}  // namespace coralhitch::kv::keys
