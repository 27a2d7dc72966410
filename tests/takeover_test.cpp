// The real controllers in simulated time, through troubles, against the stand-in's rules.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "standin.hpp"

namespace coralhitch::standin {
namespace {

struct Trouble {
    const char* name;
    std::function<void(World&, std::mt19937_64&)> plan;
};

std::size_t lead(World& w) {
    return static_cast<std::size_t>(std::max(0, w.leader()));
}

const Trouble troubles[] = {
    {"quiet", [](World&, std::mt19937_64&) {}},
    {"leader crashes twice",
     [](World& w, std::mt19937_64&) {
         for (double t : {40.0, 55.0}) w.at(t, [&w] { w.crash(lead(w), 6); });
     }},
    {"all crash together",
     [](World& w, std::mt19937_64&) {
         w.at(45, [&w] {
             for (std::size_t k = 0; k < 3; ++k) w.crash(k, 4 + static_cast<double>(k));
         });
     }},
    {"leader cut from the state service, packets held",
     [](World& w, std::mt19937_64&) {
         w.at(40, [&w] { w.cut("10.0.0." + std::to_string(lead(w) + 1), "10.2.0.1", 30, true); });
     }},
    {"leader refused by the state service alone",
     [](World& w, std::mt19937_64&) { w.at(40, [&w] { w.refuse_state(lead(w), 40); }); }},
    {"leader cut from the workers, packets held",
     [](World& w, std::mt19937_64&) {
         w.at(40, [&w] { w.cut("10.0.0." + std::to_string(lead(w) + 1), "10.1.", 30, true); });
     }},
    {"leader cut from all, packets held, machines hang over the takeover",
     [](World& w, std::mt19937_64&) {
         w.at(40, [&w] {
             w.cut("10.0.0." + std::to_string(lead(w) + 1), "10.", 35, true);
             w.hang(1, 20);
             w.hang(2, 33);
         });
     }},
    {"state outage, then all crash",
     [](World& w, std::mt19937_64&) {
         w.at(40, [&w] { w.state_down(20); });
         w.at(57, [&w] {
             for (std::size_t k = 0; k < 3; ++k) w.crash(k, 5);
         });
     }},
    {"machines die while the cloud is down and the leader crashes",
     [](World& w, std::mt19937_64&) {
         w.at(38, [&w] { w.cloud_down(50); });
         w.at(40, [&w] {
             w.die(0);
             w.die(3);
         });
         w.at(42, [&w] { w.crash(lead(w), 8); });
     }},
    {"rolling restart while machines hang",
     [](World& w, std::mt19937_64&) {
         for (std::size_t k = 0; k < 3; ++k)
             w.at(40 + 8.0 * static_cast<double>(k), [&w, k] { w.crash(k, 3); });
         w.at(44, [&w] { w.hang(0, 15); });
         w.at(50, [&w] { w.hang(4, 40); });
     }},
    {"leader stands still, its clocks run on, twice",
     [](World& w, std::mt19937_64&) {
         w.at(40, [&w] { w.stand_still(lead(w), 12); });
         w.at(60, [&w] { w.stand_still(lead(w), 30); });
     }},
    {"leader stands still through a state outage, another controller crashes",
     [](World& w, std::mt19937_64&) {
         w.at(40, [&w] {
             w.state_down(14);
             w.stand_still(lead(w), 15);
             w.crash((lead(w) + 1) % 3, 6);
         });
     }},
    {"a machine fails every task", [](World& w, std::mt19937_64&) { w.workers[0]->sick = true; }},
    {"anything, at random times",
     [](World& w, std::mt19937_64& random) {
         for (int k = 0; k < 8; ++k) {
             double t = std::uniform_real_distribution<double>(20, 110)(random);
             auto what = random() % 7, which = random() % 8;
             double s = std::uniform_real_distribution<double>(2, 30)(random);
             w.at(t, [&w, what, which, s] {
                 switch (what) {
                     case 0:
                         return w.crash(which % 3, s / 3);
                     case 1:
                         return w.hang(which, s);
                     case 2:
                         return w.die(which);
                     case 3:
                         return w.state_down(s / 2);
                     case 4:
                         return w.cloud_down(s);
                     case 5:
                         return w.stand_still(which % 3, s);
                     default:
                         return w.cut("10.0.0." + std::to_string(which % 3 + 1),
                                      which % 2 ? "10.1." : "10.2.0.1", s, true);
                 }
             });
         }
     }},
};

// A day with every kind of job, some cancelled while the trouble lasts. Checked at its end: no rule was
// broken, every accepted job of the kinds that end has ended, and something ran.
void play(const Trouble& trouble, std::uint64_t seed) {
    SCOPED_TRACE(std::string(trouble.name) + ", seed " + std::to_string(seed));
    Options o;
    o.seed = seed;
    World w(o);
    std::mt19937_64 random(seed);
    auto id = [](int n) { return "j-" + std::to_string(1000 + n); };
    for (int k = 0; k < 12; ++k) {
        double t = 2 + 7.0 * k;
        w.at(t, [&w, k, id] {
            if (k % 4 == 0)
                w.submit(id(k), "service", 2, 0,
                         {{"scatter", true},
                          {"driftwood", false},
                          {"rank", "critical"},
                          {"stow_s", 0.0},
                          {"anchor_s", 0.0}});
            if (k % 4 == 1) w.submit(id(k), "batch", 9, 6, {{"crew", "tight"}});
            if (k % 4 == 2)
                w.submit(id(k), "gang", 3, 10, {{"together", true}, {"rank", "high"}, {"cards", 2.0}});
            if (k % 4 == 3) w.submit(id(k), "batch", 5, 15, {{"scatter", true}});
        });
    }
    for (int k : {0, 3, 5, 6}) w.at(41 + k, [&w, k, id] { w.cancel(id(k)); });
    for (int k : {4, 8}) w.at(200, [&w, k, id] { w.cancel(id(k)); });
    trouble.plan(w, random);
    w.run_until(340);
    for (auto& b : w.broken) ADD_FAILURE() << b;
    EXPECT_GT(w.starts, 20u);
    for (auto& [job, told] : w.jobs) {
        EXPECT_TRUE(told.accepted) << job;
        EXPECT_TRUE(told.done || told.cancelled) << job << " has not ended";
    }
}

TEST(Takeover, KeepsTheRules) {
    spdlog::set_level(spdlog::level::off);
    for (auto& t : troubles)
        for (std::uint64_t seed : {1, 2, 3}) play(t, seed);
}
TEST(Takeover, KeepsTheRulesAtRandom) {
    spdlog::set_level(spdlog::level::off);
    for (std::uint64_t seed = 10; seed < 30; ++seed) play(std::end(troubles)[-1], seed);
}

// A leader that no longer hears the workers must not take them for gone one by one: the other controllers
// hear them, so one of these takes over, and the machines and what runs on them stay. Likewise a controller
// that is cut off when it comes to lead: it fences unsettled machines early, but must doubt itself first. In
// a large fleet those that fall silent first are few, and must not be fenced before the rest is missed.
TEST(Takeover, ALeaderCutOffFromTheWorkersGivesWay) {
    spdlog::set_level(spdlog::level::off);
    struct Case {
        std::size_t machines;
        bool new_leader;
        std::uint64_t seed;
    };
    const Case cases[] = {{8, false, 1},  {8, true, 1},   {60, false, 1},
                          {60, false, 2}, {60, false, 3}, {60, false, 4}};
    for (auto& c : cases) {
        SCOPED_TRACE(std::to_string(c.machines) + " machines, seed " + std::to_string(c.seed));
        Options o;
        o.machines = c.machines;
        o.seed = c.seed;
        World w(o);
        for (std::size_t k = 0; k < c.machines * 3 / 4; ++k)
            w.at(2, [&w, k] {
                w.submit("j-" + std::to_string(k + 1), "service", 4, 0, {{"driftwood", false}});
            });
        w.run_until(40);
        std::size_t before = w.starts;
        auto first = lead(w);
        for (std::size_t k = 0; k < 3; ++k)
            if ((k == first) != c.new_leader) w.cut("10.0.0." + std::to_string(k + 1), "10.1.", 40, false);
        if (c.new_leader) w.crash(first, 1);
        w.run_until(90);
        EXPECT_EQ(lead(w) == first, c.new_leader);
        EXPECT_EQ(w.starts, before);  // nothing had to start again
        for (auto& b : w.broken) ADD_FAILURE() << b;
    }
}

// A job submitted with a mistake costs its own tasks once, and a probe now and then; others are not held up.
TEST(Takeover, AJobThatFailsEverywhereIsTriedOneTaskAtATime) {
    spdlog::set_level(spdlog::level::off);
    World w({});
    w.at(2, [&w] {
        w.submit("j-1", "batch", 40, 5, {{"mistake", true}});
        w.submit("j-2", "batch", 40, 5);
    });
    w.run_until(150);
    EXPECT_LT(w.starts, 40u + 40u + 8u);
    EXPECT_TRUE(w.jobs["j-2"].done);
    w.cancel("j-1");
    w.run_until(160);
    EXPECT_TRUE(w.jobs["j-1"].cancelled);
    for (auto& b : w.broken) ADD_FAILURE() << b;
}

// Machines that boot several times as slowly as usual come up in the end, if they are not given up a moment
// before, which a new leader is tempted to do: it has seen no boot yet.
TEST(Takeover, LateMachinesAreWaitedForAlsoByANewLeader) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    o.machines = 0;
    o.boot_s = 22;  // more than four nominal times
    World w(o);
    w.at(2, [&w] { w.submit("j-1", "batch", 4, 5); });
    w.at(16, [&w] { w.crash(lead(w), 6); });
    w.run_until(60);
    EXPECT_TRUE(w.jobs["j-1"].done);
    for (auto& b : w.broken) ADD_FAILURE() << b;
}

// The checker itself: a command that breaks a rule on purpose must be seen.
TEST(Checker, SeesATaskStartedTwice) {
    spdlog::set_level(spdlog::level::off);
    World w({});
    w.at(2, [&w] { w.submit("j-1", "service", 1, 0); });
    w.run_until(30);
    ASSERT_TRUE(w.broken.empty());
    w.rogue_run("j-1/0", 1);
    ASSERT_FALSE(w.broken.empty());
    EXPECT_NE(w.broken[0].find("ran_twice"), std::string::npos);
}
TEST(Checker, SeesACancelledTaskThatStays) {
    spdlog::set_level(spdlog::level::off);
    World w({});
    for (const char* id : {"j-1", "j-2"}) w.at(2, [&w, id] { w.submit(id, "service", 1, 0); });
    w.at(20, [&w] { w.cancel("j-1"); });
    w.run_until(40);
    ASSERT_TRUE(w.broken.empty());
    w.run_until(70);
    w.rogue_run("j-1/0", 1);
    w.run_until(71);
    ASSERT_FALSE(w.broken.empty());
    EXPECT_NE(w.broken[0].find("ran_cancelled"), std::string::npos);
}

}  // namespace
}  // namespace coralhitch::standin
