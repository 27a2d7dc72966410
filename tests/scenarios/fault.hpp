// Declares the kinds of faults that scenarios inject into a simulated cluster, and one fault with its
// parameters.
#pragma once
#include <string>

#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {

// Kinds of faults. Seeds draw kinds by number, so the order of the enumerators decides which faults a seed
// gives. A new kind goes before the last enumerator and changes the faults of every seed.
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
// Value of Fault::target that selects the controller that is the leader when the fault begins.
inline constexpr std::size_t current_leader = controller_count;

// A fault of one kind with its time, target and strength.
struct Fault {
    double at = 0;  // start of the fault, in s of simulated time
    FaultKind kind = FaultKind::controller_crash;
    std::size_t target = 0;  // index of a controller (or `current_leader`), of a machine, or of a zone
    // Strength of the fault, for kinds that have one: the number of messages until the leader crashes, the
    // number of jobs to cancel, or the choice between one machine and a third of the machines.
    std::size_t amount = 0;
    double for_s = 0;  // duration of the fault, or the time until a crashed controller restarts
    // In partitions: packets are held and arrive when the partition ends. In other kinds that use it: the
    // more severe of two variants, usually the longer delay.
    bool hold_packets = false;

    double until() const { return at + for_s; }
    bool crashes_controllers() const { return kind <= FaultKind::leader_crash_after_messages; }
};

// Returns the name of the fault's kind as printed in reports.
std::string kind_name(const Fault& fault);
// Returns one line with the time, the kind and all parameters of the fault.
std::string to_string(const Fault& fault);

// Starts the fault at the current simulated time, whatever `fault.at` says. The fault ends without another
// call.
void inject(SimulatedCluster& cluster, const Fault& fault);

}  // namespace coralhitch::simulation
