// The checker of the simulated cluster: for each rule a history that breaks it on purpose, which must be found.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {

// The checker itself: a command that breaks a rule on purpose must be seen.
TEST(CheckerOfStarts, SeesATaskStartedTwice) {
    spdlog::set_level(spdlog::level::off);
    World w({});
    w.at(2, [&w] { w.submit("j-1", "service", 1, 0); });
    w.run_until(30);
    ASSERT_TRUE(w.broken.empty());
    w.rogue_run("j-1/0", 1);
    ASSERT_FALSE(w.broken.empty());
    EXPECT_NE(w.broken[0].find("ran_twice"), std::string::npos);
}
TEST(CheckerOfStarts, SeesACancelledTaskThatStays) {
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

struct Broken {
    const char* rule;
    void (*breaks)(World&);  // at 30 s
};
std::string over(wire::JobState state) {
    return wire::stored(wire::FinalRecord{state, 1});
}
const Broken broken[] = {
    {"quota", [](World& w) { w.rogue_run("j-2/7", 99, 0); }},
    {"wrong_place (spot)", [](World& w) { w.rogue_run("j-3/1", 99, 2); }},
    {"wrong_place (scatter)", [](World& w) { w.rogue_run("j-4/9", 99, 0), w.rogue_run("j-4/8", 99, 1); }},
    {"wrong_place (together)", [](World& w) { w.rogue_run("j-5/8", 99, 0), w.rogue_run("j-5/9", 99, 1); }},
    {"too_early", [](World& w) { w.rogue_run("j-6/0", 99); }},
    {"forgotten j-1", [](World& w) { w.tamper("job/j-1", {}); }},
    {"forgotten j-1: no question was answered",
     [](World& w) {
         w.troubles_over = w.now();
         w.state_down(60);
     }},
    {"invented", [](World& w) { w.tamper("job/j-999999", w.record("job/j-1")); }},
    {"not_done",
     [](World& w) { w.tamper("final/j-1", over(wire::JobState::done)), w.tamper("job/j-1", {}); }},
    {"went_back j-1: nobody cancelled it",
     [](World& w) { w.tamper("final/j-1", over(wire::JobState::cancelled)), w.tamper("job/j-1", {}); }},
    {"went_back j-7 from withdrawn to done",
     [](World& w) { w.tamper("final/j-7", over(wire::JobState::done)), w.tamper("job/j-7", {}); }},
};
class Checker : public testing::TestWithParam<Broken> {};
INSTANTIATE_TEST_SUITE_P(Rules, Checker, testing::ValuesIn(broken));
TEST_P(Checker, SeesWhatIsBrokenOnPurpose) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    o.gpus_max = 2;
    World w(o);
    w.at(2, [&w] {
        w.submit("j-1", "service", 1, 0);
        w.submit("j-2", "batch", 9, 400, {{"crew", "tight"}});
        w.submit("j-3", "service", 1, 0, {{"driftwood", false}});
        w.submit("j-4", "service", 2, 0, {{"scatter", true}});
        w.submit("j-5", "gang", 2, 400, {{"together", true}});
        w.submit("j-7", "service", 1, 0);
    });
    w.submit_awaiting("j-6", "batch", 1, 5, {"j-2"});
    w.at(27, [&w] { w.cancel("j-7"); });
    w.run_until(30);
    ASSERT_TRUE(w.broken.empty()) << w.broken[0];
    GetParam().breaks(w);
    w.run_until(85);
    auto found = std::any_of(w.broken.begin(), w.broken.end(),
                             [&](auto& b) { return b.find(GetParam().rule) != std::string::npos; });
    EXPECT_TRUE(found) << GetParam().rule << ", but " << (w.broken.empty() ? "nothing" : w.broken[0]);
}

}  // namespace
}  // namespace coralhitch::simulation
