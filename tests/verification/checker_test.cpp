// The checker of the simulated cluster: for each rule a history that breaks it on purpose, which must be
// found.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "protocol/model.hpp"
#include "protocol/records.hpp"
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {

// The checker itself: a command that breaks a rule on purpose must be seen.
TEST(CheckerOfStarts, SeesATaskStartedTwice) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster w({});
    w.at(2, [&w] { w.submit("j-1", "service", 1, 0); });
    w.run_until(30);
    ASSERT_TRUE(w.broken.empty());
    w.rogue_run("j-1/0", 1);
    ASSERT_FALSE(w.broken.empty());
    EXPECT_NE(w.broken[0].find("ran_twice"), std::string::npos);
}
TEST(CheckerOfStarts, SeesACancelledTaskThatStays) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster w({});
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

// A cut to one machine, named by its address, keeps away what it says and what is said to it, and nobody
// else's.
TEST(WorldOfTests, CutsOneMachineOff) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    o.machines = 12;  // 10.1.0.1 and 10.1.0.10 to 10.1.0.12
    for (bool one_way : {false, true}) {
        SimulatedCluster w(o);
        w.at(1.1, [&w] { w.submit("j-9", "service", 12, 0, {{"cards", 0.0}, {"vcpus", 13.0}}); });
        w.run_until(5);
        auto& m = *w.workers[0];
        auto ask = [&](const Worker& to, bool& came) {
            w.send("10.9.0.1", to.addr, {"POST", "/inspect", "{}"}, 1,
                   [&](std::optional<http::Response> r) { came = r.has_value(); });
        };
        if (one_way)
            w.cut_one_way("10.9.", m.addr, 3);
        else
            w.cut("10.9.", m.addr, 3, false);
        bool came = false, other_came = false, came_later = false;
        ask(m, came);
        ask(*w.workers[9], other_came);
        w.run_until(7);
        EXPECT_FALSE(came);
        EXPECT_TRUE(other_came);
        w.at(9, [&] { ask(m, came_later); });
        w.run_until(10);
        EXPECT_TRUE(came_later);
    }
}

