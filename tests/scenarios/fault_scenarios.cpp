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
std::size_t leads(const SimulatedCluster& w, std::size_t who) {
    return who < nodes ? who : static_cast<std::size_t>(std::max(0, w.leader()));
}
// A quarter of the transactions; what meets another fault of this kind happens as that one says first.
void late_transactions(SimulatedCluster& w, const Fault& f, double (*late)(std::minstd_rand&)) {
    auto random = std::make_shared<std::minstd_rand>(f.other + f.who);
    w.transaction_delay = [&w, random, late, before = w.transaction_delay, until = w.now() + f.for_s](const json& txn) {
        if (double other = before ? before(txn) : 0; other != 0) return other;
        return w.now() > until || (*random)() % 4 ? 0.0 : late(*random);
    };
}
void happen(SimulatedCluster& w, const Fault& f, std::size_t machines) {
    auto k = leads(w, f.who);
    switch (f.what) {
        case FaultKind::controller_crash:
            return w.crash(k, f.for_s);
        case FaultKind::all_controllers_crash:
            for (std::size_t n = 0; n < nodes; ++n) w.crash(n, f.for_s);
            return;
        case FaultKind::leader_crash_after_messages: {
            auto left = std::make_shared<std::size_t>(f.other);
            w.on_message = [&w, left, back = f.for_s](const std::string& from, auto&, auto&) {
                auto l = leads(w, nodes);
                if (*left == 0 || w.leader() < 0 || from != w.addr_of(l) || --*left > 0) return;
                w.crash(l, back);
            };
            return;
        }
        case FaultKind::controller_freeze:
            return w.freeze(k, f.for_s);
        case FaultKind::key_value_store_refuses:
            return w.refuse_at_key_value_store(k, f.for_s);
        case FaultKind::controllers_partitioned:
            return w.partition(node(k), node((k + 1 + f.other % 2) % nodes), f.for_s, f.hold);
        case FaultKind::controller_partitioned_from_workers:
            return w.partition(node(k), "10.1.", f.for_s, f.hold);
        case FaultKind::controller_partitioned_from_all:
            return w.partition(node(k), "10.", f.for_s, f.hold);
        case FaultKind::key_value_store_outage:
            return w.start_key_value_store_outage(f.for_s);
        case FaultKind::cloud_outage:
            return w.start_cloud_outage(f.for_s);
        case FaultKind::machine_crash:
            return w.crash_machine(f.who);
        case FaultKind::machine_hang:
            return w.hang_machine(f.who, f.for_s);
        case FaultKind::zone_partition:
            for (std::size_t m = f.who % 2; m < std::max(machines, w.workers.size()); m += 2)
                w.partition(w.workers[m % w.workers.size()]->addr, "10.", f.for_s, f.hold);
            return w.partition(node(f.who % 2), "10.", f.for_s, f.hold);
        case FaultKind::machines_outbound_unreachable: {
            // One machine, or a third of them; from all controllers, or from one.
            std::size_t step = f.other > 8 ? 3 : w.workers.size();
            for (auto m = f.who % w.workers.size(); m < w.workers.size(); m += step)
                w.partition_one_way(f.other % 4 == 0 ? node(f.who % nodes) : "10.0.", w.workers[m]->addr, f.for_s);
            return;
        }
        case FaultKind::duplicate_messages:
            return w.duplicate_messages(f.for_s, f.hold ? copies_late : copies_soon);
        case FaultKind::controller_reaches_workers_only:
            w.partition(node(k), "10.2.0.1", f.for_s, f.hold);
            return w.partition(node(k), "10.0.", f.for_s, f.hold);
        case FaultKind::machine_reboot:
            return w.reboot_machine(f.who, f.hold);
        case FaultKind::late_transactions:
            return late_transactions(
                w, f, [](auto& random) { return std::uniform_real_distribution<double>(2, 12)(random); });
        case FaultKind::lost_transaction_answers:
            return late_transactions(w, f, [](auto&) { return -1.0; });
        case FaultKind::slow_key_value_store:
            return w.slow_key_value_store(f.for_s,
                                f.hold ? 1.2 : 0.4);  // s; a leader's lease is 2.4, a question waits 1.5
        case FaultKind::cancel_all_jobs:
            for (auto& [id, told] : w.jobs)
                if (told.accepted && !told.done && !told.cancel_asked) w.cancel(id);
            return;
        case FaultKind::frequent_queries:
            return w.query_frequently(f.for_s);
        case FaultKind::cancel_at_job_end:
            return w.cancel_at_job_end(f.for_s);
        case FaultKind::cancel_running_jobs:
            return w.cancel_running_jobs(f.other, f.for_s);
        case FaultKind::machines_inbound_unreachable: {
            std::size_t step = f.other > 8 ? 3 : w.workers.size();  // a third of the machines, or one
            for (auto m = f.who % w.workers.size(); m < w.workers.size(); m += step) w.make_inbound_unreachable(m, f.for_s);
            return;
        }
        case FaultKind::unusual_requests:
            return w.send_unusual_requests(f.for_s);
        case FaultKind::heartbeats_replayed_at_next_leader:
            return w.replay_heartbeats_at_next_leader(f.for_s);
        case FaultKind::late_commands:
            return w.delay_commands(f.for_s);
        case FaultKind::fast_boots_with_slow_writes:
            // Machines that are gone make the service rent new ones.
            for (std::size_t m = 0; m < 2; ++m) w.crash_machine(f.other + 5 * m);
            return w.boot_fast_with_slow_writes(f.for_s, f.hold ? 1.2 : 0.4);
        case FaultKind::team_limits_filled:
            return w.fill_team_limits();
        case FaultKind::small_job_stream:
            return w.submit_small_jobs(f.for_s);
    }
}
}  // namespace

