#include "scenarios/fault_generator.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace coralhitch::simulation {
namespace {

constexpr double faults_from_s = 20, faults_until_s = 100;

struct FaultPair {
    Fault first, second;
};

double between(std::mt19937_64& random, double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
}
template <std::size_t count>
bool is_one_of(FaultKind kind, const std::array<FaultKind, count>& kinds) {
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}
bool may_last_long(FaultKind kind) {
    constexpr std::array kinds{FaultKind::machine_hang,
                               FaultKind::zone_partition,
                               FaultKind::machines_outbound_unreachable,
                               FaultKind::controller_reaches_workers_only,
                               FaultKind::late_transactions,
                               FaultKind::cancel_running_jobs,
                               FaultKind::machines_inbound_unreachable};
    return is_one_of(kind, kinds);
}
bool targets_machine(FaultKind kind) {
    constexpr std::array kinds{FaultKind::machine_crash, FaultKind::machine_hang,
                               FaultKind::machines_outbound_unreachable, FaultKind::machine_reboot,
                               FaultKind::machines_inbound_unreachable};
    return is_one_of(kind, kinds);
}
double draw_duration(std::mt19937_64& random, const Fault& fault) {
    if (!fault.crashes_controllers()) return between(random, 0.5, may_last_long(fault.kind) ? 30 : 12);
    return random() % 3 ? between(random, 0.05, 0.5) : between(random, 2, 6);
}
// The order of the random draws decides which faults a seed gives. The recorded digests depend on it.
Fault draw_fault(std::mt19937_64& random, FaultKind kind, double at, std::size_t machines) {
    Fault fault;
    fault.at = at;
    fault.kind = kind;
    fault.target = random() % (controller_count + 1);
    fault.amount = 1 + random() % 12;
    fault.hold_packets = random() % 2;
    fault.for_s = draw_duration(random, fault);
    if (targets_machine(kind)) fault.target = random() % machines;
    return fault;
}

// Limits the duration of two kinds: a crashed controller is restarted by its machine within a few seconds,
// and a stream of small jobs must stop early enough for its jobs to end within the scenario.
void limit_duration(Fault& fault) {
    constexpr double longest_crash_s = 6, longest_stream_s = 12;
    if (fault.crashes_controllers()) fault.for_s = std::min(fault.for_s, longest_crash_s);
    if (fault.kind == FaultKind::small_job_stream) fault.for_s = std::min(fault.for_s, longest_stream_s);
}
// Draws both faults of a pair. Their durations and the start of the second are derived from one of the
// cluster's time limits (leases, heartbeat period, cancellation), so that the faults interact at these
// limits.
FaultPair draw_pair(std::mt19937_64& random, std::size_t pair, double at, std::size_t machines) {
    constexpr double leader_lease_s = 2.4, heartbeat_period_s = 3, worker_lease_s = 24, cancel_s = 44;
    constexpr std::array spans{leader_lease_s, heartbeat_period_s, worker_lease_s, cancel_s};
    auto kind_of = [](std::size_t number) { return static_cast<FaultKind>(number % fault_kind_count); };
    auto first = draw_fault(random, kind_of(pair), at, machines);
    auto second = draw_fault(random, kind_of(pair / fault_kind_count), at, machines);
    double span = spans[random() % spans.size()];
    switch (random() % 3) {
        case 0:  // back to back
            second.at = std::min(first.until(), first.at + span) + between(random, -0.2, 0.2);
            break;
        case 1:  // overlapping: the second starts before the first ends
            first.for_s = std::max(first.for_s, span * between(random, 0.3, 1.1));
            second.at = first.at + first.for_s * between(random, 0.3, 0.95);
            break;
        default:  // the second inside the first
            first.for_s = std::max(first.for_s, span * between(random, 0.8, 1.2));
            second.for_s = std::min(second.for_s, first.for_s / 2);
            second.at = first.at + between(random, 0.01, 0.4) * first.for_s;
    }
    limit_duration(first);
    limit_duration(second);
    return {first, second};
}
}  // namespace

std::vector<Fault> draw_faults(std::uint64_t seed, std::size_t machines) {
    std::mt19937_64 random(seed);
    std::vector<Fault> faults;
    // Two thirds of the faults start at most 1.5 s after the previous one, the others 3 s to 15 s after it.
    double at = faults_from_s;
    while ((at += random() % 3 ? between(random, 0.05, 1.5) : between(random, 3, 15)) < faults_until_s)
        faults.push_back(
            draw_fault(random, static_cast<FaultKind>(random() % fault_kind_count), at, machines));
    return faults;
}

std::vector<Fault> draw_fault_pairs(std::uint64_t seed, std::size_t machines) {
    // Pairs with adjacent numbers share a kind. Numbering them with a step that is coprime to `pair_count`
    // gives each scenario different kinds and still reaches every pair.
    constexpr std::size_t step = 331;
    static_assert(pair_count % step != 0 && pair_count % 2 == 1);
    std::mt19937_64 random(seed);
    std::vector<Fault> faults;
    double at = faults_from_s;
    for (std::size_t k = 0; k < pairs_per_scenario; ++k, at += between(random, 19, 25)) {
        auto pair = (seed % pair_seeds * pairs_per_scenario + k) * step % pair_count;
        auto drawn = draw_pair(random, pair, at, machines);
        faults.push_back(drawn.first);
        faults.push_back(drawn.second);
    }
    return faults;
}

}  // namespace coralhitch::simulation
