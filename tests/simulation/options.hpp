// Settings of a simulated cluster.
#pragma once
#include <cstdint>
#include <set>

namespace coralhitch::simulation {

// The defaults suit most tests. Times are in seconds.
struct Options {
    std::uint64_t seed = 1;
    std::size_t machines = 6;
    // Heartbeat period, lease of workers, and time within which the tasks of a cancelled job must end.
    double heartbeat_interval_s = 3, lease_s = 24, cancel_s = 44;
    double gpus_max = 12;      // GPU limit of team `tight`
    double free_gpus_max = 0;  // GPU limit of team `free`; 0: no limit
    // Rules that apply after the last fault: how long a job may wait although there is room and quota for it,
    // and how long its users may be without an answer.
    double max_waiting_s = 90;
    double max_unanswered_s = 45;
    double boot_s = 1;  // boot time of a machine; the machine type's nominal time is 5 s
    // Numbers of the controllers that run without replication of task starts, by their settings or because of
    // their version.
    std::set<std::size_t> without_replication;
    bool relay_heartbeats = true;  // followers relay heartbeats to the leader
    // Processing time of each message of a worker at a controller, one message after the other.
    double heartbeat_processing_s = 0;
    bool pings_of_previous_version = false;  // pings between controllers announce no features
    // Limits of the key-value store: size of a value and changes in a transaction. The reduced ones apply
    // from `limits_reduced_at` without notice.
    double value_kb = 16, reduced_value_kb = 16;
    std::uint32_t txn_ops = 8, reduced_txn_ops = 8;
    double limits_reduced_at = 1e9;
    // Maximum number of repeats of a submission or cancellation that got no answer or 503, each 1.5 s after
    // the failure.
    int submit_tries = 40;
    // Changes a second that the key-value store accepts on average; in a burst it accepts one second's worth.
    double write_rps = 80;
};

}  // namespace coralhitch::simulation