std::string name(const Fault& f) {
    return names[static_cast<std::size_t>(f.what)];
}
std::string text(const Fault& f) {
    char line[120];
    std::snprintf(line, sizeof line, "%8.3f s  %-32s  who %zu, other %zu, for %.3f s%s", f.at,
                  names[static_cast<std::size_t>(f.what)], f.who, f.other, f.for_s, f.hold ? ", held" : "");
    return line;
}

void work(SimulatedCluster& w, double until) {
    int n = 0;
    for (double t = 2; t < until; t += 2.5, ++n)
        w.at(t, [&w, n] {
            auto id = "j-" + std::to_string(100 + n);
            if (n % 5 == 0) w.submit(id, "service", 2, 0, {{"driftwood", false}, {"scatter", true}});
            if (n % 5 == 1) w.submit(id, "gang", 3, 6, {{"together", true}, {"crew", "tight"}});
            if (n % 5 >= 2) w.submit(id, "batch", 6, 4, {{"crew", n % 2 ? "tight" : "free"}});
            if (n % 7 == 3) w.at(w.now() + 6, [&w, id] { w.cancel(id); });
        });
    for (int k = 0; k < n; k += 5) w.at(until + 30, [&w, k] { w.cancel("j-" + std::to_string(100 + k)); });
}
std::vector<std::string> wrong(const SimulatedCluster& w) {
    auto out = w.violations;
    if (w.starts <= 40) out.push_back("hardly anything was started");
    for (auto& [id, told] : w.jobs) {
        if (told.refused) continue;
        if (!told.accepted) out.push_back(id + " was not accepted");
        if (!told.done && !told.cancelled) out.push_back(id + " has not ended");
    }
    return out;
}

namespace {
double between(std::mt19937_64& random, double a, double b) {
    return std::uniform_real_distribution<double>(a, b)(random);
}
Fault draw_fault(std::mt19937_64& random, FaultKind what, double at, std::size_t machines) {
    Fault f;
    f.at = at;
    f.what = what;
    f.who = random() % (nodes + 1);
    f.other = 1 + random() % 12;
    f.hold = random() % 2;
    bool ends = f.what <= FaultKind::leader_crash_after_messages;
    bool long_ones = f.what == FaultKind::machine_hang || f.what == FaultKind::zone_partition ||
                     f.what == FaultKind::machines_outbound_unreachable || f.what == FaultKind::controller_reaches_workers_only ||
                     f.what == FaultKind::late_transactions || f.what == FaultKind::cancel_running_jobs ||
                     f.what == FaultKind::machines_inbound_unreachable;
    f.for_s = ends ? (random() % 3 ? between(random, 0.05, 0.5) : between(random, 2, 6))
                   : between(random, 0.5, long_ones ? 30 : 12);
    bool of_machine = f.what == FaultKind::machine_crash || f.what == FaultKind::machine_hang ||
                      f.what == FaultKind::machines_outbound_unreachable || f.what == FaultKind::machine_reboot ||
                      f.what == FaultKind::machines_inbound_unreachable;
    if (of_machine) f.who = random() % machines;
    return f;
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
    Options o;
    o.seed = seed;
    o.machines = machines;
    o.free_gpus_max = 2.5 * static_cast<double>(machines);  // of four a machine; services take 18
    // Users go on asking for as long as the longest trouble lasts, and then some.
    for (auto& f : faults)
        if (f.for_s > 20) o.submit_tries = 200;
    SimulatedCluster w(o);
    work(w, work_until);
    w.faults_over_at = 0;
    for (auto& f : faults) {
        w.at(f.at, [&w, f, machines] { happen(w, f, machines); });
        w.faults_over_at = std::max(w.faults_over_at, f.at + f.for_s);
    }
    w.run_until(play_until);
    if (counts) {
        counts->answers += w.answers;
        counts->starts += w.starts;
        counts->starts_after_cancellation += w.starts_after_cancellation;
        counts->digest = w.digest.value();
    }
    return wrong(w);
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
