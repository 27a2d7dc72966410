// CancellationHandler, tested through the UserApi of several controllers.
#include "api/cancellation_handler.hpp"

#include <gtest/gtest.h>

#include "api/user_api_fixture.hpp"

namespace coralhitch::api {
namespace {

// The store executes the first cancellation but its answer is lost. Repeated requests at the same controller
// and at another one must all be answered, without further writes or notifications.
TEST(CancellationHandler, NotifiesLeaderOnceWhenTheStoreAnswerIsLost) {
    UserApiFixture fixture;
    fixture.submit(0, "j-000001");
    fixture.timers.run_until(1);
    fixture.kv_store.txn_fates = {FakeKeyValueStore::TxnFate::answer_lost};
    auto* first = fixture.cancel(0, "j-000001");
    fixture.timers.run_until(1.1);
    auto* repeated = fixture.cancel(0, "j-000001");
    auto* elsewhere = fixture.cancel(1, "j-000001");
    fixture.timers.run_until(10);
    for (auto* a : {first, repeated, elsewhere}) {
        EXPECT_EQ(a->status, 200);
        EXPECT_EQ(a->state, "withdrawn");
    }
    EXPECT_EQ(fixture.kv_store.changes, 2);
    EXPECT_EQ(fixture.cluster.notified, std::vector<std::string>{"j-000001"});
}

// Cancellations must be sent before the submissions that fill the queue and wait for the remaining writes.
TEST(CancellationHandler, DoesNotWaitBehindSubmissions) {
    UserApiFixture fixture;
    auto id = [](int k) { return "j-" + std::to_string(100000 + k); };
    for (int k = 0; k < 10; ++k) fixture.submit(0, id(k));
    fixture.timers.run_until(5);
    for (int k = 100; k < 300; ++k) fixture.submit(0, id(k));
    std::vector<Answer*> cancelled;
    for (int k = 0; k < 5; ++k) cancelled.push_back(fixture.cancel(0, id(k)));
    fixture.timers.run_until(15);
    for (auto* a : cancelled) {
        EXPECT_EQ(a->state, "withdrawn");
        EXPECT_LE(a->answered - a->sent, 1);
    }
    for (auto& a : fixture.answers) {
        EXPECT_NE(a->status, 0);
        EXPECT_LE(a->answered - a->sent, kv::submission_timeout_s);
    }
}

}  // namespace
}  // namespace coralhitch::api