struct Broken {
    const char* rule;
    void (*breaks)(SimulatedCluster&);  // at 30 s
};
std::string over(protocol::JobState state) {
    return protocol::stored(protocol::FinalRecord{state, 1});
}
const Broken broken[] = {
    {"quota", [](SimulatedCluster& w) { w.rogue_run("j-2/7", 99, 0); }},
    {"wrong_place (spot)", [](SimulatedCluster& w) { w.rogue_run("j-3/1", 99, 2); }},
    {"wrong_place (scatter)",
     [](SimulatedCluster& w) { w.rogue_run("j-4/9", 99, 0), w.rogue_run("j-4/8", 99, 1); }},
    {"wrong_place (together)",
     [](SimulatedCluster& w) { w.rogue_run("j-5/8", 99, 0), w.rogue_run("j-5/9", 99, 1); }},
    {"wrong_place (zone)", [](SimulatedCluster& w) { w.rogue_run("j-5/8", 99, 1); }},
    {"too_early", [](SimulatedCluster& w) { w.rogue_run("j-6/0", 99); }},
    {"forgotten j-1", [](SimulatedCluster& w) { w.tamper("job/j-1", {}); }},
    {"forgotten j-1: no question was answered",
     [](SimulatedCluster& w) {
         w.troubles_over = w.now();
         w.state_down(60);
     }},
    {"invented", [](SimulatedCluster& w) { w.tamper("job/j-999999", w.record("job/j-1")); }},
    {"not_done",
     [](SimulatedCluster& w) {
         w.tamper("final/j-1", over(protocol::JobState::done)), w.tamper("job/j-1", {});
     }},
    {"went_back j-1: nobody cancelled it",
     [](SimulatedCluster& w) {
         w.tamper("final/j-1", over(protocol::JobState::cancelled)), w.tamper("job/j-1", {});
     }},
    {"went_back j-7 from withdrawn to done",
     [](SimulatedCluster& w) {
         w.tamper("final/j-7", over(protocol::JobState::done)), w.tamper("job/j-7", {});
     }},
    {"quota j-1/",  // of the other team: eight cards; some machines have been returned
     [](SimulatedCluster& w) {
         for (std::size_t k = 0; k < 4 * w.workers.size(); ++k)
             w.rogue_run("j-1/" + std::to_string(7 + k), 99, k % w.workers.size());
     }},
    {"accepted_impossible j-8",  // for the users it is one that can't run; the service sees nothing wrong
     [](SimulatedCluster& w) {
         w.submit("j-8", "batch", 1, 5);
         w.jobs["j-8"].refused = 422;
     }},
    {"accepted_impossible (start) j-1/7",
     [](SimulatedCluster& w) {
         w.jobs["j-1"].refused = 400;
         w.rogue_run("j-1/7", 99, 0);
     }},
    {"left_waiting j-8",  // its machines hear nobody
     [](SimulatedCluster& w) {
         w.troubles_over = w.now();
         w.cut("10.0.", "10.1.", 100, false);
         w.cloud_down(100);
         w.submit("j-8", "batch", 1, 5);
     }},
    // A cancelled task goes on after its machine hung, for longer than the machine's lease.
    {"ran_cancelled j-3/0",
     [](SimulatedCluster& w) {
         w.cloud_down(100);
         for (std::size_t k = 0; k < w.workers.size(); ++k) {
             w.workers[k]->keeps_tasks = true;
             w.hang(k, 50);
         }
         w.cancel("j-3");
     }},
};
class Checker : public testing::TestWithParam<Broken> {};
INSTANTIATE_TEST_SUITE_P(Rules, Checker, testing::ValuesIn(broken));
TEST_P(Checker, SeesWhatIsBrokenOnPurpose) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    o.gpus_max = 2;
    o.free_gpus_max = 8;
    o.waits_s = 40;
    SimulatedCluster w(o);
    w.at(2, [&w] {
        w.submit("j-1", "service", 1, 0);
        w.submit("j-2", "batch", 9, 400, {{"crew", "tight"}});
        w.submit("j-3", "service", 1, 0, {{"driftwood", false}});
        w.submit("j-4", "service", 2, 0, {{"scatter", true}});
        w.submit("j-5", "gang", 2, 400, {{"together", true}, {"reef", "a"}});
        w.submit("j-7", "service", 1, 0);
    });
    w.submit_awaiting("j-6", "batch", 1, 5, {"j-2"});
    w.at(27, [&w] { w.cancel("j-7"); });
    w.run_until(30);
    ASSERT_TRUE(w.broken.empty()) << w.broken[0];
    GetParam().breaks(w);
    w.run_until(100);
    auto found = std::any_of(w.broken.begin(), w.broken.end(),
                             [&](auto& b) { return b.find(GetParam().rule) != std::string::npos; });
    EXPECT_TRUE(found) << GetParam().rule << ", but " << (w.broken.empty() ? "nothing" : w.broken[0]);
}

// Made-up histories of what users were told of one job, and the rule that the last answer breaks, if any. All
// but the last keep the rules.
struct History {
    const char* name;
    std::vector<Answer> answers;
    const char* breaks;
};
constexpr auto submission = Answer::To::submission, question = Answer::To::question,
               cancellation = Answer::To::cancellation;
