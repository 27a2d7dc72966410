#include "scenarios/fault_scenarios.hpp"

#include <algorithm>
#include <cstdio>

namespace coralhitch::simulation {
namespace {
constexpr double faults_from = 20, faults_until = 100, work_until = 110, play_until = 280;
constexpr std::size_t nodes = 3, troubles = static_cast<std::size_t>(FaultKind::small_jobs) + 1;
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
    w.late_txn = [&w, random, late, before = w.late_txn, until = w.now() + f.for_s](const json& txn) {
        if (double other = before ? before(txn) : 0; other != 0) return other;
        return w.now() > until || (*random)() % 4 ? 0.0 : late(*random);
    };
}
void happen(SimulatedCluster& w, const Fault& f, std::size_t machines) {
    auto k = leads(w, f.who);
    switch (f.what) {
        case FaultKind::crash:
            return w.crash(k, f.for_s);
        case FaultKind::crash_all:
            for (std::size_t n = 0; n < nodes; ++n) w.crash(n, f.for_s);
            return;
        case FaultKind::crash_after: {
            auto left = std::make_shared<std::size_t>(f.other);
            w.sent = [&w, left, back = f.for_s](const std::string& from, auto&, auto&) {
                auto l = leads(w, nodes);
                if (*left == 0 || w.leader() < 0 || from != w.addr_of(l) || --*left > 0) return;
                w.crash(l, back);
            };
            return;
        }
        case FaultKind::stand_still:
            return w.stand_still(k, f.for_s);
        case FaultKind::refuse:
            return w.refuse_state(k, f.for_s);
        case FaultKind::cut:
            return w.cut(node(k), node((k + 1 + f.other % 2) % nodes), f.for_s, f.hold);
        case FaultKind::deaf:
            return w.cut(node(k), "10.1.", f.for_s, f.hold);
        case FaultKind::alone:
            return w.cut(node(k), "10.", f.for_s, f.hold);
        case FaultKind::state:
            return w.state_down(f.for_s);
        case FaultKind::cloud:
            return w.cloud_down(f.for_s);
        case FaultKind::die:
            return w.die(f.who);
        case FaultKind::hang:
            return w.hang(f.who, f.for_s);
        case FaultKind::zone:
            for (std::size_t m = f.who % 2; m < std::max(machines, w.workers.size()); m += 2)
                w.cut(w.workers[m % w.workers.size()]->addr, "10.", f.for_s, f.hold);
            return w.cut(node(f.who % 2), "10.", f.for_s, f.hold);
        case FaultKind::unreached: {
            // One machine, or a third of them; from all controllers, or from one.
            std::size_t step = f.other > 8 ? 3 : w.workers.size();
            for (auto m = f.who % w.workers.size(); m < w.workers.size(); m += step)
                w.cut_one_way(f.other % 4 == 0 ? node(f.who % nodes) : "10.0.", w.workers[m]->addr, f.for_s);
            return;
        }
        case FaultKind::copies:
            return w.copy_messages(f.for_s, f.hold ? copies_late : copies_soon);
        case FaultKind::isolated:
            w.cut(node(k), "10.2.0.1", f.for_s, f.hold);
            return w.cut(node(k), "10.0.", f.for_s, f.hold);
        case FaultKind::reboot:
            return w.reboot(f.who, f.hold);
        case FaultKind::late_txns:
            return late_transactions(
                w, f, [](auto& random) { return std::uniform_real_distribution<double>(2, 12)(random); });
        case FaultKind::answer_lost:
            return late_transactions(w, f, [](auto&) { return -1.0; });
        case FaultKind::slow_state:
            return w.slow_state(f.for_s,
                                f.hold ? 1.2 : 0.4);  // s; a leader's lease is 2.4, a question waits 1.5
        case FaultKind::cancel_all:
            for (auto& [id, told] : w.jobs)
                if (told.accepted && !told.done && !told.cancel_asked) w.cancel(id);
            return;
        case FaultKind::close_looks:
            return w.close_looks(f.for_s);
        case FaultKind::cancel_at_end:
            return w.cancel_at_end(f.for_s);
        case FaultKind::cancel_now:
            return w.cancel_now(f.other, f.for_s);
        case FaultKind::mute: {
            std::size_t step = f.other > 8 ? 3 : w.workers.size();  // a third of the machines, or one
            for (auto m = f.who % w.workers.size(); m < w.workers.size(); m += step) w.mute(m, f.for_s);
            return;
        }
        case FaultKind::odd_requests:
            return w.odd_requests(f.for_s);
        case FaultKind::copy_for_next:
            return w.keep_copies(f.for_s);
        case FaultKind::late_commands:
            return w.late_commands(f.for_s);
        case FaultKind::fast_boots:
            // Machines that are gone make the service rent new ones.
            for (std::size_t m = 0; m < 2; ++m) w.die(f.other + 5 * m);
            return w.fast_boots(f.for_s, f.hold ? 1.2 : 0.4);
        case FaultKind::team_limits:
            return w.fill_limits();
        case FaultKind::small_jobs:
            return w.small_jobs(f.for_s);
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
    auto out = w.broken;
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
    bool ends = f.what <= FaultKind::crash_after;
    bool long_ones = f.what == FaultKind::hang || f.what == FaultKind::zone ||
                     f.what == FaultKind::unreached || f.what == FaultKind::isolated ||
                     f.what == FaultKind::late_txns || f.what == FaultKind::cancel_now ||
                     f.what == FaultKind::mute;
    f.for_s = ends ? (random() % 3 ? between(random, 0.05, 0.5) : between(random, 2, 6))
                   : between(random, 0.5, long_ones ? 30 : 12);
    bool of_machine = f.what == FaultKind::die || f.what == FaultKind::hang ||
                      f.what == FaultKind::unreached || f.what == FaultKind::reboot ||
                      f.what == FaultKind::mute;
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
        if (f->what <= FaultKind::crash_after) f->for_s = std::min(f->for_s, away_most);
        if (f->what == FaultKind::small_jobs) f->for_s = std::min(f->for_s, stream_most);
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
    w.troubles_over = 0;
    for (auto& f : faults) {
        w.at(f.at, [&w, f, machines] { happen(w, f, machines); });
        w.troubles_over = std::max(w.troubles_over, f.at + f.for_s);
    }
    w.run_until(play_until);
    if (counts) {
        counts->answers += w.answers;
        counts->starts += w.starts;
        counts->starts_cancelled += w.starts_cancelled;
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
