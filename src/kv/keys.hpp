// The key layout at the key-value store. docs/design.md describes it.
#pragma once
#include <string>

namespace coralhitch::kv::keys {

inline const std::string leader = "leader";
inline const std::string standby = "standby";    // who has taken in every start that the leader may have sent
inline const std::string attempts = "attempts";  // rewritten so that the revision grows; says nothing
inline const std::string types =
    "types";                             // machine types, for controllers that start while the cloud is down
inline const std::string jobs = "job/";  // live jobs, cancelled ones included until their tasks are gone
inline const std::string finals = "final/";   // jobs that are over, for ever
inline const std::string progress = "prog/";  // finished tasks of live jobs, in blocks
inline const std::string machines = "mach/";  // machines that may hold tasks
inline const std::string machine_pages = machines + "page/";

inline std::string job(const std::string& id) {
    return jobs + id;
}
inline std::string final(const std::string& id) {
    return finals + id;
}
inline std::string machine_page(std::size_t n) {
    return machine_pages + std::to_string(n);
}
inline std::string progress_of(const std::string& id, const std::string& block) {
    return progress + id + "/" + block;
}

}  // namespace coralhitch::kv::keys
