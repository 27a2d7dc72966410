// Tests of the checker: each rule has a history that violates it deliberately, which the checker must report.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "protocol/model.hpp"
#include "protocol/records.hpp"
#include "scenarios/parameter_names.hpp"
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {

// A start command that violates a rule deliberately must be reported.
TEST(RulesOfSimulatedCluster, DetectATaskStartedTwice) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    cluster.at(2, [&cluster] { cluster.submit("j-1", "service", 1, 0); });
    cluster.run_until(30);
    ASSERT_TRUE(cluster.violations().empty());
    cluster.start_against_rules("j-1/0", 1);
    ASSERT_FALSE(cluster.violations().empty());
    EXPECT_NE(cluster.violations()[0].find("ran_twice"), std::string::npos);
}
TEST(RulesOfSimulatedCluster, DetectACancelledTaskThatStays) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    for (const char* id : {"j-1", "j-2"})
        cluster.at(2, [&cluster, id] { cluster.submit(id, "service", 1, 0); });
    cluster.at(20, [&cluster] { cluster.cancel("j-1"); });
    cluster.run_until(40);
    ASSERT_TRUE(cluster.violations().empty());
    cluster.run_until(70);
    cluster.start_against_rules("j-1/0", 1);
    cluster.run_until(71);
    ASSERT_FALSE(cluster.violations().empty());
    EXPECT_NE(cluster.violations()[0].find("ran_cancelled"), std::string::npos);
}

struct Violation {
    const char* rule;
    void (*violate)(SimulatedCluster&);  // called at 30 s
};
std::string final_record(protocol::JobState state) {
    return protocol::stored(protocol::FinalRecord{state, 1});
}
const Violation deliberate_violations[] = {
    {"quota", [](SimulatedCluster& cluster) { cluster.start_against_rules("j-2/7", 99, 0); }},
    {"wrong_place (spot)", [](SimulatedCluster& cluster) { cluster.start_against_rules("j-3/1", 99, 2); }},
    {"wrong_place (spread)",
     [](SimulatedCluster& cluster) {
         cluster.start_against_rules("j-4/9", 99, 0);
         cluster.start_against_rules("j-4/8", 99, 1);
     }},
    {"wrong_place (one zone)",
     [](SimulatedCluster& cluster) {
         cluster.start_against_rules("j-5/8", 99, 0);
         cluster.start_against_rules("j-5/9", 99, 1);
     }},
    {"wrong_place (zone)", [](SimulatedCluster& cluster) { cluster.start_against_rules("j-5/8", 99, 1); }},
    {"too_early", [](SimulatedCluster& cluster) { cluster.start_against_rules("j-6/0", 99); }},
    {"forgotten j-1", [](SimulatedCluster& cluster) { cluster.key_value_store.tamper_with("job/j-1", {}); }},
    {"forgotten j-1: no question was answered",
     [](SimulatedCluster& cluster) {
         cluster.faults_over_at = cluster.now();
         cluster.key_value_store.start_outage(60);
     }},
    {"invented",
     [](SimulatedCluster& cluster) {
         cluster.key_value_store.tamper_with("job/j-999999", cluster.key_value_store.record("job/j-1"));
     }},
    {"not_done",
     [](SimulatedCluster& cluster) {
         cluster.key_value_store.tamper_with("final/j-1", final_record(protocol::JobState::done));
         cluster.key_value_store.tamper_with("job/j-1", {});
     }},
    {"went_back j-1: nobody cancelled it",
     [](SimulatedCluster& cluster) {
         cluster.key_value_store.tamper_with("final/j-1", final_record(protocol::JobState::cancelled));
         cluster.key_value_store.tamper_with("job/j-1", {});
     }},
    {"went_back j-7 from withdrawn to done",
     [](SimulatedCluster& cluster) {
         cluster.key_value_store.tamper_with("final/j-7", final_record(protocol::JobState::done));
         cluster.key_value_store.tamper_with("job/j-7", {});
     }},
    {"quota j-1/",  // the other team's limit is eight GPUs; some machines have been deleted
     [](SimulatedCluster& cluster) {
         for (std::size_t k = 0; k < 4 * cluster.workers.size(); ++k)
             cluster.start_against_rules("j-1/" + std::to_string(7 + k), 99, k % cluster.workers.size());
     }},
    {"accepted_impossible j-8",  // the checker expects a refusal, but the controller sees a valid job
     [](SimulatedCluster& cluster) {
         cluster.submit("j-8", "batch", 1, 5);
         cluster.expect_refusal("j-8", 422);
     }},
    {"accepted_impossible (start) j-1/7",
     [](SimulatedCluster& cluster) {
         cluster.expect_refusal("j-1", 400);
         cluster.start_against_rules("j-1/7", 99, 0);
     }},
    {"left_waiting j-8",  // controllers cannot reach the machines
     [](SimulatedCluster& cluster) {
         cluster.faults_over_at = cluster.now();
         cluster.partition("10.0.", "10.1.", 100);
         cluster.start_cloud_outage(100);
         cluster.submit("j-8", "batch", 1, 5);
     }},
    // A cancelled task keeps running after its machine hung for longer than its lease.
    {"ran_cancelled j-3/0",
     [](SimulatedCluster& cluster) {
         cluster.start_cloud_outage(100);
         for (std::size_t k = 0; k < cluster.workers.size(); ++k) {
             cluster.workers[k]->ignores_lease = true;
             cluster.hang_machine(k, 50);
         }
         cluster.cancel("j-3");
     }},
};
class RulesOfSimulatedCluster : public testing::TestWithParam<Violation> {};
INSTANTIATE_TEST_SUITE_P(EachRule, RulesOfSimulatedCluster, testing::ValuesIn(deliberate_violations),
                         [](auto& info) { return camel_case(info.param.rule); });
