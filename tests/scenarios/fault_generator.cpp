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
// The order of the draws decides what each seed means: the recorded digests depend on it.
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

// A process is away for as long as its machine takes to start it; a stream ends in time for its jobs.
void limit_duration(Fault& fault) {
    constexpr double longest_crash_s = 6, longest_stream_s = 12;
    if (fault.crashes_controllers()) fault.for_s = std::min(fault.for_s, longest_crash_s);
    if (fault.kind == FaultKind::small_job_stream) fault.for_s = std::min(fault.for_s, longest_stream_s);
}
// The second is placed in the first by ratios of the times that matter where the two meet.
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
        case 1:  // overlapping: the first is over while the second lasts
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
    // Some come singly, some within a second of the one before.
    double at = faults_from_s;
    while ((at += random() % 3 ? between(random, 0.05, 1.5) : between(random, 3, 15)) < faults_until_s)
        faults.push_back(
            draw_fault(random, static_cast<FaultKind>(random() % fault_kind_count), at, machines));
    return faults;
}

std::vector<Fault> draw_fault_pairs(std::uint64_t seed, std::size_t machines) {
    // Pairs that share a kind are next to each other: a step through them, without a common factor with their
    // number, mixes the kinds of a scenario.
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
