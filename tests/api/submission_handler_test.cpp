// SubmissionHandler, tested through the UserApi of several controllers.
#include "api/submission_handler.hpp"

#include <gtest/gtest.h>

#include "api/user_api_fixture.hpp"

namespace coralhitch::api {
namespace {

// The store executes the transaction at once but its answer is lost. Repeated submissions and queries at all
// controllers must find the job as accepted, and nothing may be stored twice.
TEST(SubmissionHandler, AcceptsOnceWhenTheStoreAnswerIsLost) {
    for (bool cancelled_meanwhile : {false, true}) {
        UserApiFixture fixture;
        fixture.kv_store.txn_fates = {FakeKeyValueStore::TxnFate::answer_lost};
        auto* first = fixture.submit(0, "j-000001");
        fixture.timers.run_until(0.1);
        auto* read = fixture.query(1, "j-000001");
        auto* retry = fixture.submit(1, "j-000001");
        auto* same = fixture.submit(0, "j-000001");
        fixture.timers.run_until(1);
        if (cancelled_meanwhile) fixture.cancel(2, "j-000001");
        fixture.timers.run_until(10);
        auto* again = fixture.submit(0, "j-000001");
        fixture.timers.run_until(12);
        std::string now = cancelled_meanwhile ? "withdrawn" : "pending";
        EXPECT_EQ(read->state, "pending");
        EXPECT_EQ(retry->state, "pending");
        for (auto* a : {first, same, again}) {
            EXPECT_EQ(a->status, 200);
            EXPECT_EQ(a->state, now);
        }
        EXPECT_EQ(fixture.kv_store.changes, cancelled_meanwhile ? 2 : 1);
    }
}

// Outcomes of a stream of submissions that the constructor sends to one controller, counted after the burst
// is used up. The rate is `factor` times what the key-value store can write. Team t2, the small team, sends
// one of each twenty submissions.
struct SubmissionStream {
    double accepted = 0;  // accepted jobs as a share of those that can be stored
    double slowest = 0;   // longest time until an answer, in seconds
    int rejected = 0, small_team_submitted = 0, small_team_accepted = 0;
    explicit SubmissionStream(double factor) {
        UserApiFixture fixture;
        auto& fixture_settings = fixture.settings;
        double capacity =
            fixture_settings.kv_write_rps * 0.9 / Admission::writes_per_job / fixture_settings.nodes;
        constexpr double begin = 61, end = 121;
        int submitted = 0;
        for (double t = 1; t < end; t += 1 / (capacity * (t < begin ? 5 : factor))) {
            fixture.timers.run_until(t);
            bool small = t >= begin && ++submitted % 20 == 0;
            fixture.submit(0, "j-" + std::to_string(100000 + fixture.answers.size()), small ? "t2" : "t1");
            if (!small) continue;
            ++small_team_submitted;
            auto* a = fixture.answers.back().get();
            fixture.timers.run_until(t + 0.5 / (capacity * factor));
            small_team_answers_.push_back(a);
        }
        fixture.timers.run_until(end + 10);
        for (auto& a : fixture.answers) {
            if (a->sent < begin) continue;
            EXPECT_NE(a->status, 0);
            slowest = std::max(slowest, a->answered - a->sent);
            rejected += a->rejected();
            if (a->rejected()) {
                EXPECT_GE(a->retry_after_s, 1);
            }
            accepted += (a->status == 201) / ((end - begin) * capacity);
        }
        for (auto* a : small_team_answers_) small_team_accepted += a->status == 201;
    }

  private:
    std::vector<Answer*> small_team_answers_;
};

TEST(SubmissionHandler, RejectsOverloadAtOnceAndFairlyBetweenTeams) {
    SubmissionStream once(1), five(5);
    EXPECT_GE(once.accepted, 0.9);
    EXPECT_GE(five.accepted, 0.9 * once.accepted);
    EXPECT_LE(five.accepted, 1.1);
    for (auto* stream : {&once, &five}) EXPECT_LE(stream->slowest, 1);
    EXPECT_GT(five.rejected, 0);
    EXPECT_GE(five.small_team_accepted, five.small_team_submitted * 0.9)
        << "jobs of the team that submits few were rejected";
}

}  // namespace
}  // namespace coralhitch::api
