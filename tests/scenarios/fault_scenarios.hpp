// Random plays of three controllers, machines and users in a simulated cluster: from a seed come faults of
// every kind, alone and together; a play that breaks a rule is shrunk to the fewest faults that still do.
#pragma once
#include <string>
#include <vector>

#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {

// Under the sanitizers a play takes ten times as long: a part of the seeds must do.
#ifdef __SANITIZE_ADDRESS__
inline constexpr std::uint64_t seeds_part = 5;
#else
inline constexpr std::uint64_t seeds_part = 1;
#endif

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

struct Fault {
    double at = 0;  // s
    FaultKind what = FaultKind::controller_crash;
    std::size_t who = 0;  // a controller (3: who leads then), a machine, or a zone
    std::size_t other =
        0;              // for a cut between controllers: the other; for crash_after: after so many messages
    double for_s = 0;   // how long it lasts, or until a controller is back
    bool hold = false;  // packets are held, and come later
    double until() const { return at + for_s; }
};
std::string text(const Fault& fault);
std::string name(const Fault& fault);  // of its kind

// Jobs of every kind come all the time, so that starts are on their way at any moment; all end in time.
void work(SimulatedCluster& cluster, double until);
// What is wrong at the end: rules that were broken, jobs that were not accepted or have not ended.
std::vector<std::string> wrong(const SimulatedCluster& cluster);

std::vector<Fault> draw_faults(std::uint64_t seed, std::size_t machines);
// Pairs of kinds of trouble, each of which meet: one after the other, overlapping, or the second inside the
// first. A play has `pairs_each` of the `pairs`, so that seeds 0 to `pair_seeds - 1` have each pair once;
// further ones have them again with other times.
inline constexpr std::size_t pairs_each = 3;
extern const std::size_t pairs, pair_seeds;
std::vector<Fault> draw_fault_pairs(std::uint64_t seed, std::size_t machines);

// What a play has had besides broken rules.
struct Counts {
    std::size_t answers = 0;  // that users got
    std::size_t starts = 0;   // of tasks
    std::size_t starts_after_cancellation =
        0;                     // after the cancellation was confirmed, and within `cancel_s` of it
    std::uint64_t digest = 0;  // of the messages of the last play
};
std::vector<std::string> run_scenario(std::uint64_t seed, std::size_t machines,
                                      const std::vector<Fault>& faults, Counts* counts = nullptr);
// The fewest of these faults with which something is still wrong.
std::vector<Fault> shrink(std::uint64_t seed, std::size_t machines, std::vector<Fault> faults);

}  // namespace coralhitch::simulation
