// The layout of keys in the key-value store; docs/design.md describes what their values hold.
//
// Names of keys are stored data: controllers of neighbouring versions read each other's keys while a version
// is rolled out, so none may change.
#pragma once
#include <cstddef>
#include <string>

namespace coralhitch::kv::keys {

// Single keys.
inline const std::string leader = "leader";  // held under the leader's lease; its version: fencing token
inline const std::string in_sync_replicas =
    "standby";                                   // the replicas that know every start that may have been sent
inline const std::string attempts = "attempts";  // rewritten to advance the revision; its value means nothing
inline const std::string types =
    "types";  // machine types, for controllers that start while the cloud is down

// Prefixes.
inline const std::string jobs = "job/";       // live jobs, cancelled ones included until their tasks are gone
inline const std::string finals = "final/";   // final states of jobs, kept for ever
inline const std::string progress = "prog/";  // finished tasks of live jobs, in blocks
inline const std::string machines = "mach/";  // machines that may hold tasks
inline const std::string machine_pages = machines + "page/";  // many machines in one value

// The record of a live job.
inline std::string job(const std::string& id) {
    return jobs + id;
}
// The record of a job's final state.
inline std::string final(const std::string& id) {
    return finals + id;
}
inline std::string machine_page(std::size_t number) {
    return machine_pages + std::to_string(number);
}
// One block of the finished tasks of a live job.
inline std::string progress_of(const std::string& id, const std::string& block) {
    return progress + id + "/" + block;
}

}  // namespace coralhitch::kv::keys
