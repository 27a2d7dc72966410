#include "scale/report/controller_metrics.hpp"

namespace coralhitch::scale {
namespace {

// A field of the result files, and the metric from which it is read.
struct ResultField {
    const char* field = "";
    const char* metric = "";
    // Name of the metric's label, or nullptr. If there is a label, the name of the result field is `field`,
    // the label's value and `suffix`, joined.
    const char* label = nullptr;
    const char* suffix = "";
};

constexpr ResultField event_fields[] = {
    {"won", "coralhitch_elections_won_total"},
    {"lost", "coralhitch_leaderships_lost_total"},
    {"condemned", "coralhitch_leader_machines_marked_for_deletion_total"},
    {"sick_machine", "coralhitch_leader_machines_quarantined_total"},
};
constexpr ResultField figure_fields[] = {
    {"jobs", "coralhitch_leader_jobs"},
    {"awaiting", "coralhitch_leader_jobs_with_pending_dependencies"},
    {"ends_waiting", "coralhitch_leader_unstored_job_ends"},
    {"cancelled_to_drop", "coralhitch_leader_cancelled_jobs_to_remove"},
    {"machines", "coralhitch_leader_machines"},
    {"machines_suspected", "coralhitch_leader_suspected_machines"},
    {"machines_lent", "coralhitch_leader_delegated_machines"},
    {"standby_members", "coralhitch_leader_replication_members"},
    {"standby_pieces", "coralhitch_leader_replication_messages_total"},
    {"standby_dropped", "coralhitch_leader_replication_members_dropped_total"},
    {"takeover: ", "coralhitch_leader_failover_step_seconds", "step"},
    {"standby_rows", "coralhitch_replica_machines"},
    {"live_jobs", "coralhitch_live_jobs"},
    {"questions", "coralhitch_job_status_queries_total"},
    {"question_requests", "coralhitch_job_status_reads_total"},
    {"submissions_put_off", "coralhitch_submissions_deferred_total"},
    {"cancellations_told", "coralhitch_cancellation_notices"},
    {"cancellations_repeated", "coralhitch_cancellation_notices_repeated_total"},
    {"reports_repeated", "coralhitch_heartbeats_answered_by_relay_total"},
    {"reports_relayed", "coralhitch_heartbeats_relayed_total"},
    {"reports_dropped", "coralhitch_heartbeats_expired_total"},
    {"reports_refused: ", "coralhitch_heartbeats_rejected_total", "reason"},
    {"sockets: ", "coralhitch_sockets_used", "peer"},
    {"sockets at most: ", "coralhitch_sockets_used_peak", "peer"},
    {"sockets refused: ", "coralhitch_sockets_refused_total", "peer"},
    {"state_changes_", "coralhitch_kv_changes_total", "key_space"},
    {"state_rejections", "coralhitch_kv_transactions_rejected_total"},
    {"queue_", "coralhitch_kv_requests_sent_total", "queue", "_sent"},
    {"queue_", "coralhitch_kv_requests_refused_total", "queue", "_refused"},
    {"queue_", "coralhitch_kv_request_wait_seconds_total", "queue", "_waited_s"},
    {"queue_", "coralhitch_kv_request_longest_wait_seconds", "queue", "_longest_wait_s"},
};

// Returns the name of a label value in the result files. They call the queue of reads `looks`, its name in
// the first version.
std::string label_in_results(const ResultField& field, const std::string& label_value) {
    return std::string_view(field.field) == "queue_" && label_value == "reads" ? "looks" : label_value;
}

template <std::size_t count>
std::map<std::string, double> read_fields(const PrometheusText& text, const ResultField (&fields)[count]) {
    std::map<std::string, double> values;
    for (auto& field : fields) {
        if (!field.label) {
            if (auto value = text.value(field.metric)) values[field.field] = *value;
            continue;
        }
        for (auto& [label_value, sum] : text.sums_by_label(field.metric, field.label))
            values[field.field + label_in_results(field, label_value) + field.suffix] = sum;
    }
    return values;
}

}  // namespace

ControllerMetrics read_controller_metrics(const PrometheusText& text) {
    ControllerMetrics metrics;
    metrics.requests_by_route = text.sums_by_label("coralhitch_requests_total", "route");
    metrics.events = read_fields(text, event_fields);
    metrics.figures = read_fields(text, figure_fields);
    metrics.planning_rounds = text.value("coralhitch_plan_seconds_count").value_or(0);
    metrics.planning_s = text.value("coralhitch_plan_seconds_sum").value_or(0);
    return metrics;
}

void to_json(nlohmann::json& out, const ControllerMetrics& metrics) {
    out = {{"requests", metrics.requests_by_route},
           {"events", metrics.events},
           {"gauges", metrics.figures},
           {"plans", metrics.planning_rounds},
           {"plan_s", metrics.planning_s}};
}

}  // namespace coralhitch::scale
