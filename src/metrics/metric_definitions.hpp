// Every metric of a controller that is a single number: its name, type and meaning, in one table, and the
// name under which the release before served it.
#pragma once
#include <cstddef>
#include <span>
#include <string_view>

namespace coralhitch::metrics {

// Handle of a metric. Grouped by who sets it; the table in metric_definitions.cpp is in the same order.
enum class Metric {
    // The leader's figures. They keep their last values on a controller that has stopped leading.
    leader_jobs,
    leader_jobs_with_pending_dependencies,
    leader_unstored_job_ends,
    leader_cancelled_jobs_to_remove,
    leader_machines,
    leader_suspected_machines,
    leader_machines_marked_for_deletion,
    leader_machines_quarantined,
    // The leader's scheduler.
    scheduler_tasks_placed,
    scheduler_draws,
    scheduler_redraws,
    scheduler_fallbacks,
    scheduler_tasks_packed,
    scheduler_tasks_preempted,
    // The leader's figures that are read when they are served; 0 on other controllers, but for the steps,
    // which
    // stay those of the last failover to this controller.
    leader_delegated_machines,
    leader_replication_members,
    leader_replication_messages,
    leader_replication_members_dropped,
    leader_failover_step,
    // Every controller.
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
};

enum class MetricType {
    counter,  // only grows, until the process or, for the leader's, its leadership ends
    gauge,    // grows and shrinks
};

// Where the release before served the same value: `family{label="PREFIX + label value + SUFFIX"}`.
struct LegacySeries {
    std::string_view family, label, prefix, suffix = "";
};

struct MetricDefinition {
    Metric metric;
    MetricType type;
    std::string_view name;
    std::string_view label;  // name of the metric's only label; empty: it has none
    std::string_view help;
    LegacySeries legacy;
};

// All of them, in the order of `Metric`: the definition of a metric is the element at its number.
std::span<const MetricDefinition> metric_definitions();
const MetricDefinition& definition_of(Metric metric);

// The value that the release before had in place of this label value; the same one for most.
std::string_view legacy_label_value(Metric metric, std::string_view label_value);

}  // namespace coralhitch::metrics
