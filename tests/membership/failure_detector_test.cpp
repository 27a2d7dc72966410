// Tests which machines the failure detector suspects, asks the peers about, and evicts. A small model of
// heartbeats and silences supplies the fleets.
#include "membership/failure_detector.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace coralhitch::membership {
namespace {

constexpr double heartbeat_interval_s = 5, lease_s = 31;
const FailureDetectorLimits limits{heartbeat_interval_s, lease_s, 1.6, 2};
constexpr double never = 1e9;

// Machines that send one heartbeat in each period, except during one silence of each machine.
struct FleetModel {
    struct Machine {
        std::string id, route;
        std::size_t zone = 0;
        EvictionCost eviction_cost = EvictionCost::others_wait;
        // Seconds. `evicted_after_s` counts from the beginning of the silence; -1: not evicted.
        double phase = 0, silent_at = never, silent_for = 0, evicted_after_s = -1;
        bool reconciled = true, known_from_replica = true;
        bool silent(double t) const { return t >= silent_at && t < silent_at + silent_for; }
        // Returns the time of the last heartbeat before t.
        double last_heartbeat_at(double t) const {
            double last = std::floor((t - phase) / heartbeat_interval_s) * heartbeat_interval_s + phase;
            while (silent(last)) last -= heartbeat_interval_s;
            // A machine answers waiting probes as soon as its silence ends.
            return t >= silent_at + silent_for ? std::max(last, silent_at + silent_for) : last;
        }
    };
    explicit FleetModel(std::size_t n, std::uint64_t seed = 1) {
        std::mt19937_64 random(seed);
        for (std::size_t k = 0; k < n; ++k)
            machines.push_back({"vm-" + std::to_string(1000 + k),
                                k % 5 ? "controller-" + std::to_string(k % 2) : "", k % 3,
                                EvictionCost::others_wait,
                                std::uniform_real_distribution<double>(0, heartbeat_interval_s)(random)});
    }
    void silence(std::size_t from, std::size_t to, double at, double for_s) {
        for (std::size_t k = from; k < to; ++k) machines[k].silent_at = at, machines[k].silent_for = for_s;
    }
    // Runs the detector six times in each heartbeat period, as a leader does. `seen_by_peers` returns from
    // how many of the machines asked about a peer receives heartbeats; nullopt if no peer answers.
    void run_scenario(
        double from, double until,
        const std::function<std::optional<std::size_t>(const SelfSuspicion&)>& seen_by_peers = [](auto&) {
            return std::optional<std::size_t>(0);
        }) {
        for (double t = from; t < until; t += heartbeat_interval_s / 6) {
            std::vector<Observation> seen;
            std::vector<Machine*> up;
            for (auto& m : machines) {
                if (m.evicted_after_s >= 0) continue;
                double last = m.last_heartbeat_at(t);
                if (!m.silent(t)) detector.record_heartbeat(m.zone, last);
                seen.push_back({m.id, m.route, m.zone, t - last, last, m.reconciled, m.known_from_replica,
                                m.eviction_cost});
                up.push_back(&m);
            }
            detector.observe(seen, {false, true}, t);
            if (detector.self_suspicion())
                detector.set_heartbeats_seen_by_peers(seen_by_peers(*detector.self_suspicion()));
            resigned |= detector.should_resign();
            for (std::size_t k = 0; k < up.size(); ++k) {
                auto health = detector.evaluate(seen[k]);
                suspected += health == Health::suspected && !up[k]->silent(t);
                if (health != Health::dead || !detector.may_evict()) continue;
                up[k]->evicted_after_s = t - up[k]->silent_at;
                detector.record_eviction(seen[k], t);
            }
        }
    }
    std::size_t evicted_count() const {
        return static_cast<std::size_t>(
            std::count_if(machines.begin(), machines.end(), [](auto& m) { return m.evicted_after_s >= 0; }));
    }
    double last_evicted_after_s() const {
        double last = 0;
        for (auto& m : machines) last = std::max(last, m.evicted_after_s);
        return last;
    }
    std::vector<Machine> machines;
    FailureDetector detector{limits};
    bool resigned = false;
    std::size_t suspected = 0;  // number of evaluations that suspected a healthy machine
};

TEST(FailureDetector, EvictsDeadMachinesAndWaitsForThoseThatReturn) {
    struct Case {
        const char* name;
        std::function<void(FleetModel&)> set_up;
        std::size_t min_evicted, max_evicted;
        double max_evicted_after_s;  // since the silence began
    };
    auto zone = [](FleetModel& fleet, std::size_t z, double at, double for_s) {
        for (auto& machine : fleet.machines)
            if (machine.zone == z) machine.silent_at = at, machine.silent_for = for_s;
    };
    auto eviction_cost = [](FleetModel& fleet, EvictionCost cost) {
        for (auto& machine : fleet.machines) machine.eviction_cost = cost;
    };
    const Case cases[] = {
        {"no machine is silent", [](FleetModel&) {}, 0, 0, 0},
        {"a few machines die, with tasks that others wait for",
         [](FleetModel& fleet) { fleet.silence(0, 9, 50, never); }, 9, 9, 9},
        {"thirty machines die, with tasks that others wait for",
         [](FleetModel& fleet) { fleet.silence(0, 30, 50, never); }, 30, 30, 9},
        {"thirty die, with independent tasks that checkpoint: evicted later",
         [&](FleetModel& fleet) {
             eviction_cost(fleet, EvictionCost::own_work);
             fleet.silence(0, 30, 50, never);
         },
         30, 30, 21},
        {"independent tasks, and the silence ends before the timeout",
         [&](FleetModel& fleet) {
             eviction_cost(fleet, EvictionCost::own_work);
             fleet.silence(0, 30, 50, 14);
         },
         0, 0, 0},
        {"no tasks, and the silence ends within a lease",
         [&](FleetModel& fleet) {
             eviction_cost(fleet, EvictionCost::none);
             fleet.silence(0, 30, 50, 25);
         },
         0, 0, 0},
        {"a zone is cut off for ten seconds", [&](FleetModel& fleet) { zone(fleet, 1, 50, 10); }, 0, 0, 0},
        {"a zone is cut off for nearly a lease", [&](FleetModel& fleet) { zone(fleet, 1, 50, 28); }, 0, 0, 0},
        {"a zone stays cut off: evicted only after the leases have ended its tasks",
         [&](FleetModel& fleet) { zone(fleet, 1, 50, never); }, 100, 100, lease_s * 1.1 + 1},
        {"a zone without tasks is cut off for nearly two leases",
         [&](FleetModel& fleet) {
             eviction_cost(fleet, EvictionCost::none);
             zone(fleet, 1, 50, 56);
         },
         0, 0, 0},
        {"a machine of another zone dies while a zone is cut off",
         [&](FleetModel& fleet) {
             zone(fleet, 1, 50, 12);
             fleet.silence(0, 1, 50, never);
         },
         1, 1, 20},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        FleetModel fleet(300);
        c.set_up(fleet);
        fleet.run_scenario(0, 130);
        EXPECT_GE(fleet.evicted_count(), c.min_evicted);
        EXPECT_LE(fleet.evicted_count(), c.max_evicted);
        EXPECT_LE(fleet.last_evicted_after_s(), c.max_evicted_after_s);
        EXPECT_FALSE(fleet.resigned);
        EXPECT_EQ(fleet.suspected, 0u);
    }
}

// A machine whose heartbeats arrive, but that no message reaches, is treated as silent. If there are many
// such machines, the network or the leader is the cause, and they must not be evicted.
TEST(FailureDetector, EvictsSingleUnreachedMachinesButNotMany) {
    for (std::size_t unreached : {1u, 20u}) {
        FailureDetector detector(limits);
        std::vector<Observation> seen;
        std::vector<std::string> ids;
        for (std::size_t k = 0; k < 30; ++k) ids.push_back("vm-" + std::to_string(k));
        for (std::size_t k = 0; k < 30; ++k)
            seen.push_back({ids[k], "", 0, 1, 99, true, true, EvictionCost::others_wait,
                            k < unreached ? 2 * heartbeat_interval_s : 0});
        detector.observe(seen, {false, true}, 100);
        EXPECT_EQ(detector.evaluate(seen[0]), unreached == 1 ? Health::dead : Health::alive);
        EXPECT_EQ(detector.evaluate(seen[29]), Health::alive);
    }
}
// After many silences that ended, the detector waits longer for silent machines. The effect must expire, so
// that machines that die later are evicted at the usual time.
TEST(FailureDetector, WaitsLongerAfterSilencesThatEnded) {
    for (bool hung_before : {false, true}) {
        SCOPED_TRACE(hung_before);
        FleetModel fleet(300);
        for (std::size_t k = 100; k < 160; ++k) fleet.machines[k].eviction_cost = EvictionCost::own_work;
        if (hung_before) fleet.silence(100, 160, 20, 11);
        fleet.silence(0, 40, 70, 11);
        fleet.run_scenario(0, 100);
        if (hung_before)
            EXPECT_LT(fleet.evicted_count(), 5u);
        else
            EXPECT_GT(fleet.evicted_count(), 20u);
        // Much later, the earlier silences have no effect any more.
        for (std::size_t k = 200; k < 240; ++k)
            fleet.machines[k].silent_at = 500, fleet.machines[k].silent_for = never;
        fleet.run_scenario(495, 540);
        EXPECT_LE(fleet.machines[200].evicted_after_s, 9);
        EXPECT_GE(fleet.machines[200].evicted_after_s, 0);
    }
}

// If many machines are silent at once, the leader may be cut off itself. It must ask its peers before it
// deletes machines whose heartbeats reach the other controllers.
TEST(FailureDetector, AsksPeersBeforeEvictingMany) {
    struct Case {
        const char* name;
        std::size_t silent;
        std::optional<double>
            seen_by_peers;  // share of the machines asked about that send heartbeats to a peer
        bool resigns;
        std::size_t min_evicted, max_evicted;
    };
    const Case cases[] = {
        {"no heartbeats, and no peer answers", 300, std::nullopt, false, 0, 0},
        {"no heartbeats, a peer receives them", 300, 1.0, true, 0, 0},
        {"half the fleet, a peer receives its heartbeats", 150, 1.0, true, 0, 0},
        {"half the fleet, no peer receives its heartbeats: the machines are dead", 150, 0.0, false, 150, 150},
        {"half the fleet, no peer answers", 150, std::nullopt, false, 0, 0},
        {"half the fleet, a peer receives a few of its heartbeats", 150, 0.1, false, 150, 150},
        {"a tenth of the fleet, about which no peer is asked", 30, 1.0, false, 30, 30},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        FleetModel fleet(300);
        fleet.silence(0, c.silent, 50, never);
        fleet.run_scenario(0, 80, [&](const SelfSuspicion& suspicion) -> std::optional<std::size_t> {
            if (!c.seen_by_peers) return std::nullopt;
            return static_cast<std::size_t>(*c.seen_by_peers *
                                            static_cast<double>(suspicion.missed_heartbeats.size()));
        });
        EXPECT_EQ(fleet.resigned, c.resigns);
        EXPECT_GE(fleet.evicted_count(), c.min_evicted);
        EXPECT_LE(fleet.evicted_count(), c.max_evicted);
    }
}

// All machines that sent heartbeats through one controller fall silent together. The controller has probably
// ended, so the machines must not be evicted before their agents had time to switch to another controller.
TEST(FailureDetector, WaitsForMachinesWhoseControllerEnded) {
    FleetModel fleet(300);
    for (auto& machine : fleet.machines)
        if (machine.route == "controller-1") machine.silent_at = 50, machine.silent_for = 15;
    for (auto& machine : fleet.machines) machine.zone = 0;  // no unreachable zone explains the silence
    fleet.silence(299, 300, 50, never);                     // one machine dies
    fleet.machines[299].route = "controller-0";
    fleet.run_scenario(0, 100);
    EXPECT_EQ(fleet.evicted_count(), 1u);
}

// A machine whose tasks are unknown blocks all placement, so it is evicted sooner than one whose tasks are
// known from the replica.
TEST(FailureDetector, EvictsUnknownMachinesSooner) {
    for (bool known : {false, true}) {
        FleetModel fleet(60);
        fleet.machines[0].reconciled = false;
        fleet.machines[0].known_from_replica = known;
        fleet.silence(0, 1, 50, never);
        fleet.run_scenario(0, 100);
        EXPECT_LE(fleet.machines[0].evicted_after_s, known ? 9 : 5.5);
        EXPECT_GE(fleet.machines[0].evicted_after_s, 0);
    }
}

}  // namespace
}  // namespace coralhitch::membership
