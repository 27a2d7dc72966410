// Who is suspected, whom others are asked about, and who is given up: the judgement alone, on fleets that are
// played in a small model of reports and silences.
#include "membership/failure_detector.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

#include "membership/reachability.hpp"

namespace coralhitch::membership {
namespace {

constexpr double report = 5, lease = 31;
const Limits limits{report, lease, 1.6, 2};
constexpr double never = 1e9;

// Machines that report once a period. One is silent from some moment for some time; then it goes on.
struct Model {
    struct Machine {
        std::string id, route;
        std::size_t zone = 0;
        EvictionCost eviction_cost = EvictionCost::awaited;
        double phase = 0, silent_at = never, silent_for = 0, given_up = -1;
        bool reconciled = true, known = true;
        bool silent(double t) const { return t >= silent_at && t < silent_at + silent_for; }
        double heard(double t) const {  // the last report before t
            double last = std::floor((t - phase) / report) * report + phase;
            while (silent(last)) last -= report;
            // It answers at once when it goes on: questions lay with it.
            return t >= silent_at + silent_for ? std::max(last, silent_at + silent_for) : last;
        }
    };
    explicit Model(std::size_t n, std::uint64_t seed = 1) {
        std::mt19937_64 random(seed);
        for (std::size_t k = 0; k < n; ++k)
            machines.push_back({"vm-" + std::to_string(1000 + k),
                                k % 5 ? "berth-" + std::to_string(k % 2) : "", k % 3, EvictionCost::awaited,
                                std::uniform_real_distribution<double>(0, report)(random)});
    }
    void silence(std::size_t from, std::size_t to, double at, double for_s) {
        for (std::size_t k = from; k < to; ++k) machines[k].silent_at = at, machines[k].silent_for = for_s;
    }
    // Once a sixth of a period, as a leader looks. `elsewhere`: how many of the doubtful machines others
    // hear.
    void run_scenario(
        double from, double until,
        const std::function<std::optional<std::size_t>(const SelfSuspicion&)>& elsewhere = [](auto&) {
            return std::optional<std::size_t>(0);
        }) {
        for (double t = from; t < until; t += report / 6) {
            std::vector<Observation> seen;
            std::vector<Machine*> up;
            for (auto& m : machines) {
                if (m.given_up >= 0) continue;
                double heard = m.heard(t);
                if (!m.silent(t)) judge.heard_from(m.zone, heard);
                seen.push_back(
                    {m.id, m.route, m.zone, t - heard, heard, m.reconciled, m.known, m.eviction_cost});
                up.push_back(&m);
            }
            judge.look(seen, {false, true}, t);
            if (judge.self_suspicion()) judge.answered(elsewhere(*judge.self_suspicion()));
            gave_way |= judge.should_resign();
            for (std::size_t k = 0; k < up.size(); ++k) {
                auto v = judge.judge(seen[k]);
                suspected += v == Health::Suspected && !up[k]->silent(t);
                if (v != Health::Dead || !judge.may_evict()) continue;
                up[k]->given_up = t - up[k]->silent_at;
                judge.evicted(seen[k], t);
            }
        }
    }
    std::size_t gone() const {
        return static_cast<std::size_t>(
            std::count_if(machines.begin(), machines.end(), [](auto& m) { return m.given_up >= 0; }));
    }
    double last_given_up() const {
        double last = 0;
        for (auto& m : machines) last = std::max(last, m.given_up);
        return last;
    }
    std::vector<Machine> machines;
    FailureDetector judge{limits};
    bool gave_way = false;
    std::size_t suspected = 0;  // looks at which a machine that is well was
};

TEST(FailureDetector, GivesUpWhatIsDeadAndWaitsForWhatWillSpeak) {
    struct Case {
        const char* name;
        std::function<void(Model&)> what;
        std::size_t least, most;  // given up
        double by;                // at the latest so many seconds after they fell silent
    };
    auto zone = [](Model& m, std::size_t z, double at, double for_s) {
        for (auto& k : m.machines)
            if (k.zone == z) k.silent_at = at, k.silent_for = for_s;
    };
    auto stakes = [](Model& m, EvictionCost s) {
        for (auto& k : m.machines) k.eviction_cost = s;
    };
    const Case cases[] = {
        {"nothing happens", [](Model&) {}, 0, 0, 0},
        {"a few die, others wait for them", [](Model& m) { m.silence(0, 9, 50, never); }, 9, 9, 9},
        {"thirty die, others wait for them", [](Model& m) { m.silence(0, 30, 50, never); }, 30, 30, 9},
        {"they save by themselves: they are waited for as long as they lose",
         [&](Model& m) {
             stakes(m, EvictionCost::work);
             m.silence(0, 30, 50, never);
         },
         30, 30, 21},
        {"and go on before",
         [&](Model& m) {
             stakes(m, EvictionCost::work);
             m.silence(0, 30, 50, 14);
         },
         0, 0, 0},
        {"nobody waits for them: for a lease",
         [&](Model& m) {
             stakes(m, EvictionCost::nothing);
             m.silence(0, 30, 50, 25);
         },
         0, 0, 0},
        {"a zone is cut off for ten seconds", [&](Model& m) { zone(m, 1, 50, 10); }, 0, 0, 0},
        {"for nearly a lease", [&](Model& m) { zone(m, 1, 50, 28); }, 0, 0, 0},
        {"it never comes back: until what is on it has died by itself",
         [&](Model& m) { zone(m, 1, 50, never); }, 100, 100, lease * 1.1 + 1},
        {"it holds nothing: for two",
         [&](Model& m) {
             stakes(m, EvictionCost::nothing);
             zone(m, 1, 50, 56);
         },
         0, 0, 0},
        {"a machine of it dies beside others",
         [&](Model& m) {
             zone(m, 1, 50, 12);
             m.silence(0, 1, 50, never);
         },
         1, 1, 20},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        Model m(300);
        c.what(m);
        m.run_scenario(0, 130);
        EXPECT_GE(m.gone(), c.least);
        EXPECT_LE(m.gone(), c.most);
        EXPECT_LE(m.last_given_up(), c.by);
        EXPECT_FALSE(m.gave_way);
        EXPECT_EQ(m.suspected, 0u);
    }
}

// A wave of silences that end teaches how long such take; the dead are waited for no longer than that.
TEST(Reachability, WhoGoesRoundIsNotReached) {
    Reachability r;
    r.shown(10);
    EXPECT_FALSE(r.lost());
    r.came(false, 15);  // its controller may have ended
    EXPECT_FALSE(r.lost());
    r.ignored(17);  // and a command went unanswered since
    EXPECT_TRUE(r.lost());
    r.came(true, 20);  // it stays
    EXPECT_FALSE(r.lost());
    r.ignored(22);  // not reached from here, but answers reach it
    EXPECT_FALSE(r.lost());
    r.came(false, 25);  // it hung, and left the command unanswered then
    EXPECT_FALSE(r.lost());
    r.came(false, 30);
    EXPECT_TRUE(r.lost());
    r.shown(31);
    EXPECT_FALSE(r.lost());
    EXPECT_EQ(r.shown_at(), 31);
}
// Heard, but not reached: as if silent, unless that is so of many.
TEST(FailureDetector, WhoIsNotReachedIsGivenUpOneByOne) {
    for (std::size_t unreached : {1u, 20u}) {
        FailureDetector judge(limits);
        std::vector<Observation> seen;
        std::vector<std::string> ids;
        for (std::size_t k = 0; k < 30; ++k) ids.push_back("vm-" + std::to_string(k));
        for (std::size_t k = 0; k < 30; ++k)
            seen.push_back(
                {ids[k], "", 0, 1, 99, true, true, EvictionCost::awaited, k < unreached ? 2 * report : 0});
        judge.look(seen, {false, true}, 100);
        EXPECT_EQ(judge.judge(seen[0]), unreached == 1 ? Health::Dead : Health::Alive);
        EXPECT_EQ(judge.judge(seen[29]), Health::Alive);
    }
}
TEST(FailureDetector, LearnsFromSilencesThatEnded) {
    for (bool hung_before : {false, true}) {
        SCOPED_TRACE(hung_before);
        Model m(300);
        for (std::size_t k = 100; k < 160; ++k) m.machines[k].eviction_cost = EvictionCost::work;
        if (hung_before) m.silence(100, 160, 20, 11);
        m.silence(0, 40, 70, 11);
        m.run_scenario(0, 100);
        if (hung_before)
            EXPECT_LT(m.gone(), 5u);
        else
            EXPECT_GT(m.gone(), 20u);
        // Long afterwards nothing of it is believed any more.
        for (std::size_t k = 200; k < 240; ++k)
            m.machines[k].silent_at = 500, m.machines[k].silent_for = never;
        m.run_scenario(495, 540);
        EXPECT_LE(m.machines[200].given_up, 9);
        EXPECT_GE(m.machines[200].given_up, 0);
    }
}

// Many silent at once: the others are asked first, and nobody deletes a fleet that it alone can't hear.
TEST(FailureDetector, DoubtsItselfBeforeItGivesUpMany) {
    struct Case {
        const char* name;
        std::size_t silent;
        std::optional<double> elsewhere;  // share of the doubtful ones that another controller hears
        bool gives_way;
        std::size_t least, most;
    };
    const Case cases[] = {
        {"nobody is heard, and no other controller answers", 300, std::nullopt, false, 0, 0},
        {"nobody is heard, another hears them", 300, 1.0, true, 0, 0},
        {"half the fleet, another hears them", 150, 1.0, true, 0, 0},
        {"half the fleet, nobody hears them: they are gone", 150, 0.0, false, 150, 150},
        {"half the fleet, no other controller answers", 150, std::nullopt, false, 0, 0},
        {"half the fleet, another hears a few of them", 150, 0.1, false, 150, 150},
        {"a tenth, of which nobody is asked", 30, 1.0, false, 30, 30},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        Model m(300);
        m.silence(0, c.silent, 50, never);
        m.run_scenario(0, 80, [&](const SelfSuspicion& d) -> std::optional<std::size_t> {
            if (!c.elsewhere) return std::nullopt;
            return static_cast<std::size_t>(*c.elsewhere * static_cast<double>(d.silent.size()));
        });
        EXPECT_EQ(m.gave_way, c.gives_way);
        EXPECT_GE(m.gone(), c.least);
        EXPECT_LE(m.gone(), c.most);
    }
}

// All that came by one controller fall silent together: its failure, until they had the time to turn to
// another.
TEST(FailureDetector, AControllerThatEndedIsNoFaultOfItsMachines) {
    Model m(300);
    for (auto& k : m.machines)
        if (k.route == "berth-1") k.silent_at = 50, k.silent_for = 15;
    for (auto& k : m.machines) k.zone = 0;  // and no zone explains it
    m.silence(299, 300, 50, never);         // one dies
    m.machines[299].route = "berth-0";
    m.run_scenario(0, 100);
    EXPECT_EQ(m.gone(), 1u);
}

// What holds up all placing is not waited for; what was told by the leader before is.
TEST(FailureDetector, AnUnknownMachineIsGivenUpSoon) {
    for (bool known : {false, true}) {
        Model m(60);
        m.machines[0].reconciled = false;
        m.machines[0].known = known;
        m.silence(0, 1, 50, never);
        m.run_scenario(0, 100);
        EXPECT_LE(m.machines[0].given_up, known ? 9 : 5.5);
        EXPECT_GE(m.machines[0].given_up, 0);
    }
}

}  // namespace
}  // namespace coralhitch::membership
