// For each rule a history that breaks it, and the same without the break.
#include "verification/checker.hpp"

#include <gtest/gtest.h>

#include "protocol/model.hpp"

namespace coralhitch::verification {
namespace {

protocol::Job job(const std::string& id, std::uint32_t tasks = 2) {
    protocol::Job j;
    j.id = id;
    j.team = "t";
    j.tasks = tasks;
    j.request = {1, 0, 1};
    return j;
}
struct History {
    const char* name;
    const char* rule;  // "": none is broken
    void (*happens)(Checker&);
};
void begin(Checker& c, const protocol::Job& j) {
    c.submitted(j);
    c.accepted(j.id);
}
void finish(Checker& c, double t, const std::string& id) {
    c.started(t, "a1", {id, 0});
    c.ended(t + 1, "a1", {id, 0}, protocol::ExitCause::done);
}

const History histories[] = {
    {"moved", "",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.started(1, "a1", {"j-1", 0});
         c.ended(2, "a1", {"j-1", 0}, protocol::ExitCause::stopped);
         c.started(2, "b1", {"j-1", 0});
     }},
    {"twice", "ran_twice",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.started(1, "a1", {"j-1", 0});
         c.started(2, "b1", {"j-1", 0});
     }},
    {"machine_lost", "",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.started(1, "a1", {"j-1", 0});
         c.machine_gone("a1");
         c.started(2, "b1", {"j-1", 0});
     }},
    {"at_limit", "",
     [](Checker& c) {
         begin(c, job("j-1", 3));
         for (std::uint32_t k = 0; k < 3; ++k) c.started(1, "a1", {"j-1", k});
     }},
    {"over_limit", "quota",
     [](Checker& c) {
         begin(c, job("j-1", 4));
         for (std::uint32_t k = 0; k < 4; ++k) c.started(1, "a1", {"j-1", k});
     }},
    {"spot", "wrong_place (spot)",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.started(1, "b2", {"j-1", 0});
     }},
    {"zone", "wrong_place (zone)",
     [](Checker& c) {
         auto j = job("j-1");
         j.zone = "b";
         begin(c, j);
         c.started(1, "a1", {"j-1", 0});
     }},
    {"type", "wrong_place (type)",
     [](Checker& c) {
         auto j = job("j-1");
         j.types = {{"other"}};
         begin(c, j);
         c.started(1, "a1", {"j-1", 0});
     }},
    {"together", "wrong_place (one zone)",
     [](Checker& c) {
         auto j = job("j-1");
         j.one_zone = true;
         begin(c, j);
         c.started(1, "a1", {"j-1", 0});
         c.started(1, "b1", {"j-1", 1});
     }},
    {"scatter", "wrong_place (spread)",
     [](Checker& c) {
         auto j = job("j-1");
         j.spread = true;
         begin(c, j);
         c.started(1, "a1", {"j-1", 0});
         c.started(1, "a1", {"j-1", 1});
     }},
    {"cancelled_in_time", "",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.started(1, "a1", {"j-1", 0});
         c.cancel_asked("j-1");
         c.told(2, "j-1", protocol::JobState::cancelled);
         c.look(11);
         c.ended(11.9, "a1", {"j-1", 0}, protocol::ExitCause::stopped);
         c.look(13);
     }},
    {"cancelled_runs_on", "ran_cancelled",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.started(1, "a1", {"j-1", 0});
         c.cancel_asked("j-1");
         c.told(2, "j-1", protocol::JobState::cancelled);
         c.look(12.1);
     }},
    {"cancelled_starts", "ran_cancelled (start)",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.cancel_asked("j-1");
         c.told(2, "j-1", protocol::JobState::cancelled);
         c.started(12.1, "a1", {"j-1", 0});
     }},
    {"done", "",
     [](Checker& c) {
         begin(c, job("j-1", 1));
         finish(c, 1, "j-1");
         c.told(3, "j-1", protocol::JobState::done);
     }},
    {"done_early", "not_done",
     [](Checker& c) {
         begin(c, job("j-1", 2));
         finish(c, 1, "j-1");
         c.told(3, "j-1", protocol::JobState::done);
     }},
    {"done_then_running", "went_back j-1 from done",
     [](Checker& c) {
         begin(c, job("j-1", 1));
         finish(c, 1, "j-1");
         c.told(3, "j-1", protocol::JobState::done);
         c.told(4, "j-1", protocol::JobState::running);
     }},
    {"cancelled_by_nobody", "went_back j-1: nobody cancelled it",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.told(2, "j-1", protocol::JobState::cancelled);
     }},
    {"denied", "forgotten",
     [](Checker& c) {
         begin(c, job("j-1"));
         c.denied(2, "j-1");
     }},
    {"unknown_answer", "invented", [](Checker& c) { c.told(2, "j-9", protocol::JobState::queued); }},
    {"unknown_start", "invented",
     [](Checker& c) {
         c.started(2, "a1", {"j-9", 0});
     }},
    {"awaits", "too_early",
     [](Checker& c) {
         begin(c, job("j-1", 1));
         auto j = job("j-2", 1);
         j.dependencies = {"j-1"};
         begin(c, j);
         c.started(1, "a1", {"j-2", 0});
     }},
};

class Histories : public testing::TestWithParam<History> {};
INSTANTIATE_TEST_SUITE_P(Rules, Histories, testing::ValuesIn(histories),
                         [](auto& info) { return std::string(info.param.name); });
TEST_P(Histories, SeesExactlyWhatIsBroken) {
    Checker c({10, {{"t", {3, 0}}}});
    c.machine("a1", {"m", "a", false, {8, 0, 8}});
    c.machine("b1", {"m", "b", false, {8, 0, 8}});
    c.machine("b2", {"m", "b", true, {8, 0, 8}});
    GetParam().happens(c);
    std::string rule = GetParam().rule;
    ASSERT_EQ(c.broken().size(), rule.empty() ? 0u : 1u) << (c.broken().empty() ? "" : c.broken()[0]);
    if (rule.empty()) return;
    EXPECT_NE(c.broken()[0].find(rule), std::string::npos) << c.broken()[0];
}
TEST(Checker, GivesBackWhatEnds) {
    Checker c({10, {{"t", {1, 0}}}});
    c.machine("a1", {"m", "a", false, {8, 0, 8}});
    begin(c, job("j-1", 2));
    for (std::uint32_t k = 0; k < 2; ++k) {
        c.started(k, "a1", {"j-1", k});
        EXPECT_EQ(c.present(), 1u);
        c.ended(k + 0.5, "a1", {"j-1", k}, protocol::ExitCause::done);
        EXPECT_EQ(c.present(), 0u);
    }
    EXPECT_TRUE(c.broken().empty());
    EXPECT_TRUE(c.is_done("j-1"));
}

}  // namespace
}  // namespace coralhitch::verification
