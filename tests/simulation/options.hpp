// What a simulated cluster begins with.
#pragma once
#include <cstdint>
#include <set>

namespace coralhitch::simulation {

struct Options {
    std::uint64_t seed = 1;
    std::size_t machines = 6;
    double heartbeat_interval_s = 3, lease_s = 24, cancel_s = 44;
    double gpus_max = 12;          // limit of team `tight`
    double free_gpus_max = 0;      // of team `free`; 0: none
    double max_waiting_s = 90;     // a job may wait for so long with room and quota, once the faults are over
    double max_unanswered_s = 45;  // and its users for an answer
    double boot_s = 1;             // what a machine takes; the nominal time is 5 s
    // Controllers of a version, or with settings, without replication.
    std::set<std::size_t> without_replication;
    bool relay_heartbeats = true;  // controllers that do not lead relay heartbeats to the one that does
    // What a controller takes for each message of a worker; the next ones wait.
    double heartbeat_processing_s = 0;
    bool pings_of_previous_version = false;  // between controllers
    // The key-value store's limits, and what they fall to without notice, if they do.
    double value_kb = 16, reduced_value_kb = 16;
    std::uint32_t txn_ops = 8, reduced_txn_ops = 8;
    double limits_reduced_at = 1e9;
    int submit_tries = 40;  // of a user, 1.5 s apart
    // Changes a second that the key-value store allows; beyond them, and a second's worth more, it refuses.
    double write_rps = 80;
};

}  // namespace coralhitch::simulation
