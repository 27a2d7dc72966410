#include "metrics/metrics.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "support/prometheus_series.hpp"

namespace coralhitch::metrics {
namespace {

struct Expected {
    Metric metric;
    std::string label_value, current,
        legacy;  // legacy: empty if the previous release did not have the metric
};

// Written out in full so that a mistake in the table of definitions makes the test fail.
const std::vector<Expected> expected_series = {
    {Metric::leader_jobs, "", "coralhitch_leader_jobs", R"(coralhitch_current{of="jobs"})"},
    {Metric::leader_jobs_with_pending_dependencies, "", "coralhitch_leader_jobs_with_pending_dependencies",
     R"(coralhitch_current{of="awaiting"})"},
    {Metric::leader_dependency_steps, "", "coralhitch_leader_dependency_steps_total", ""},
    {Metric::leader_unstored_job_ends, "", "coralhitch_leader_unstored_job_ends",
     R"(coralhitch_current{of="ends_waiting"})"},
    {Metric::leader_cancelled_jobs_to_remove, "", "coralhitch_leader_cancelled_jobs_to_remove",
     R"(coralhitch_current{of="cancelled_to_drop"})"},
    {Metric::leader_machines, "", "coralhitch_leader_machines", R"(coralhitch_current{of="machines"})"},
    {Metric::leader_suspected_machines, "", "coralhitch_leader_suspected_machines",
     R"(coralhitch_current{of="machines_suspected"})"},
    {Metric::leader_machines_marked_for_deletion, "", "coralhitch_leader_machines_marked_for_deletion_total",
     R"(coralhitch_events_total{event="condemned"})"},
    {Metric::leader_machines_quarantined, "", "coralhitch_leader_machines_quarantined_total",
     R"(coralhitch_events_total{event="sick_machine"})"},
    {Metric::scheduler_tasks_placed, "", "coralhitch_scheduler_tasks_placed_total",
     R"(coralhitch_placements_total{what="tasks"})"},
    {Metric::scheduler_draws, "", "coralhitch_scheduler_draws_total",
     R"(coralhitch_placements_total{what="draws"})"},
    {Metric::scheduler_redraws, "", "coralhitch_scheduler_redraws_total",
     R"(coralhitch_placements_total{what="redraws"})"},
    {Metric::scheduler_fallbacks, "", "coralhitch_scheduler_fallbacks_total",
     R"(coralhitch_placements_total{what="fallbacks"})"},
    {Metric::scheduler_tasks_packed, "", "coralhitch_scheduler_tasks_packed_total",
     R"(coralhitch_placements_total{what="packed"})"},
    {Metric::scheduler_tasks_preempted, "", "coralhitch_scheduler_tasks_preempted_total",
     R"(coralhitch_placements_total{what="preempted"})"},
    {Metric::leader_delegated_machines, "", "coralhitch_leader_delegated_machines",
     R"(coralhitch_current{of="machines_lent"})"},
    {Metric::leader_replication_members, "", "coralhitch_leader_replication_members",
     R"(coralhitch_current{of="standby_members"})"},
    {Metric::leader_replication_messages, "", "coralhitch_leader_replication_messages_total",
     R"(coralhitch_current{of="standby_pieces"})"},
    {Metric::leader_replication_members_dropped, "", "coralhitch_leader_replication_members_dropped_total",
     R"(coralhitch_current{of="standby_dropped"})"},
    {Metric::leader_failover_step, "all is read",
     R"(coralhitch_leader_failover_step_seconds{step="all is read"})",
     R"(coralhitch_current{of="takeover: all is read"})"},
    {Metric::elections_won, "", "coralhitch_elections_won_total", R"(coralhitch_events_total{event="won"})"},
    {Metric::leaderships_lost, "", "coralhitch_leaderships_lost_total",
     R"(coralhitch_events_total{event="lost"})"},
    {Metric::replica_machines, "", "coralhitch_replica_machines", R"(coralhitch_current{of="standby_rows"})"},
    {Metric::live_jobs, "", "coralhitch_live_jobs", R"(coralhitch_current{of="live_jobs"})"},
    {Metric::job_status_queries, "", "coralhitch_job_status_queries_total",
     R"(coralhitch_current{of="questions"})"},
    {Metric::job_status_reads, "", "coralhitch_job_status_reads_total",
     R"(coralhitch_current{of="question_requests"})"},
    {Metric::submissions_deferred, "", "coralhitch_submissions_deferred_total",
     R"(coralhitch_current{of="submissions_put_off"})"},
    {Metric::cancellation_notices, "", "coralhitch_cancellation_notices",
     R"(coralhitch_current{of="cancellations_told"})"},
    {Metric::cancellation_notices_repeated, "", "coralhitch_cancellation_notices_repeated_total",
     R"(coralhitch_current{of="cancellations_repeated"})"},
    {Metric::heartbeats_answered_by_relay, "", "coralhitch_heartbeats_answered_by_relay_total",
     R"(coralhitch_current{of="reports_repeated"})"},
    {Metric::heartbeats_relayed, "", "coralhitch_heartbeats_relayed_total",
     R"(coralhitch_current{of="reports_relayed"})"},
    {Metric::heartbeats_expired, "", "coralhitch_heartbeats_expired_total",
     R"(coralhitch_current{of="reports_dropped"})"},
    {Metric::heartbeats_rejected, "late", R"(coralhitch_heartbeats_rejected_total{reason="late"})",
     R"(coralhitch_current{of="reports_refused: late"})"},
    {Metric::sockets_used, "users", R"(coralhitch_sockets_used{peer="users"})",
     R"(coralhitch_current{of="sockets: users"})"},
    {Metric::sockets_used_peak, "users", R"(coralhitch_sockets_used_peak{peer="users"})",
     R"(coralhitch_current{of="sockets at most: users"})"},
    {Metric::sockets_refused, "users", R"(coralhitch_sockets_refused_total{peer="users"})",
     R"(coralhitch_current{of="sockets refused: users"})"},
    {Metric::kv_changes, "job", R"(coralhitch_kv_changes_total{key_space="job"})",
     R"(coralhitch_current{of="state_changes_job"})"},
    {Metric::kv_transactions_rejected, "", "coralhitch_kv_transactions_rejected_total",
     R"(coralhitch_current{of="state_rejections"})"},
    {Metric::kv_requests_sent, "reads", R"(coralhitch_kv_requests_sent_total{queue="reads"})",
     R"(coralhitch_current{of="queue_looks_sent"})"},
    {Metric::kv_requests_refused, "writes", R"(coralhitch_kv_requests_refused_total{queue="writes"})",
     R"(coralhitch_current{of="queue_writes_refused"})"},
    {Metric::kv_request_wait, "acceptances",
     R"(coralhitch_kv_request_wait_seconds_total{queue="acceptances"})",
     R"(coralhitch_current{of="queue_acceptances_waited_s"})"},
    {Metric::kv_request_longest_wait, "cancellations",
     R"(coralhitch_kv_request_longest_wait_seconds{queue="cancellations"})",
     R"(coralhitch_current{of="queue_cancellations_longest_wait_s"})"},
    {Metric::event_loop_long_turns, "job_changes",
     R"(coralhitch_event_loop_long_turns_total{work="job_changes"})", ""},
    {Metric::event_loop_longest_turn, "", "coralhitch_event_loop_longest_turn_seconds", ""},
};

TEST(Metrics, ServesEachValueUnderItsNameAndItsFormerName) {
    ASSERT_EQ(expected_series.size(), metric_definitions().size());
    Metrics metrics;
    double value = 0.5;
    for (auto& expected : expected_series) metrics.set(expected.metric, expected.label_value, ++value);
    auto served = parse_series(metrics.text());
    value = 0.5;
    for (auto& expected : expected_series) {
        ++value;
        ASSERT_TRUE(served.contains(expected.current)) << expected.current;
        EXPECT_EQ(std::stod(served[expected.current]), value) << expected.current;
        if (expected.legacy.empty()) {
            EXPECT_TRUE(definition_of(expected.metric).legacy.family.empty()) << expected.current;
            continue;
        }
        ASSERT_TRUE(served.contains(expected.legacy)) << expected.legacy;
        EXPECT_EQ(served[expected.legacy], served[expected.current]) << expected.legacy;
    }
}

TEST(Metrics, AddsIncrementsToCounters) {
    Metrics metrics;
    metrics.increment(Metric::elections_won);
    metrics.increment(Metric::elections_won);
    metrics.increment(Metric::scheduler_draws, 7);
    auto served = parse_series(metrics.text());
    EXPECT_EQ(served["coralhitch_elections_won_total"], "2");
    EXPECT_EQ(served[R"(coralhitch_events_total{event="won"})"], "2");
    EXPECT_EQ(served["coralhitch_scheduler_draws_total"], "7");
    EXPECT_EQ(served[R"(coralhitch_placements_total{what="draws"})"], "7");
}

TEST(Metrics, ServesNoSeriesBeforeItIsSet) {
    Metrics metrics;
    EXPECT_EQ(metrics.text().find("coralhitch_leader_"), std::string::npos);
    EXPECT_EQ(metrics.text().find("coralhitch_current"), std::string::npos);
}

TEST(Metrics, CountsRequestsByRouteAndStatus) {
    Metrics metrics;
    metrics.count_request("submit", 429);
    EXPECT_EQ(parse_series(metrics.text())[R"(coralhitch_requests_total{route="submit",status="429"})"], "1");
}

TEST(MetricDefinitions, FollowPrometheusNaming) {
    std::set<std::string_view> names;
    for (auto& definition : metric_definitions()) {
        EXPECT_TRUE(names.insert(definition.name).second) << definition.name;
        EXPECT_TRUE(definition.name.starts_with("coralhitch_")) << definition.name;
        EXPECT_EQ(definition.name.ends_with("_total"), definition.type == MetricType::counter)
            << definition.name;
        EXPECT_TRUE(std::all_of(definition.name.begin(), definition.name.end(), [](char c) {
            return c == '_' || (c >= 'a' && c <= 'z');
        })) << definition.name;
        EXPECT_FALSE(definition.help.empty()) << definition.name;
        // `of` is the label of the former series; a metric with this label could be mistaken for one of them.
        EXPECT_NE(definition.label, "of") << definition.name;
    }
}

}  // namespace
}  // namespace coralhitch::metrics
