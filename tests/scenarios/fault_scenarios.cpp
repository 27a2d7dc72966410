#include "scenarios/fault_scenarios.hpp"

#include <algorithm>
#include <cstdio>

namespace coralhitch::simulation {
namespace {
constexpr double faults_from = 20, faults_until = 100, work_until = 110, play_until = 280;
constexpr std::size_t nodes = 3, troubles = static_cast<std::size_t>(FaultKind::small_job_stream) + 1;
constexpr double copies_soon = 3, copies_late = 60;  // s; a worker's lease is 24
constexpr const char* names[] = {"controller ends",
                                 "all controllers end",
                                 "leader ends after some messages",
                                 "controller stands still",
                                 "state service refuses",
                                 "controllers cut from each other",
                                 "controller cut from workers",
                                 "controller cut from all",
                                 "state service out",
                                 "cloud out",
                                 "machine dies",
                                 "machine hangs",
                                 "zone cut off",
                                 "answers don't reach machines",
                                 "messages come twice",
                                 "controller has workers only",
                                 "machine is back at once",
                                 "transactions are carried out late",
                                 "state service is slow",
                                 "live jobs are cancelled",
                                 "close looks",
                                 "answer lost, carried out",
                                 "cancel at end",
                                 "cancel now with hangs",
                                 "mute",
                                 "odd requests",
                                 "copy for the next leader",
                                 "late commands",
                                 "fast boots with slow writes",
                                 "all teams at their limit",
                                 "stream of small jobs"};
static_assert(std::size(names) == troubles);

std::string node(std::size_t k) {
    return "10.0.0." + std::to_string(k + 1);
}
std::size_t leads(const SimulatedCluster& cluster, std::size_t who) {
    return who < nodes ? who : static_cast<std::size_t>(std::max(0, cluster.leader()));
}
// A quarter of the transactions; what meets another fault of this kind happens as that one says first.
void late_transactions(SimulatedCluster& cluster, const Fault& fault, double (*late)(std::minstd_rand&)) {
    auto random = std::make_shared<std::minstd_rand>(fault.other + fault.who);
    cluster.transaction_delay = [&cluster, random, late, before = cluster.transaction_delay,
                                 until = cluster.now() + fault.for_s](const json& txn) {
        if (double other = before ? before(txn) : 0; other != 0) return other;
        return cluster.now() > until || (*random)() % 4 ? 0.0 : late(*random);
    };
}
void happen(SimulatedCluster& cluster, const Fault& fault, std::size_t machines) {
    auto k = leads(cluster, fault.who);
    switch (fault.what) {
        case FaultKind::controller_crash:
            return cluster.crash(k, fault.for_s);
        case FaultKind::all_controllers_crash:
            for (std::size_t n = 0; n < nodes; ++n) cluster.crash(n, fault.for_s);
            return;
        case FaultKind::leader_crash_after_messages: {
            auto left = std::make_shared<std::size_t>(fault.other);
            cluster.on_message = [&cluster, left, back = fault.for_s](const std::string& from, auto&, auto&) {
                auto leader = leads(cluster, nodes);
                if (*left == 0 || cluster.leader() < 0 || from != cluster.addr_of(leader) || --*left > 0)
                    return;
                cluster.crash(leader, back);
            };
            return;
        }
        case FaultKind::controller_freeze:
            return cluster.freeze(k, fault.for_s);
        case FaultKind::key_value_store_refuses:
            return cluster.refuse_at_key_value_store(k, fault.for_s);
        case FaultKind::controllers_partitioned:
            return cluster.partition(node(k), node((k + 1 + fault.other % 2) % nodes), fault.for_s,
                                     fault.hold);
        case FaultKind::controller_partitioned_from_workers:
            return cluster.partition(node(k), "10.1.", fault.for_s, fault.hold);
        case FaultKind::controller_partitioned_from_all:
            return cluster.partition(node(k), "10.", fault.for_s, fault.hold);
        case FaultKind::key_value_store_outage:
            return cluster.start_key_value_store_outage(fault.for_s);
        case FaultKind::cloud_outage:
            return cluster.start_cloud_outage(fault.for_s);
        case FaultKind::machine_crash:
            return cluster.crash_machine(fault.who);
        case FaultKind::machine_hang:
            return cluster.hang_machine(fault.who, fault.for_s);
        case FaultKind::zone_partition:
            for (std::size_t machine = fault.who % 2; machine < std::max(machines, cluster.workers.size());
                 machine += 2)
                cluster.partition(cluster.workers[machine % cluster.workers.size()]->addr, "10.", fault.for_s,
                                  fault.hold);
            return cluster.partition(node(fault.who % 2), "10.", fault.for_s, fault.hold);
        case FaultKind::machines_outbound_unreachable: {
            // One machine, or a third of them; from all controllers, or from one.
            std::size_t step = fault.other > 8 ? 3 : cluster.workers.size();
            for (auto machine = fault.who % cluster.workers.size(); machine < cluster.workers.size();
                 machine += step)
                cluster.partition_one_way(fault.other % 4 == 0 ? node(fault.who % nodes) : "10.0.",
                                          cluster.workers[machine]->addr, fault.for_s);
            return;
        }
        case FaultKind::duplicate_messages:
            return cluster.duplicate_messages(fault.for_s, fault.hold ? copies_late : copies_soon);
        case FaultKind::controller_reaches_workers_only:
            cluster.partition(node(k), "10.2.0.1", fault.for_s, fault.hold);
            return cluster.partition(node(k), "10.0.", fault.for_s, fault.hold);
        case FaultKind::machine_reboot:
            return cluster.reboot_machine(fault.who, fault.hold);
        case FaultKind::late_transactions:
            return late_transactions(cluster, fault, [](auto& random) {
                return std::uniform_real_distribution<double>(2, 12)(random);
            });
        case FaultKind::lost_transaction_answers:
            return late_transactions(cluster, fault, [](auto&) { return -1.0; });
        case FaultKind::slow_key_value_store:
            return cluster.slow_key_value_store(
                fault.for_s,
                fault.hold ? 1.2 : 0.4);  // s; a leader's lease is 2.4, a question waits 1.5
        case FaultKind::cancel_all_jobs:
            for (auto& [id, told] : cluster.jobs)
                if (told.accepted && !told.done && !told.cancel_asked) cluster.cancel(id);
            return;
        case FaultKind::frequent_queries:
            return cluster.query_frequently(fault.for_s);
        case FaultKind::cancel_at_job_end:
            return cluster.cancel_at_job_end(fault.for_s);
        case FaultKind::cancel_running_jobs:
            return cluster.cancel_running_jobs(fault.other, fault.for_s);
        case FaultKind::machines_inbound_unreachable: {
            std::size_t step =
                fault.other > 8 ? 3 : cluster.workers.size();  // a third of the machines, or one
            for (auto machine = fault.who % cluster.workers.size(); machine < cluster.workers.size();
                 machine += step)
                cluster.make_inbound_unreachable(machine, fault.for_s);
            return;
        }
        case FaultKind::unusual_requests:
            return cluster.send_unusual_requests(fault.for_s);
        case FaultKind::heartbeats_replayed_at_next_leader:
            return cluster.replay_heartbeats_at_next_leader(fault.for_s);
        case FaultKind::late_commands:
            return cluster.delay_commands(fault.for_s);
        case FaultKind::fast_boots_with_slow_writes:
            // Machines that are gone make the service rent new ones.
            for (std::size_t machine = 0; machine < 2; ++machine)
                cluster.crash_machine(fault.other + 5 * machine);
            return cluster.boot_fast_with_slow_writes(fault.for_s, fault.hold ? 1.2 : 0.4);
        case FaultKind::team_limits_filled:
            return cluster.fill_team_limits();
        case FaultKind::small_job_stream:
            return cluster.submit_small_jobs(fault.for_s);
    }
}
}  // namespace

std::string name(const Fault& fault) {
    return names[static_cast<std::size_t>(fault.what)];
}
std::string text(const Fault& fault) {
    char line[120];
    std::snprintf(line, sizeof line, "%8.3f s  %-32s  who %zu, other %zu, for %.3f s%s", fault.at,
                  names[static_cast<std::size_t>(fault.what)], fault.who, fault.other, fault.for_s,
                  fault.hold ? ", held" : "");
    return line;
}

void work(SimulatedCluster& cluster, double until) {
    int n = 0;
    for (double t = 2; t < until; t += 2.5, ++n)
        cluster.at(t, [&cluster, n] {
            auto id = "j-" + std::to_string(100 + n);
            if (n % 5 == 0) cluster.submit(id, "service", 2, 0, {{"driftwood", false}, {"scatter", true}});
            if (n % 5 == 1) cluster.submit(id, "gang", 3, 6, {{"together", true}, {"crew", "tight"}});
            if (n % 5 >= 2) cluster.submit(id, "batch", 6, 4, {{"crew", n % 2 ? "tight" : "free"}});
            if (n % 7 == 3) cluster.at(cluster.now() + 6, [&cluster, id] { cluster.cancel(id); });
        });
    for (int k = 0; k < n; k += 5)
        cluster.at(until + 30, [&cluster, k] { cluster.cancel("j-" + std::to_string(100 + k)); });
}
std::vector<std::string> wrong(const SimulatedCluster& cluster) {
    auto out = cluster.violations;
    if (cluster.starts <= 40) out.push_back("hardly anything was started");
    for (auto& [id, told] : cluster.jobs) {
        if (told.refused) continue;
        if (!told.accepted) out.push_back(id + " was not accepted");
        if (!told.done && !told.cancelled) out.push_back(id + " has not ended");
    }
    return out;
}

namespace {
double between(std::mt19937_64& random, double least, double b) {
    return std::uniform_real_distribution<double>(least, b)(random);
}
Fault draw_fault(std::mt19937_64& random, FaultKind what, double at, std::size_t machines) {
    Fault fault;
    fault.at = at;
    fault.what = what;
    fault.who = random() % (nodes + 1);
    fault.other = 1 + random() % 12;
    fault.hold = random() % 2;
    bool ends = fault.what <= FaultKind::leader_crash_after_messages;
    bool long_ones = fault.what == FaultKind::machine_hang || fault.what == FaultKind::zone_partition ||
                     fault.what == FaultKind::machines_outbound_unreachable ||
                     fault.what == FaultKind::controller_reaches_workers_only ||
                     fault.what == FaultKind::late_transactions ||
                     fault.what == FaultKind::cancel_running_jobs ||
                     fault.what == FaultKind::machines_inbound_unreachable;
    fault.for_s = ends ? (random() % 3 ? between(random, 0.05, 0.5) : between(random, 2, 6))
                       : between(random, 0.5, long_ones ? 30 : 12);
    bool of_machine = fault.what == FaultKind::machine_crash || fault.what == FaultKind::machine_hang ||
                      fault.what == FaultKind::machines_outbound_unreachable ||
                      fault.what == FaultKind::machine_reboot ||
                      fault.what == FaultKind::machines_inbound_unreachable;
    if (of_machine) fault.who = random() % machines;
    return fault;
}
}  // namespace

std::vector<Fault> draw_faults(std::uint64_t seed, std::size_t machines) {
    std::mt19937_64 random(seed);
    std::vector<Fault> out;
    // Some come singly, some within a second of the one before.
    double t = faults_from;
    while ((t += random() % 3 ? between(random, 0.05, 1.5) : between(random, 3, 15)) < faults_until)
        out.push_back(draw_fault(random, static_cast<FaultKind>(random() % troubles), t, machines));
    return out;
}

const std::size_t pairs = troubles * troubles, pair_seeds = (pairs + pairs_each - 1) / pairs_each;
namespace {
// One pair; the second is placed in the first by ratios of what the two meet in.
std::pair<Fault, Fault> draw_pair(std::mt19937_64& random, std::size_t pair, double t, std::size_t machines) {
    // A leader's lease, a report period, a worker's lease, the time of a cancellation.
    constexpr double ttl = 2.4, report = 3, lease = 24, cancel = 44, spans[] = {ttl, report, lease, cancel};
    auto a = draw_fault(random, static_cast<FaultKind>(pair % troubles), t, machines),
         b = draw_fault(random, static_cast<FaultKind>(pair / troubles % troubles), t, machines);
    double span = spans[random() % std::size(spans)];
    switch (random() % 3) {
        case 0:  // back to back
            b.at = std::min(a.until(), a.at + span) + between(random, -0.2, 0.2);
            break;
        case 1:  // overlapping: the first is over while the second lasts
            a.for_s = std::max(a.for_s, span * between(random, 0.3, 1.1));
            b.at = a.at + a.for_s * between(random, 0.3, 0.95);
            break;
        default:  // the second inside the first
            a.for_s = std::max(a.for_s, span * between(random, 0.8, 1.2));
            b.for_s = std::min(b.for_s, a.for_s / 2);
            b.at = a.at + between(random, 0.01, 0.4) * a.for_s;
    }
    // A process is away for as long as its machine takes to start it; a stream ends in time for its jobs.
    constexpr double away_most = 6, stream_most = 12;
    for (auto* f : {&a, &b}) {
        if (f->what <= FaultKind::leader_crash_after_messages) f->for_s = std::min(f->for_s, away_most);
        if (f->what == FaultKind::small_job_stream) f->for_s = std::min(f->for_s, stream_most);
    }
    return {a, b};
}
}  // namespace

std::vector<Fault> draw_fault_pairs(std::uint64_t seed, std::size_t machines) {
    // Pairs that share a kind are next to each other: a step through them, without a common factor with their
    // number, mixes the kinds of a play.
    constexpr std::size_t step = 331;
    static_assert(troubles * troubles % step != 0 && troubles * troubles % 2 == 1);
    std::mt19937_64 random(seed);
    std::vector<Fault> out;
    double t = faults_from;
    for (std::size_t k = 0; k < pairs_each; ++k, t += between(random, 19, 25)) {
        auto [a, b] = draw_pair(random, (seed % pair_seeds * pairs_each + k) * step % pairs, t, machines);
        out.push_back(a);
        out.push_back(b);
    }
    return out;
}
std::vector<std::string> run_scenario(std::uint64_t seed, std::size_t machines,
                                      const std::vector<Fault>& faults, Counts* counts) {
    Options options;
    options.seed = seed;
    options.machines = machines;
    options.free_gpus_max = 2.5 * static_cast<double>(machines);  // of four a machine; services take 18
    // Users go on asking for as long as the longest trouble lasts, and then some.
    for (auto& fault : faults)
        if (fault.for_s > 20) options.submit_tries = 200;
    SimulatedCluster cluster(options);
    work(cluster, work_until);
    cluster.faults_over_at = 0;
    for (auto& fault : faults) {
        cluster.at(fault.at, [&cluster, fault, machines] { happen(cluster, fault, machines); });
        cluster.faults_over_at = std::max(cluster.faults_over_at, fault.at + fault.for_s);
    }
    cluster.run_until(play_until);
    if (counts) {
        counts->answers += cluster.answers;
        counts->starts += cluster.starts;
        counts->starts_after_cancellation += cluster.starts_after_cancellation;
        counts->digest = cluster.digest.value();
    }
    return wrong(cluster);
}
std::vector<Fault> shrink(std::uint64_t seed, std::size_t machines, std::vector<Fault> faults) {
    for (std::size_t part = std::max<std::size_t>(1, faults.size() / 2); part > 0; part /= 2)
        for (std::size_t k = 0; k + part <= faults.size();) {
            auto less = faults;
            auto at = less.begin() + static_cast<std::ptrdiff_t>(k);
            less.erase(at, at + static_cast<std::ptrdiff_t>(part));
            if (run_scenario(seed, machines, less).empty())
                k += part;
            else
                faults = std::move(less);
        }
    return faults;
}

}  // namespace coralhitch::simulation