TEST_P(RulesOfSimulatedCluster, DetectEachDeliberateViolation) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.gpus_max = 2;
    options.free_gpus_max = 8;
    options.max_waiting_s = 40;
    SimulatedCluster cluster(options);
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "service", 1, 0);
        cluster.submit("j-2", "batch", 9, 400, {{"crew", "tight"}});
        cluster.submit("j-3", "service", 1, 0, {{"driftwood", false}});
        cluster.submit("j-4", "service", 2, 0, {{"scatter", true}});
        cluster.submit("j-5", "gang", 2, 400, {{"together", true}, {"reef", "a"}});
        cluster.submit("j-7", "service", 1, 0);
    });
    cluster.submit_awaiting("j-6", "batch", 1, 5, {"j-2"});
    cluster.at(27, [&cluster] { cluster.cancel("j-7"); });
    cluster.run_until(30);
    ASSERT_TRUE(cluster.violations().empty()) << cluster.violations()[0];
    GetParam().violate(cluster);
    cluster.run_until(100);
    auto found = std::any_of(cluster.violations().begin(), cluster.violations().end(), [&](auto& violation) {
        return violation.find(GetParam().rule) != std::string::npos;
    });
    EXPECT_TRUE(found) << GetParam().rule << ", but "
                       << (cluster.violations().empty() ? "nothing" : cluster.violations()[0]);
}

