// Implements each kind of fault in the simulated cluster.
#include <algorithm>
#include <array>
#include <cstdio>

#include "scenarios/fault.hpp"

namespace coralhitch::simulation {
namespace {

constexpr const char* all_controllers = "10.0.";
constexpr const char* all_machines = "10.1.";
constexpr const char* all_hosts = "10.";

std::string host_of_controller(std::size_t controller) {
    return "10.0.0." + std::to_string(controller + 1);
}
std::size_t leader_or_first(const SimulatedCluster& cluster) {
    return cluster.leader().value_or(0);
}
std::size_t target_controller(const SimulatedCluster& cluster, const Fault& fault) {
    return fault.target < controller_count ? fault.target : leader_or_first(cluster);
}
// Returns the target machine and, if the amount is above 8, every third machine after it.
std::vector<std::size_t> target_machines(const SimulatedCluster& cluster, const Fault& fault) {
    constexpr std::size_t one_machine_up_to = 8;
    std::size_t count = cluster.workers.size(), step = fault.amount > one_machine_up_to ? 3 : count;
    std::vector<std::size_t> machines;
    for (auto machine = fault.target % count; machine < count; machine += step) machines.push_back(machine);
    return machines;
}

// --- Controllers ------------------------------------------------------------------------------------------

void crash_controller(SimulatedCluster& cluster, const Fault& fault) {
    cluster.crash(target_controller(cluster, fault), fault.for_s);
}
void crash_all_controllers(SimulatedCluster& cluster, const Fault& fault) {
    for (std::size_t controller = 0; controller < controller_count; ++controller)
        cluster.crash(controller, fault.for_s);
}
void crash_leader_after_messages(SimulatedCluster& cluster, const Fault& fault) {
    auto messages_left = std::make_shared<std::size_t>(fault.amount);
    cluster.on_message = [&cluster, messages_left, restart_after_s = fault.for_s](const std::string& from,
                                                                                  auto&, auto&) {
        auto leader = leader_or_first(cluster);
        if (*messages_left == 0 || !cluster.leader() || from != cluster.addr_of(leader) ||
            --*messages_left > 0)
            return;
        cluster.crash(leader, restart_after_s);
    };
}
void freeze_controller(SimulatedCluster& cluster, const Fault& fault) {
    cluster.freeze(target_controller(cluster, fault), fault.for_s);
}

// --- Network ----------------------------------------------------------------------------------------------

void partition_target_from(SimulatedCluster& cluster, const Fault& fault, const std::string& others) {
    auto controller = target_controller(cluster, fault);
    cluster.partition(host_of_controller(controller), others, fault.for_s,
                      fault.hold_packets ? Packets::held : Packets::dropped);
}
void partition_two_controllers(SimulatedCluster& cluster, const Fault& fault) {
    auto other = (target_controller(cluster, fault) + 1 + fault.amount % 2) % controller_count;
    partition_target_from(cluster, fault, host_of_controller(other));
}
void partition_from_workers(SimulatedCluster& cluster, const Fault& fault) {
    partition_target_from(cluster, fault, all_machines);
}
void partition_from_all(SimulatedCluster& cluster, const Fault& fault) {
    partition_target_from(cluster, fault, all_hosts);
}
void leave_workers_only(SimulatedCluster& cluster, const Fault& fault) {
    partition_target_from(cluster, fault, "10.2.0.1");  // the key-value store
    partition_target_from(cluster, fault, all_controllers);
}
void partition_zone(SimulatedCluster& cluster, const Fault& fault) {
    auto zone = fault.target % 2;
    for (std::size_t machine = zone; machine < cluster.workers.size(); machine += 2)
        cluster.partition(cluster.workers[machine]->addr, all_hosts, fault.for_s,
                          fault.hold_packets ? Packets::held : Packets::dropped);
    cluster.partition(host_of_controller(zone), all_hosts, fault.for_s,
                      fault.hold_packets ? Packets::held : Packets::dropped);
}
// Drops packets to the machines from all controllers or, if the amount is a multiple of 4, from one
// controller.
void make_outbound_unreachable(SimulatedCluster& cluster, const Fault& fault) {
    auto from = fault.amount % 4 == 0 ? host_of_controller(fault.target % controller_count) : all_controllers;
    for (auto machine : target_machines(cluster, fault))
        cluster.partition_one_way(from, cluster.workers[machine]->addr, fault.for_s);
}
void make_inbound_unreachable(SimulatedCluster& cluster, const Fault& fault) {
    for (auto machine : target_machines(cluster, fault))
        cluster.make_inbound_unreachable(machine, fault.for_s);
}
void duplicate_messages(SimulatedCluster& cluster, const Fault& fault) {
    constexpr double soon_s = 3, late_s = 60;  // shorter and longer than a worker's lease (24 s)
    cluster.duplicate_messages(fault.for_s, fault.hold_packets ? late_s : soon_s);
}
void replay_heartbeats(SimulatedCluster& cluster, const Fault& fault) {
    cluster.replay_heartbeats_at_next_leader(fault.for_s);
}
void delay_commands(SimulatedCluster& cluster, const Fault& fault) {
    cluster.delay_commands(fault.for_s);
}

// --- Key-value store and cloud ----------------------------------------------------------------------------

// Returns the delay of each answer. Both delays stay below a leader's lease (2.4 s) and the time-out of a
// query (1.5 s).
double key_value_store_delay_s(const Fault& fault) {
    return fault.hold_packets ? 1.2 : 0.4;
}
void refuse_at_key_value_store(SimulatedCluster& cluster, const Fault& fault) {
    cluster.refuse_at_key_value_store(target_controller(cluster, fault), fault.for_s);
}
void start_key_value_store_outage(SimulatedCluster& cluster, const Fault& fault) {
    cluster.key_value_store.start_outage(fault.for_s);
}
void slow_key_value_store(SimulatedCluster& cluster, const Fault& fault) {
    cluster.key_value_store.slow_down(fault.for_s, key_value_store_delay_s(fault));
}
void start_cloud_outage(SimulatedCluster& cluster, const Fault& fault) {
    cluster.start_cloud_outage(fault.for_s);
}
// Delays a quarter of the transactions for the duration of the fault. `draw_delay` returns the delay in s, or
// a negative value if the transaction is carried out at once and its answer is lost. If two such faults
// overlap, the later one applies only to transactions that the earlier one does not delay.
void delay_transactions(SimulatedCluster& cluster, const Fault& fault,
                        double (*draw_delay)(std::minstd_rand&)) {
    auto random = std::make_shared<std::minstd_rand>(fault.amount + fault.target);
    cluster.key_value_store.transaction_delay =
        [&cluster, random, draw_delay, earlier = cluster.key_value_store.transaction_delay,
         until = cluster.now() + fault.for_s](const json& transaction) {
            if (double delay = earlier ? earlier(transaction) : 0; delay != 0) return delay;
            return cluster.now() > until || (*random)() % 4 ? 0.0 : draw_delay(*random);
        };
}
void carry_transactions_out_late(SimulatedCluster& cluster, const Fault& fault) {
    delay_transactions(cluster, fault,
                       [](auto& random) { return std::uniform_real_distribution<double>(2, 12)(random); });
}
void lose_transaction_answers(SimulatedCluster& cluster, const Fault& fault) {
    delay_transactions(cluster, fault, [](auto&) { return -1.0; });
}

// --- Machines ---------------------------------------------------------------------------------------------

void crash_machine(SimulatedCluster& cluster, const Fault& fault) {
    cluster.crash_machine(fault.target);
}
void hang_machine(SimulatedCluster& cluster, const Fault& fault) {
    cluster.hang_machine(fault.target, fault.for_s);
}
void reboot_machine(SimulatedCluster& cluster, const Fault& fault) {
    bool forgets_agent_epoch = fault.hold_packets;
    cluster.reboot_machine(fault.target, forgets_agent_epoch);
}
// Crashes two machines, so that the leader scales out while new machines boot fast and writes are slow.
void boot_fast_with_slow_writes(SimulatedCluster& cluster, const Fault& fault) {
    for (std::size_t machine = 0; machine < 2; ++machine) cluster.crash_machine(fault.amount + 5 * machine);
    cluster.boot_fast_with_slow_writes(fault.for_s, key_value_store_delay_s(fault));
}

// --- Users ------------------------------------------------------------------------------------------------

void cancel_all_jobs(SimulatedCluster& cluster, const Fault&) {
    for (auto& [id, job] : cluster.jobs)
        if (job.accepted && !job.done && !job.cancel_asked) cluster.cancel(id);
}
void cancel_running_jobs(SimulatedCluster& cluster, const Fault& fault) {
    cluster.cancel_running_jobs(fault.amount, fault.for_s);
}
void cancel_at_job_end(SimulatedCluster& cluster, const Fault& fault) {
    cluster.cancel_at_job_end(fault.for_s);
}
void query_frequently(SimulatedCluster& cluster, const Fault& fault) {
    cluster.query_frequently(fault.for_s);
}
void send_unusual_requests(SimulatedCluster& cluster, const Fault& fault) {
    cluster.send_unusual_requests(fault.for_s);
}
void fill_team_limits(SimulatedCluster& cluster, const Fault&) {
    cluster.fill_team_limits();
}
void submit_small_jobs(SimulatedCluster& cluster, const Fault& fault) {
    cluster.submit_small_jobs(fault.for_s);
}

// Name and implementation of a kind of fault.
struct KindDefinition {
    FaultKind kind;
    const char* name;
    void (*inject)(SimulatedCluster&, const Fault&);
};
// Must be in the order of FaultKind (checked below).
constexpr std::array definitions{
    KindDefinition{FaultKind::controller_crash, "controller crashes", crash_controller},
    KindDefinition{FaultKind::all_controllers_crash, "all controllers crash", crash_all_controllers},
    KindDefinition{FaultKind::leader_crash_after_messages, "leader crashes after some messages",
                   crash_leader_after_messages},
    KindDefinition{FaultKind::controller_freeze, "controller freezes", freeze_controller},
    KindDefinition{FaultKind::key_value_store_refuses, "key-value store refuses", refuse_at_key_value_store},
    KindDefinition{FaultKind::controllers_partitioned, "two controllers partitioned",
                   partition_two_controllers},
    KindDefinition{FaultKind::controller_partitioned_from_workers, "controller partitioned from workers",
                   partition_from_workers},
    KindDefinition{FaultKind::controller_partitioned_from_all, "controller partitioned from all",
                   partition_from_all},
    KindDefinition{FaultKind::key_value_store_outage, "key-value store outage", start_key_value_store_outage},
    KindDefinition{FaultKind::cloud_outage, "cloud outage", start_cloud_outage},
    KindDefinition{FaultKind::machine_crash, "machine crashes", crash_machine},
    KindDefinition{FaultKind::machine_hang, "machine hangs", hang_machine},
    KindDefinition{FaultKind::zone_partition, "zone partitioned", partition_zone},
    KindDefinition{FaultKind::machines_outbound_unreachable, "machines outbound unreachable",
                   make_outbound_unreachable},
    KindDefinition{FaultKind::duplicate_messages, "duplicate messages", duplicate_messages},
    KindDefinition{FaultKind::controller_reaches_workers_only, "controller reaches workers only",
                   leave_workers_only},
    KindDefinition{FaultKind::machine_reboot, "machine reboots at once", reboot_machine},
    KindDefinition{FaultKind::late_transactions, "transactions carried out late",
                   carry_transactions_out_late},
    KindDefinition{FaultKind::slow_key_value_store, "slow key-value store", slow_key_value_store},
    KindDefinition{FaultKind::cancel_all_jobs, "all jobs cancelled", cancel_all_jobs},
    KindDefinition{FaultKind::frequent_queries, "frequent queries", query_frequently},
    KindDefinition{FaultKind::lost_transaction_answers, "transaction answers lost", lose_transaction_answers},
    KindDefinition{FaultKind::cancel_at_job_end, "cancellations at job ends", cancel_at_job_end},
    KindDefinition{FaultKind::cancel_running_jobs, "running jobs cancelled, machines hang",
                   cancel_running_jobs},
    KindDefinition{FaultKind::machines_inbound_unreachable, "machines inbound unreachable",
                   make_inbound_unreachable},
    KindDefinition{FaultKind::unusual_requests, "unusual requests", send_unusual_requests},
    KindDefinition{FaultKind::heartbeats_replayed_at_next_leader, "heartbeats replayed at next leader",
                   replay_heartbeats},
    KindDefinition{FaultKind::late_commands, "late commands", delay_commands},
    KindDefinition{FaultKind::fast_boots_with_slow_writes, "fast boots with slow writes",
                   boot_fast_with_slow_writes},
    KindDefinition{FaultKind::team_limits_filled, "all teams at their limit", fill_team_limits},
    KindDefinition{FaultKind::small_job_stream, "stream of small jobs", submit_small_jobs},
};
constexpr bool definitions_are_in_order() {
    for (std::size_t kind = 0; kind < definitions.size(); ++kind)
        if (static_cast<std::size_t>(definitions[kind].kind) != kind) return false;
    return definitions.size() == fault_kind_count;
}
static_assert(definitions_are_in_order());

const KindDefinition& definition_of(const Fault& fault) {
    return definitions.at(static_cast<std::size_t>(fault.kind));
}
}  // namespace

std::string kind_name(const Fault& fault) {
    return definition_of(fault).name;
}
std::string to_string(const Fault& fault) {
    constexpr std::size_t max_length = 160;
    char line[max_length];
    std::snprintf(line, sizeof line, "%8.3f s  %-38s  target %zu, amount %zu, for %.3f s%s", fault.at,
                  definition_of(fault).name, fault.target, fault.amount, fault.for_s,
                  fault.hold_packets ? ", held" : "");
    return line;
}
void inject(SimulatedCluster& cluster, const Fault& fault) {
    definition_of(fault).inject(cluster, fault);
}

}  // namespace coralhitch::simulation