const History histories[] = {
    {"accepted, then not known",
     {{"", submission, 1, 2, 201, "pending"}, {"", question, 2.1, 3, 404, ""}},
     "forgotten"},
    {"not known overtaken by the acceptance",
     {{"", submission, 1, 2, 201, "pending"}, {"", question, 1.9, 3, 404, ""}},
     nullptr},
    {"accepted, then refused",
     {{"", submission, 1, 2, 201, "pending"}, {"", submission, 2.1, 3, 422, ""}},
     "forgotten"},
    {"read by another user, then not known",
     {{"", question, 1, 2, 200, "pending"}, {"", question, 2.1, 3, 404, ""}},
     "forgotten"},
    {"cancelled, then not known to a cancellation",
     {{"", cancellation, 1, 2, 200, "withdrawn"}, {"", cancellation, 2.1, 3, 404, ""}},
     "forgotten"},
    {"accepted twice",
     {{"", submission, 1, 2, 201, "pending"}, {"", submission, 2.1, 3, 201, "pending"}},
     "accepted_twice"},
    {"repeated before the first answer",
     {{"", submission, 1, 2, 201, "pending"}, {"", submission, 1.9, 3, 201, "pending"}},
     nullptr},
    {"done, then running",
     {{"", question, 1, 2, 200, "done"}, {"", question, 2.1, 2.2, 200, "running"}},
     "went_back"},
    {"running overtaken by done",
     {{"", question, 1, 2, 200, "done"}, {"", question, 1.5, 2.2, 200, "running"}},
     nullptr},
    {"done, then a repeat pending",
     {{"", question, 1, 2, 200, "done"}, {"", submission, 2.1, 2.2, 200, "pending"}},
     "went_back"},
    {"cancelled, then running",
     {{"", cancellation, 1, 2, 200, "withdrawn"}, {"", question, 2.1, 2.2, 200, "running"}},
     "went_back"},
    {"cancelled, then a repeat accepts",
     {{"", cancellation, 1, 2, 200, "withdrawn"}, {"", submission, 2.1, 2.2, 200, "pending"}},
     "went_back"},
    {"done and withdrawn, at the same time",
     {{"", cancellation, 1, 2, 200, "withdrawn"}, {"", question, 1, 2.1, 200, "done"}},
     "went_back"},
    {"one answer after another",
     {{"", submission, 1, 2, 201, "pending"},
      {"", question, 3, 4, 200, "running"},
      {"", question, 5, 6, 200, "pending"},
      {"", question, 7, 8, 503, ""},
      {"", cancellation, 9, 10, 200, "withdrawn"},
      {"", submission, 11, 12, 200, "withdrawn"}},
     nullptr},
};
class Histories : public testing::TestWithParam<History> {};
INSTANTIATE_TEST_SUITE_P(Rules, Histories, testing::ValuesIn(histories));
TEST_P(Histories, AreHeldAgainstWhatWasReceivedBefore) {
    spdlog::set_level(spdlog::level::off);
    auto& h = GetParam();
    SimulatedCluster w({});
    auto& job = w.jobs["j-1"];
    job.spec = {{"shards", 1}, {"shape", "batch"}};
    job.tasks_done = {"j-1/0"};
    job.cancel_asked = true;
    for (auto& a : h.answers) {
        ASSERT_TRUE(w.broken.empty()) << h.name << ": " << w.broken[0];
        auto answer = a;
        answer.id = "j-1";
        w.note(answer);
    }
    EXPECT_EQ(w.broken.empty(), h.breaks == nullptr) << h.name;
    for (auto& b : w.broken)
        EXPECT_TRUE(h.breaks && b.find(h.breaks) != std::string::npos) << h.name << ": " << b;
}

// A start after a confirmed cancellation that was on its way is counted, and no rule.
TEST(CheckerOfStarts, CountsThoseAfterACancellation) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster w({});
    for (const char* id : {"j-1", "j-2"}) w.at(2, [&w, id] { w.submit(id, "service", 1, 0); });
    w.at(20, [&w] { w.cancel("j-1"); });
    w.run_until(30);
    ASSERT_TRUE(w.jobs["j-1"].cancelled);
    EXPECT_EQ(w.starts_cancelled, 0u);
    w.rogue_run("j-1/0", 99);
    EXPECT_EQ(w.starts_cancelled, 1u);
    EXPECT_TRUE(w.broken.empty());
}

}  // namespace
}  // namespace coralhitch::simulation
