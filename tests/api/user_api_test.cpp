// UserApi at several controllers that share one key-value store.
#include "api/user_api.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "api/user_api_fixture.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::api {
namespace {

// Returns how far a job has come: 0 not accepted, 1 live, 2 final. Done and cancelled are both final, and
// neither may follow the other.
int progress_rank(const Answer& a) {
    if (a.status == 404) return 0;
    return a.state == "pending" || a.state == "running" ? 1 : 2;
}
// Expects that no request sent after another one was answered gets an older state of the job than that
// answer.
void expect_no_older_answer(const std::vector<Answer*>& all, const std::string& when) {
    for (auto* a : all)
        for (auto* b : all) {
            if (a->status == 0 || b->status == 0 || a->rejected() || b->rejected() || b->sent <= a->answered)
                continue;
            EXPECT_GE(progress_rank(*b), progress_rank(*a))
                << when << ": " << a->state << " answered at " << a->answered << ", " << b->state << b->status
                << " for a request sent at " << b->sent;
            if (progress_rank(*a) == 2) {
                EXPECT_EQ(a->state, b->state) << when;
            }
        }
}

// Queries arrive at all controllers every few milliseconds, together with repeated submissions, while jobs
// are accepted, cancelled at two controllers at once, and end shortly before or after the cancellation.
TEST(UserApi, NeverAnswersWithAnOlderStateUnderFrequentQueries) {
    const double ends_ms[] = {-100, -20, -8, -3, 0, 3, 8, 20, 60, 150, 400};
    UserApiFixture fixture;
    // The store executes a request at once and answers later, so an answer in flight may be older than
    // answers that were given already.
    std::minstd_rand random(7);
    fixture.kv_store.latency = [&] { return std::uniform_real_distribution(0.002, 0.2)(random); };
    struct JobRun {
        std::string id;
        double submitted, cancelled, ends;
        std::vector<Answer*> answers = {};
    };
    std::vector<JobRun> runs;
    for (int k = 0; k < 44; ++k) {
        double submitted = 1 + k * 0.25, cancelled = submitted + 1;
        runs.push_back({"j-" + std::to_string(100000 + k), submitted, cancelled,
                        cancelled + ends_ms[static_cast<std::size_t>(k) % std::size(ends_ms)] / 1000});
    }
    constexpr double step = 0.009, observed_s = 1.8;
    for (double now = 0.9; now < 15; now += step) {
        fixture.timers.run_until(now);
        auto at = [&](double t) { return now >= t && now < t + step; };
        for (auto& run : runs) {
            if (now < run.submitted || now > run.submitted + observed_s) continue;
            if (at(run.cancelled))
                for (std::size_t n : {0, 2}) run.answers.push_back(fixture.cancel(n, run.id));
            if (at(run.ends)) fixture.store_end(run.id);
            bool repeat = at(run.submitted) || at(run.submitted + 0.3) || at(run.cancelled + 0.05);
            for (std::size_t n : {0, 1, 2}) {
                if (repeat) run.answers.push_back(fixture.submit(n, run.id));
                run.answers.push_back(fixture.query(n, run.id));
            }
        }
    }
    fixture.timers.run_until(20);
    std::map<std::string, int> state_counts;
    for (auto& run : runs) {
        expect_no_older_answer(run.answers, run.id);
        std::set<std::string> states;
        for (auto* a : run.answers) {
            EXPECT_NE(a->status, 0) << run.id;
            states.insert(a->state);
        }
        EXPECT_EQ(states.contains("done") + states.contains("withdrawn"), 1) << run.id;
        for (auto& state : states) ++state_counts[state];
    }
    EXPECT_GT(state_counts["done"], 5);
    EXPECT_GT(state_counts["withdrawn"], 5);
    EXPECT_GT(state_counts["pending"], 30);
}

// Many final records are read with one request, and a controller reads no final record twice.
TEST(UserApi, SharesReadsBetweenQueriesAndReadsFinalStatesOnce) {
    UserApiFixture fixture;
    constexpr int jobs = 60;
    auto id = [](int k) { return "j-" + std::to_string(100000 + k); };
    for (int k = 0; k < jobs; ++k) {
        fixture.submit(0, id(k));
        fixture.timers.run_until(1 + k * 0.2);
    }
    fixture.query(0, id(0));
    fixture.timers.run_until(20);
    for (int k = 0; k < jobs; ++k) fixture.store_end(id(k));
    fixture.timers.run_until(21);
    fixture.kv_store.requests.clear();
    std::vector<Answer*> answers;
    for (int round = 0; round < 20; ++round)
        for (int k = 0; k < jobs; ++k) answers.push_back(fixture.query(0, id(k)));
    fixture.timers.run_until(22);
    for (auto* a : answers) EXPECT_EQ(a->state, "done");
    EXPECT_EQ(fixture.kv_store.requests["kv"], 0);
    // One request for the first query, one for all other queries together, and one for all final records.
    EXPECT_LE(fixture.kv_store.requests["watch"], 3);
    fixture.kv_store.requests.clear();
    for (int k = 0; k < jobs; ++k)
        fixture.query(0, id(k)), fixture.submit(0, id(k)), fixture.cancel(0, id(k));
    fixture.timers.run_until(24);
    EXPECT_EQ(fixture.kv_store.requests["kv"] + fixture.kv_store.requests["watch"] +
                  fixture.kv_store.requests["txn"],
              0);
}

// Repeated requests must not use up the writes that submissions wait for.
TEST(UserApi, RepeatedSubmissionsAndCancellationsCostNoWrite) {
    UserApiFixture fixture;
    fixture.submit(0, "j-000001");
    for (int k = 0; k < 5; ++k) fixture.submit(0, "j-000001");
    fixture.timers.run_until(2);
    fixture.query(0, "j-000001");
    fixture.timers.run_until(3);
    fixture.kv_store.requests.clear();
    for (int k = 0; k < 200; ++k) fixture.submit(0, "j-000001");
    fixture.timers.run_until(5);
    EXPECT_EQ(fixture.kv_store.requests["txn"], 0);
    for (int k = 0; k < 100; ++k) fixture.cancel(0, "j-000001");
    fixture.timers.run_until(8);
    EXPECT_EQ(fixture.kv_store.requests["txn"], 1);
    for (auto& a : fixture.answers) EXPECT_TRUE(a->status == 200 || a->status == 201) << a->status;
}

// Guards against a slow read of one final record that delays the queries of all jobs that are answered
// together: a query waits only for the outcomes that its own job depends on.
TEST(UserApi, WaitsOnlyForTheOutcomesThatTheQueriedJobDependsOn) {
    UserApiFixture fixture;
    auto store_live = [&](const std::string& id, const std::string& dependency) {
        auto job = protocol::parse_job(submission_body(id));
        job.dependencies = {dependency};
        fixture.kv_store.kv[keys::job(id)] = {
            json::parse(protocol::stored(protocol::JobRecord{job, 1, false})), 1};
    };
    auto store_done = [&](const std::string& id) {
        fixture.kv_store.kv[keys::final(id)] = {
            json::parse(protocol::stored(protocol::FinalRecord{protocol::JobState::done, 1})), 1};
    };
    store_done("j-000001");
    store_live("j-000002", "j-000001");
    store_done("j-000003");
    store_live("j-000004", "j-000003");
    constexpr double slow_s = 1.5, soon_s = 1;
    fixture.kv_store.read_latency[keys::final("j-000001")] = slow_s;
    fixture.query(0, "j-000009");  // the first query does not wait for others
    auto* slow = fixture.query(0, "j-000002");
    auto* quick = fixture.query(0, "j-000004");
    fixture.timers.run_until(soon_s);
    EXPECT_EQ(quick->state, "pending");
    EXPECT_EQ(slow->status, 0) << "it is not known yet whether its dependency was cancelled";
    fixture.timers.run_until(4);
    EXPECT_EQ(slow->state, "pending");
}

}  // namespace
}  // namespace coralhitch::api
