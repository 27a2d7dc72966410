#include "kv/request_queue.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/fake_timers.hpp"

namespace coralhitch::kv {
namespace {

// A queue with a share of 9 requests and 9 changes a second, whose budget has filled up to a burst of 9 each.
struct RequestQueueFixture {
    RequestQueueFixture() {
        (void)budget.has(0, {0, true});
        timers.run_until(start);
    }
    static constexpr double start = 10;
    void run_until(double seconds) { timers.run_until(start + seconds); }
    FakeTimers timers;
    config::Settings settings = [] {
        config::Settings s;
        s.heartbeat_interval_s = 4;
        s.nodes = 1;
        s.kv_rps = s.kv_write_rps = 10;
        return s;
    }();
    RequestBudget budget{settings};
    std::vector<std::string> sent;
    std::vector<int> refused;  // statuses
    RequestQueue queue{timers, settings, budget,
                       [this](PendingRequest request) { sent.push_back(request.request.target); }};

    void submit(RequestPriority priority, const std::string& name, double changes = 0) {
        queue.submit({.priority = priority,
                      .request = {"GET", name, {}},
                      .changes = changes,
                      .on_response = [this](std::optional<http::Response> response) {
                          refused.push_back(response ? response->status : 0);
                      }});
    }
};

TEST(RequestQueue, SendsByPriorityOnceTheBudgetIsShort) {
    RequestQueueFixture fixture;
    for (int k = 0; k < 9; ++k) fixture.submit(RequestPriority::background, "first");
    fixture.sent.clear();
    fixture.submit(RequestPriority::background, "background");
    fixture.submit(RequestPriority::read, "read");
    fixture.submit(RequestPriority::write, "write");
    fixture.submit(RequestPriority::submission, "submission");
    fixture.submit(RequestPriority::cancellation, "cancellation");
    EXPECT_TRUE(fixture.sent.empty());
    fixture.run_until(1);
    EXPECT_EQ(fixture.sent,
              (std::vector<std::string>{"cancellation", "submission", "write", "read", "background"}));
}
TEST(RequestQueue, SendsLeaseRequestsWithoutBudget) {
    RequestQueueFixture fixture;
    for (int k = 0; k < 9; ++k) fixture.submit(RequestPriority::write, "first");
    fixture.submit(RequestPriority::lease, "lease");
    EXPECT_EQ(fixture.sent.back(), "lease");
    EXPECT_EQ(fixture.queue.counts(RequestPriority::write).sent, 9);
}
TEST(RequestQueue, ReservesChangesForALargeTransaction) {
    RequestQueueFixture fixture;
    fixture.submit(RequestPriority::write, "first", 9);
    fixture.submit(RequestPriority::write, "large", 9);
    fixture.submit(RequestPriority::background, "small", 1);
    fixture.submit(RequestPriority::background, "read");
    fixture.run_until(0.9);
    EXPECT_EQ(fixture.sent,
              (std::vector<std::string>{"first"}));  // requests of one priority are sent in order
    fixture.run_until(1.2);
    EXPECT_EQ(fixture.sent, (std::vector<std::string>{"first", "large", "small", "read"}));
}
TEST(RequestQueue, RefusesSubmissionsThatWouldMissTheirDeadline) {
    RequestQueueFixture fixture;
    fixture.submit(RequestPriority::write, "first", 9);
    for (int k = 0; k < 5; ++k) fixture.submit(RequestPriority::submission, "submission", 9);
    EXPECT_TRUE(fixture.refused.empty());  // refusals are answered from a timer
    fixture.run_until(0.1);
    // The submissions behind more changes than fit in 2.5 s are refused.
    EXPECT_EQ(fixture.refused, (std::vector<int>{429, 429, 429}));
    EXPECT_EQ(fixture.queue.counts(RequestPriority::submission).refused, 3);
    fixture.run_until(10);
    EXPECT_EQ(fixture.queue.counts(RequestPriority::submission).sent, 2);
    EXPECT_LE(fixture.queue.counts(RequestPriority::submission).longest_wait_s, 2.5);
}
TEST(RequestQueue, RefusesRequestsThatHaveWaitedForAHeartbeatPeriod) {
    RequestQueueFixture fixture;
    for (int k = 0; k < 60; ++k) fixture.submit(RequestPriority::background, "background", 1);
    fixture.run_until(20);
    auto& counts = fixture.queue.counts(RequestPriority::background);
    EXPECT_EQ(counts.sent + counts.refused, 60);
    EXPECT_GE(counts.refused, 60 - 9 * 5 - 1);
    EXPECT_EQ(fixture.refused.size(), static_cast<std::size_t>(counts.refused));
    EXPECT_LE(counts.longest_wait_s, 4);
}

}  // namespace
}  // namespace coralhitch::kv
