// Checks each rule of the checker with a history of events that breaks the rule, and several rules also with
// a similar history that does not.
#include "verification/checker.hpp"

#include <gtest/gtest.h>

#include "protocol/model.hpp"

namespace coralhitch::verification {
namespace {

protocol::Job job(const std::string& id, std::uint32_t tasks = 2) {
    protocol::Job job;
    job.id = id;
    job.team = "t";
    job.tasks = tasks;
    job.request = {1, 0, 1};
    return job;
}
struct History {
    const char* name;
    const char* broken_rule;  // "": none is broken
    void (*replay)(Checker&);
};
void begin(Checker& checker, const protocol::Job& submitted) {
    checker.submitted(submitted);
    checker.accepted(submitted.id);
}
void finish(Checker& checker, double time, const std::string& id) {
    checker.task_started(time, "a1", {id, 0});
    checker.task_ended("a1", {id, 0}, protocol::ExitCause::done);
}

const History histories[] = {
    {"moved", "",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.task_started(1, "a1", {"j-1", 0});
         checker.task_ended("a1", {"j-1", 0}, protocol::ExitCause::stopped);
         checker.task_started(2, "b1", {"j-1", 0});
     }},
    {"twice", "ran_twice",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.task_started(1, "a1", {"j-1", 0});
         checker.task_started(2, "b1", {"j-1", 0});
     }},
    {"machine_lost", "",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.task_started(1, "a1", {"j-1", 0});
         checker.machine_terminated("a1");
         checker.task_started(2, "b1", {"j-1", 0});
     }},
    {"at_limit", "",
     [](Checker& checker) {
         begin(checker, job("j-1", 3));
         for (std::uint32_t index = 0; index < 3; ++index) checker.task_started(1, "a1", {"j-1", index});
     }},
    {"over_limit", "quota",
     [](Checker& checker) {
         begin(checker, job("j-1", 4));
         for (std::uint32_t index = 0; index < 4; ++index) checker.task_started(1, "a1", {"j-1", index});
     }},
    {"spot", "wrong_place (spot)",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.task_started(1, "b2", {"j-1", 0});
     }},
    {"zone", "wrong_place (zone)",
     [](Checker& checker) {
         auto other = job("j-1");
         other.zone = "b";
         begin(checker, other);
         checker.task_started(1, "a1", {"j-1", 0});
     }},
    {"type", "wrong_place (type)",
     [](Checker& checker) {
         auto other = job("j-1");
         other.types = {{"other"}};
         begin(checker, other);
         checker.task_started(1, "a1", {"j-1", 0});
     }},
    {"together", "wrong_place (one zone)",
     [](Checker& checker) {
         auto other = job("j-1");
         other.one_zone = true;
         begin(checker, other);
         checker.task_started(1, "a1", {"j-1", 0});
         checker.task_started(1, "b1", {"j-1", 1});
     }},
    {"scatter", "wrong_place (spread)",
     [](Checker& checker) {
         auto other = job("j-1");
         other.spread = true;
         begin(checker, other);
         checker.task_started(1, "a1", {"j-1", 0});
         checker.task_started(1, "a1", {"j-1", 1});
     }},
    {"cancelled_in_time", "",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.task_started(1, "a1", {"j-1", 0});
         checker.cancel_requested("j-1");
         checker.status_answered(2, "j-1", protocol::JobState::cancelled);
         checker.check_cancelled_jobs(11);
         checker.task_ended("a1", {"j-1", 0}, protocol::ExitCause::stopped);
         checker.check_cancelled_jobs(13);
     }},
    {"cancelled_runs_on", "ran_cancelled",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.task_started(1, "a1", {"j-1", 0});
         checker.cancel_requested("j-1");
         checker.status_answered(2, "j-1", protocol::JobState::cancelled);
         checker.check_cancelled_jobs(12.1);
     }},
    {"cancelled_starts", "ran_cancelled (start)",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.cancel_requested("j-1");
         checker.status_answered(2, "j-1", protocol::JobState::cancelled);
         checker.task_started(12.1, "a1", {"j-1", 0});
     }},
    {"done", "",
     [](Checker& checker) {
         begin(checker, job("j-1", 1));
         finish(checker, 1, "j-1");
         checker.status_answered(3, "j-1", protocol::JobState::done);
     }},
    {"done_early", "not_done",
     [](Checker& checker) {
         begin(checker, job("j-1", 2));
         finish(checker, 1, "j-1");
         checker.status_answered(3, "j-1", protocol::JobState::done);
     }},
    {"done_then_running", "went_back j-1 from done",
     [](Checker& checker) {
         begin(checker, job("j-1", 1));
         finish(checker, 1, "j-1");
         checker.status_answered(3, "j-1", protocol::JobState::done);
         checker.status_answered(4, "j-1", protocol::JobState::running);
     }},
    {"cancelled_by_nobody", "went_back j-1: nobody cancelled it",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.status_answered(2, "j-1", protocol::JobState::cancelled);
     }},
    {"denied", "forgotten",
     [](Checker& checker) {
         begin(checker, job("j-1"));
         checker.not_found_answered(2, "j-1");
     }},
    {"unknown_answer", "invented",
     [](Checker& checker) { checker.status_answered(2, "j-9", protocol::JobState::queued); }},
    {"unknown_start", "invented",
     [](Checker& checker) {
         checker.task_started(2, "a1", {"j-9", 0});
     }},
    {"awaits", "too_early",
     [](Checker& checker) {
         begin(checker, job("j-1", 1));
         auto other = job("j-2", 1);
         other.dependencies = {"j-1"};
         begin(checker, other);
         checker.task_started(1, "a1", {"j-2", 0});
     }},
};

class Histories : public testing::TestWithParam<History> {};
INSTANTIATE_TEST_SUITE_P(Rules, Histories, testing::ValuesIn(histories),
                         [](auto& info) { return std::string(info.param.name); });
TEST_P(Histories, ReportsExactlyTheBrokenRule) {
    Checker checker({10, {{"t", {3, 0}}}});
    checker.machine_added("a1", {"m", "a", false, {8, 0, 8}});
    checker.machine_added("b1", {"m", "b", false, {8, 0, 8}});
    checker.machine_added("b2", {"m", "b", true, {8, 0, 8}});
    GetParam().replay(checker);
    std::string rule = GetParam().broken_rule;
    ASSERT_EQ(checker.violations().size(), rule.empty() ? 0u : 1u)
        << (checker.violations().empty() ? "" : checker.violations()[0]);
    if (rule.empty()) return;
    EXPECT_NE(checker.violations()[0].find(rule), std::string::npos) << checker.violations()[0];
}
TEST(Checker, ReleasesTheQuotaOfEndedTasks) {
    Checker checker({10, {{"t", {1, 0}}}});
    checker.machine_added("a1", {"m", "a", false, {8, 0, 8}});
    begin(checker, job("j-1", 2));
    for (std::uint32_t index = 0; index < 2; ++index) {
        checker.task_started(index, "a1", {"j-1", index});
        EXPECT_EQ(checker.tasks_on_machines(), 1u);
        checker.task_ended("a1", {"j-1", index}, protocol::ExitCause::done);
        EXPECT_EQ(checker.tasks_on_machines(), 0u);
    }
    EXPECT_TRUE(checker.violations().empty());
    EXPECT_TRUE(checker.is_done("j-1"));
}

}  // namespace
}  // namespace coralhitch::verification