// Histories of the answers that users received about one job. The last answer violates the rule `breaks`, if
// one is given; all earlier answers violate none.
struct History {
    const char* name;
    std::vector<verification::Answer> answers;
    const char* breaks;
};
using Request = verification::Answer::Request;
constexpr auto submission = Request::submission, query = Request::query, cancellation = Request::cancellation;
using State = protocol::JobState;
const History histories[] = {
    {"accepted, then not known",
     {{"", submission, 1, 2, 201, State::queued}, {"", query, 2.1, 3, 404, {}}},
     "forgotten"},
    {"not known overtaken by the acceptance",
     {{"", submission, 1, 2, 201, State::queued}, {"", query, 1.9, 3, 404, {}}},
     nullptr},
    {"accepted, then refused",
     {{"", submission, 1, 2, 201, State::queued}, {"", submission, 2.1, 3, 422, {}}},
     "forgotten"},
    {"read by another user, then not known",
     {{"", query, 1, 2, 200, State::queued}, {"", query, 2.1, 3, 404, {}}},
     "forgotten"},
    {"cancelled, then not known to a cancellation",
     {{"", cancellation, 1, 2, 200, State::cancelled}, {"", cancellation, 2.1, 3, 404, {}}},
     "forgotten"},
    {"accepted twice",
     {{"", submission, 1, 2, 201, State::queued}, {"", submission, 2.1, 3, 201, State::queued}},
     "accepted_twice"},
    {"repeated before the first answer",
     {{"", submission, 1, 2, 201, State::queued}, {"", submission, 1.9, 3, 201, State::queued}},
     nullptr},
    {"done, then running",
     {{"", query, 1, 2, 200, State::done}, {"", query, 2.1, 2.2, 200, State::running}},
     "went_back"},
    {"running overtaken by done",
     {{"", query, 1, 2, 200, State::done}, {"", query, 1.5, 2.2, 200, State::running}},
     nullptr},
    {"done, then a repeat pending",
     {{"", query, 1, 2, 200, State::done}, {"", submission, 2.1, 2.2, 200, State::queued}},
     "went_back"},
    {"cancelled, then running",
     {{"", cancellation, 1, 2, 200, State::cancelled}, {"", query, 2.1, 2.2, 200, State::running}},
     "went_back"},
    {"cancelled, then a repeat accepts",
     {{"", cancellation, 1, 2, 200, State::cancelled}, {"", submission, 2.1, 2.2, 200, State::queued}},
     "went_back"},
    {"done and withdrawn, at the same time",
     {{"", cancellation, 1, 2, 200, State::cancelled}, {"", query, 1, 2.1, 200, State::done}},
     "went_back"},
    {"one answer after another",
     {{"", submission, 1, 2, 201, State::queued},
      {"", query, 3, 4, 200, State::running},
      {"", query, 5, 6, 200, State::queued},
      {"", query, 7, 8, 503, {}},
      {"", cancellation, 9, 10, 200, State::cancelled},
      {"", submission, 11, 12, 200, State::cancelled}},
     nullptr},
};
class AnswerHistories : public testing::TestWithParam<History> {};
INSTANTIATE_TEST_SUITE_P(Rules, AnswerHistories, testing::ValuesIn(histories), NameOfCase());
TEST_P(AnswerHistories, AreCheckedAgainstAnswersReceivedBefore) {
    auto& history = GetParam();
    verification::Checker checker({.cancel_s = 44, .teams = {}});
    protocol::Job job;
    job.id = "j-1";
    checker.submitted(job);
    checker.task_ended("vm-1", {"j-1", 0}, protocol::ExitCause::done);
    checker.cancel_requested("j-1");
    for (auto answer : history.answers) {
        ASSERT_TRUE(checker.violations().empty()) << history.name << ": " << checker.violations()[0];
        answer.job = "j-1";
        checker.answered(answer);
    }
    EXPECT_EQ(checker.violations().empty(), history.breaks == nullptr) << history.name;
    for (auto& violation : checker.violations())
        EXPECT_TRUE(history.breaks && violation.find(history.breaks) != std::string::npos)
            << history.name << ": " << violation;
}

// A start command that was in flight when the cancellation was confirmed is counted, but is not a violation.
TEST(RulesOfSimulatedCluster, CountStartsAfterAConfirmedCancellation) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    for (const char* id : {"j-1", "j-2"})
        cluster.at(2, [&cluster, id] { cluster.submit(id, "service", 1, 0); });
    cluster.at(20, [&cluster] { cluster.cancel("j-1"); });
    cluster.run_until(30);
    ASSERT_TRUE(cluster.jobs["j-1"].cancelled);
    EXPECT_EQ(cluster.starts_after_cancellation(), 0u);
    cluster.start_against_rules("j-1/0", 99);
    EXPECT_EQ(cluster.starts_after_cancellation(), 1u);
    EXPECT_TRUE(cluster.violations().empty());
}

}  // namespace
}  // namespace coralhitch::simulation
