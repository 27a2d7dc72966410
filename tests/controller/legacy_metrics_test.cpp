// Tests that a controller still serves the metric series of the previous release, which had one metric with
// many labels in place of a metric for each value. Dashboards and alerts use these series for one more
// release.
#include <gtest/gtest.h>

#include <map>

#include "controller/controller_fixture.hpp"
#include "support/prometheus_series.hpp"

namespace coralhitch::controller {
namespace {

// The series that a leader served just after it had reconciled an empty cluster, recorded before the change.
// The names of other events, placements and routes are tested in tests/metrics.
const std::vector<std::string> recorded_series = {
    R"(coralhitch_plan_seconds_count)",
    R"(coralhitch_plan_seconds_sum)",
    R"(coralhitch_submit_seconds_count)",
    R"(coralhitch_submit_seconds_sum)",
    R"(coralhitch_current{of="awaiting"})",
    R"(coralhitch_current{of="cancellations_repeated"})",
    R"(coralhitch_current{of="cancellations_told"})",
    R"(coralhitch_current{of="cancelled_to_drop"})",
    R"(coralhitch_current{of="ends_waiting"})",
    R"(coralhitch_current{of="jobs"})",
    R"(coralhitch_current{of="live_jobs"})",
    R"(coralhitch_current{of="machines"})",
    R"(coralhitch_current{of="machines_lent"})",
    R"(coralhitch_current{of="machines_suspected"})",
    R"(coralhitch_current{of="question_requests"})",
    R"(coralhitch_current{of="questions"})",
    R"(coralhitch_current{of="queue_acceptances_longest_wait_s"})",
    R"(coralhitch_current{of="queue_acceptances_refused"})",
    R"(coralhitch_current{of="queue_acceptances_sent"})",
    R"(coralhitch_current{of="queue_acceptances_waited_s"})",
    R"(coralhitch_current{of="queue_cancellations_longest_wait_s"})",
    R"(coralhitch_current{of="queue_cancellations_refused"})",
    R"(coralhitch_current{of="queue_cancellations_sent"})",
    R"(coralhitch_current{of="queue_cancellations_waited_s"})",
    R"(coralhitch_current{of="queue_looks_longest_wait_s"})",
    R"(coralhitch_current{of="queue_looks_refused"})",
    R"(coralhitch_current{of="queue_looks_sent"})",
    R"(coralhitch_current{of="queue_looks_waited_s"})",
    R"(coralhitch_current{of="queue_writes_longest_wait_s"})",
    R"(coralhitch_current{of="queue_writes_refused"})",
    R"(coralhitch_current{of="queue_writes_sent"})",
    R"(coralhitch_current{of="queue_writes_waited_s"})",
    R"(coralhitch_current{of="reports_dropped"})",
    R"(coralhitch_current{of="reports_refused: bound_over"})",
    R"(coralhitch_current{of="reports_refused: elsewhere"})",
    R"(coralhitch_current{of="reports_refused: late"})",
    R"(coralhitch_current{of="reports_refused: no_leader"})",
    R"(coralhitch_current{of="reports_refused: no_lease"})",
    R"(coralhitch_current{of="reports_refused: older"})",
    R"(coralhitch_current{of="reports_refused: sockets"})",
    R"(coralhitch_current{of="reports_refused: stop_unsent"})",
    R"(coralhitch_current{of="reports_refused: unreached"})",
    R"(coralhitch_current{of="reports_relayed"})",
    R"(coralhitch_current{of="reports_repeated"})",
    R"(coralhitch_current{of="sockets at most: controllers"})",
    R"(coralhitch_current{of="sockets at most: machines"})",
    R"(coralhitch_current{of="sockets at most: services"})",
    R"(coralhitch_current{of="sockets at most: users"})",
    R"(coralhitch_current{of="sockets at most: workers"})",
    R"(coralhitch_current{of="sockets refused: controllers"})",
    R"(coralhitch_current{of="sockets refused: machines"})",
    R"(coralhitch_current{of="sockets refused: services"})",
    R"(coralhitch_current{of="sockets refused: users"})",
    R"(coralhitch_current{of="sockets refused: workers"})",
    R"(coralhitch_current{of="sockets: controllers"})",
    R"(coralhitch_current{of="sockets: machines"})",
    R"(coralhitch_current{of="sockets: services"})",
    R"(coralhitch_current{of="sockets: users"})",
    R"(coralhitch_current{of="sockets: workers"})",
    R"(coralhitch_current{of="standby_dropped"})",
    R"(coralhitch_current{of="standby_members"})",
    R"(coralhitch_current{of="standby_pieces"})",
    R"(coralhitch_current{of="standby_rows"})",
    R"(coralhitch_current{of="state_changes_leader"})",
    R"(coralhitch_current{of="state_changes_standby"})",
    R"(coralhitch_current{of="state_rejections"})",
    R"(coralhitch_current{of="submissions_put_off"})",
    R"(coralhitch_current{of="takeover: all is read"})",
    R"(coralhitch_current{of="takeover: all machines settled"})",
    R"(coralhitch_current{of="takeover: loaded"})",
    R"(coralhitch_events_total{event="won"})",
};

TEST(LegacyMetrics, ServesEverySeriesOfThePreviousRelease) {
    ControllerFixture fixture;
    http::SocketBudget sockets(1000, http::controller_shares);
    fixture.controller.watch_sockets(sockets);
    fixture.controller.start();
    fixture.timers.run_until(12);
    ASSERT_TRUE(fixture.controller.leads());
    std::map<std::string, std::string> served;
    fixture.controller.serve({"GET", "/metrics", {}},
                             [&](http::Response r) { served = parse_series(r.body); });
    for (auto& series : recorded_series) EXPECT_TRUE(served.contains(series)) << series;
    EXPECT_EQ(served[R"(coralhitch_current{of="state_changes_leader"})"], "1");
    EXPECT_EQ(served[R"(coralhitch_current{of="state_changes_standby"})"], "1");
    EXPECT_EQ(served[R"(coralhitch_current{of="queue_writes_sent"})"], "4");
    EXPECT_EQ(served[R"(coralhitch_current{of="queue_looks_sent"})"], "1");
    EXPECT_EQ(served[R"(coralhitch_current{of="takeover: all is read"})"], "0.05000000000000004");
    EXPECT_EQ(served[R"(coralhitch_events_total{event="won"})"], "1");
}

}  // namespace
}  // namespace coralhitch::controller
