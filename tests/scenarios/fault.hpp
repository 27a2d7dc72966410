// One fault of a scenario, and all kinds of them.
#pragma once
#include <string>

#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {

// The order is that in which seeds draw them: a new kind goes before the last one, and changes what each seed
// draws.
enum class FaultKind {
    controller_crash,
    all_controllers_crash,
    leader_crash_after_messages,
    controller_freeze,
    key_value_store_refuses,
    controllers_partitioned,
    controller_partitioned_from_workers,
    controller_partitioned_from_all,
    key_value_store_outage,
    cloud_outage,
    machine_crash,
    machine_hang,
    zone_partition,
    machines_outbound_unreachable,
    duplicate_messages,
    controller_reaches_workers_only,
    machine_reboot,
    late_transactions,
    slow_key_value_store,
    cancel_all_jobs,
    frequent_queries,
    lost_transaction_answers,
    cancel_at_job_end,
    cancel_running_jobs,
    machines_inbound_unreachable,
    unusual_requests,
    heartbeats_replayed_at_next_leader,
    late_commands,
    fast_boots_with_slow_writes,
    team_limits_filled,
    small_job_stream
};
inline constexpr std::size_t fault_kind_count = static_cast<std::size_t>(FaultKind::small_job_stream) + 1;
// As the target of a fault: the controller that leads when the fault begins.
inline constexpr std::size_t current_leader = controller_count;

struct Fault {
    double at = 0;  // s
    FaultKind kind = FaultKind::controller_crash;
    std::size_t target = 0;  // a controller or `current_leader`, a machine, or a zone
    // How much, where a kind can do more or less: messages until the crash, jobs to cancel, one machine or a
    // third of them.
    std::size_t amount = 0;
    double for_s = 0;  // how long it lasts, or until a controller is back
    // Of a partition: packets are held and arrive when it ends. Of other kinds: the longer delay.
    bool hold_packets = false;

    double until() const { return at + for_s; }
    bool crashes_controllers() const { return kind <= FaultKind::leader_crash_after_messages; }
};

std::string kind_name(const Fault& fault);
std::string to_string(const Fault& fault);

// Begins the fault now; it ends by itself.
void inject(SimulatedCluster& cluster, const Fault& fault);

}  // namespace coralhitch::simulation
