#include "metrics/metric_definitions.hpp"

#include <iterator>

namespace coralhitch::metrics {
namespace {

constexpr LegacySeries legacy_current(std::string_view prefix, std::string_view suffix = "") {
    return {"coralhitch_current", "of", prefix, suffix};
}
constexpr LegacySeries legacy_event(std::string_view name) {
    return {"coralhitch_events_total", "event", name};
}
constexpr LegacySeries legacy_placement(std::string_view name) {
    return {"coralhitch_placements_total", "what", name};
}

constexpr LegacySeries no_legacy_series{};

constexpr auto counter = MetricType::counter;
constexpr auto gauge = MetricType::gauge;

// clang-format off
constexpr MetricDefinition definitions[] = {
    {Metric::leader_jobs, gauge, "coralhitch_leader_jobs", "",
     "Live jobs in the leader's job table", legacy_current("jobs")},
    {Metric::leader_jobs_with_pending_dependencies, gauge, "coralhitch_leader_jobs_with_pending_dependencies", "",
     "Live jobs that wait for other jobs to end", legacy_current("awaiting")},
    {Metric::leader_dependency_steps, counter, "coralhitch_leader_dependency_steps_total", "",
     "Dependencies between jobs that were examined to propagate urgencies and cancellations", no_legacy_series},
    {Metric::leader_unstored_job_ends, gauge, "coralhitch_leader_unstored_job_ends", "",
     "Finished jobs whose final record is not stored yet", legacy_current("ends_waiting")},
    {Metric::leader_cancelled_jobs_to_remove, gauge, "coralhitch_leader_cancelled_jobs_to_remove", "",
     "Cancelled jobs without tasks whose live record is not removed yet", legacy_current("cancelled_to_drop")},
    {Metric::leader_machines, gauge, "coralhitch_leader_machines", "",
     "Machines in the leader's cluster state", legacy_current("machines")},
    {Metric::leader_suspected_machines, gauge, "coralhitch_leader_suspected_machines", "",
     "Machines that missed heartbeats or can't be reached; no task is started there", legacy_current("machines_suspected")},
    {Metric::leader_machines_marked_for_deletion, counter, "coralhitch_leader_machines_marked_for_deletion_total", "",
     "Machines that the leader decided to delete", legacy_event("condemned")},
    {Metric::leader_machines_quarantined, counter, "coralhitch_leader_machines_quarantined_total", "",
     "Machines that were set aside since tasks of several jobs failed there", legacy_event("sick_machine")},

    {Metric::scheduler_tasks_placed, counter, "coralhitch_scheduler_tasks_placed_total", "",
     "Tasks that got a machine", legacy_placement("tasks")},
    {Metric::scheduler_draws, counter, "coralhitch_scheduler_draws_total", "",
     "Random samples of candidate machines", legacy_placement("draws")},
    {Metric::scheduler_redraws, counter, "coralhitch_scheduler_redraws_total", "",
     "Samples that were drawn again since no machine in them fitted", legacy_placement("redraws")},
    {Metric::scheduler_fallbacks, counter, "coralhitch_scheduler_fallbacks_total", "",
     "Tasks for which all machines were searched; many mean that capacity is short", legacy_placement("fallbacks")},
    {Metric::scheduler_tasks_packed, counter, "coralhitch_scheduler_tasks_packed_total", "",
     "Tasks that were placed by bin packing", legacy_placement("packed")},
    {Metric::scheduler_tasks_preempted, counter, "coralhitch_scheduler_tasks_preempted_total", "",
     "Tasks that were stopped for others", legacy_placement("preempted")},

    {Metric::leader_delegated_machines, gauge, "coralhitch_leader_delegated_machines", "",
     "Machines whose heartbeats another controller may answer", legacy_current("machines_lent")},
    {Metric::leader_replication_members, gauge, "coralhitch_leader_replication_members", "",
     "Controllers whose replica holds every start that can have been sent", legacy_current("standby_members")},
    {Metric::leader_replication_messages, counter, "coralhitch_leader_replication_messages_total", "",
     "Messages with changes of the cluster state sent to replicas", legacy_current("standby_pieces")},
    {Metric::leader_replication_members_dropped, counter, "coralhitch_leader_replication_members_dropped_total", "",
     "Complete replicas that were dropped since they lagged or did not answer", legacy_current("standby_dropped")},
    {Metric::leader_failover_step, gauge, "coralhitch_leader_failover_step_seconds", "step",
     "Time from the claim of leadership to the end of a step of the failover", legacy_current("takeover: ")},

    {Metric::elections_won, counter, "coralhitch_elections_won_total", "",
     "Elections that this controller won", legacy_event("won")},
    {Metric::leaderships_lost, counter, "coralhitch_leaderships_lost_total", "",
     "Leaderships of this controller that ended", legacy_event("lost")},
    {Metric::replica_machines, gauge, "coralhitch_replica_machines", "",
     "Machines in this controller's replica of the leader's cluster state", legacy_current("standby_rows")},
    {Metric::live_jobs, gauge, "coralhitch_live_jobs", "",
     "Live jobs in this controller's copy for status queries", legacy_current("live_jobs")},
    {Metric::job_status_queries, counter, "coralhitch_job_status_queries_total", "",
     "Lookups of whether a job is live", legacy_current("questions")},
    {Metric::job_status_reads, counter, "coralhitch_job_status_reads_total", "",
     "Requests to the key-value store that these lookups shared", legacy_current("question_requests")},
    {Metric::submissions_deferred, counter, "coralhitch_submissions_deferred_total", "",
     "Submissions that admission control refused for now", legacy_current("submissions_put_off")},
    {Metric::cancellation_notices, gauge, "coralhitch_cancellation_notices", "",
     "Confirmed cancellations that are sent to the leader until it has them", legacy_current("cancellations_told")},
    {Metric::cancellation_notices_repeated, counter, "coralhitch_cancellation_notices_repeated_total", "",
     "Cancellation notices sent again after the first time", legacy_current("cancellations_repeated")},
    {Metric::heartbeats_answered_by_relay, counter, "coralhitch_heartbeats_answered_by_relay_total", "",
     "Repeated heartbeats that this controller answered for the leader", legacy_current("reports_repeated")},
    {Metric::heartbeats_relayed, counter, "coralhitch_heartbeats_relayed_total", "",
     "Heartbeats that this controller passed on to the leader", legacy_current("reports_relayed")},
    {Metric::heartbeats_expired, counter, "coralhitch_heartbeats_expired_total", "",
     "Heartbeats dropped since their workers had stopped waiting for the answer", legacy_current("reports_dropped")},
    {Metric::heartbeats_rejected, counter, "coralhitch_heartbeats_rejected_total", "reason",
     "Heartbeats refused on purpose", legacy_current("reports_refused: ")},
    {Metric::sockets_used, gauge, "coralhitch_sockets_used", "peer",
     "Sockets in use, by the kind of peer", legacy_current("sockets: ")},
    {Metric::sockets_used_peak, gauge, "coralhitch_sockets_used_peak", "peer",
     "Most sockets in use at once so far", legacy_current("sockets at most: ")},
    {Metric::sockets_refused, counter, "coralhitch_sockets_refused_total", "peer",
     "Connections refused since no socket was left for this kind of peer", legacy_current("sockets refused: ")},
    {Metric::kv_changes, counter, "coralhitch_kv_changes_total", "key_space",
     "Changes sent to the key-value store, by the first part of the key", legacy_current("state_changes_")},
    {Metric::kv_transactions_rejected, counter, "coralhitch_kv_transactions_rejected_total", "",
     "Transactions that the key-value store refused as too large", legacy_current("state_rejections")},
    {Metric::kv_requests_sent, counter, "coralhitch_kv_requests_sent_total", "queue",
     "Requests sent to the key-value store from a queue", legacy_current("queue_", "_sent")},
    {Metric::kv_requests_refused, counter, "coralhitch_kv_requests_refused_total", "queue",
     "Requests never sent since they would have waited too long", legacy_current("queue_", "_refused")},
    {Metric::kv_request_wait, counter, "coralhitch_kv_request_wait_seconds_total", "queue",
     "Time that sent requests waited in the queue, summed", legacy_current("queue_", "_waited_s")},
    {Metric::kv_request_longest_wait, gauge, "coralhitch_kv_request_longest_wait_seconds", "queue",
     "Longest time that a sent request waited in the queue", legacy_current("queue_", "_longest_wait_s")},
    {Metric::event_loop_long_turns, counter, "coralhitch_event_loop_long_turns_total", "work",
     "Turns of the event loop that took too long, by the work that took longest", no_legacy_series},
    {Metric::event_loop_longest_turn, gauge, "coralhitch_event_loop_longest_turn_seconds", "",
     "Longest turn of the event loop so far", no_legacy_series},
};
// clang-format on

constexpr bool definitions_are_in_order() {
    for (std::size_t index = 0; index < std::size(definitions); ++index)
        if (static_cast<std::size_t>(definitions[index].metric) != index) return false;
    return std::size(definitions) == static_cast<std::size_t>(Metric::event_loop_longest_turn) + 1;
}
static_assert(definitions_are_in_order(), "each metric is defined once, in the order of the enum");

bool is_kv_queue_metric(Metric metric) {
    return definition_of(metric).label == "queue";
}

}  // namespace

std::span<const MetricDefinition> metric_definitions() {
    return definitions;
}
const MetricDefinition& definition_of(Metric metric) {
    return definitions[static_cast<std::size_t>(metric)];
}
std::string_view legacy_label_value(Metric metric, std::string_view label_value) {
    return is_kv_queue_metric(metric) && label_value == "reads" ? "looks" : label_value;
}

}  // namespace coralhitch::metrics
