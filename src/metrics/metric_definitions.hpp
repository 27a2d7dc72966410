// The table of a controller's counters and gauges: name, type and help text of each, and the name under which
// the previous release served it.
#pragma once
#include <cstddef>
#include <span>
#include <string_view>

namespace coralhitch::metrics {

// Identifies a metric. Grouped by the code that sets it; the table in metric_definitions.cpp has the same
// order.
enum class Metric {
    // Set by the leader. They keep their last values on a controller that has stopped leading.
    leader_jobs,
    leader_jobs_with_pending_dependencies,
    leader_dependency_steps,
    leader_unstored_job_ends,
    leader_cancelled_jobs_to_remove,
    leader_machines,
    leader_suspected_machines,
    leader_machines_marked_for_deletion,
    leader_machines_quarantined,
    // Set by the leader's scheduler.
    scheduler_tasks_placed,
    scheduler_draws,
    scheduler_redraws,
    scheduler_fallbacks,
    scheduler_tasks_packed,
    scheduler_tasks_preempted,
    // Read from the leader when the metrics are served. They are 0 on other controllers, except that
    // leader_failover_step keeps the times of the last failover to this controller.
    leader_delegated_machines,
    leader_replication_members,
    leader_replication_messages,
    leader_replication_members_dropped,
    leader_failover_step,
    // Set by every controller.
    elections_won,
    leaderships_lost,
    replica_machines,
    live_jobs,
    job_status_queries,
    job_status_reads,
    submissions_deferred,
    cancellation_notices,
    cancellation_notices_repeated,
    heartbeats_answered_by_relay,
    heartbeats_relayed,
    heartbeats_expired,
    heartbeats_rejected,
    sockets_used,
    sockets_used_peak,
    sockets_refused,
    kv_changes,
    kv_transactions_rejected,
    kv_requests_sent,
    kv_requests_refused,
    kv_request_wait,
    kv_request_longest_wait,
    event_loop_long_turns,
    event_loop_longest_turn,
};

enum class MetricType {
    counter,  // only increases, until the process ends or, for the leader's metrics, the leadership ends
    gauge,    // increases and decreases
};

// The series in which the previous release served the same value:
// `family{label="PREFIX + label value + SUFFIX"}`. The family is empty for a metric that the previous release
// did not have.
struct LegacySeries {
    std::string_view family, label, prefix, suffix = "";
};

// A row of the table of metrics.
struct MetricDefinition {
    Metric metric;
    MetricType type;
    std::string_view name;
    std::string_view label;  // name of the metric's only label; empty: no label
    std::string_view help;
    LegacySeries legacy;
};

// Returns the whole table in the order of `Metric`, so that a metric's numeric value is its index.
std::span<const MetricDefinition> metric_definitions();
const MetricDefinition& definition_of(Metric metric);

// Returns the label value that the previous release used for this one; it is the same for most.
std::string_view legacy_label_value(Metric metric, std::string_view label_value);

}  // namespace coralhitch::metrics
