#include "controller/metrics_exporter.hpp"

#include "controller/kv_queues.hpp"

namespace coralhitch::controller {
using metrics::Metric;

namespace {
double to_double(std::uint64_t count) {
    return static_cast<double>(count);
}
}  // namespace

std::string MetricsExporter::text() {
    collect_leader();
    collect_user_api();
    collect_heartbeats();
    collect_sockets();
    collect_kv();
    collect_turns();
    metrics_.set(Metric::replica_machines, to_double(sources_.replica.replica().machines.size()));
    return metrics_.text();
}

void MetricsExporter::collect_leader() {
    const auto& leader = sources_.leader;
    const auto set = [&](Metric metric, std::uint64_t count) { metrics_.set(metric, to_double(count)); };
    set(Metric::leader_replication_members, leader ? leader->replication().in_sync_count() : 0);
    set(Metric::leader_replication_messages, leader ? leader->replication().batches_sent() : 0);
    set(Metric::leader_replication_members_dropped,
        leader ? leader->replication().in_sync_sessions_ended() : 0);
    set(Metric::leader_delegated_machines, leader ? leader->delegated_machines() : 0);
    if (!leader) return;
    for (auto& [step, after_s] : leader->steps().all())
        metrics_.set(Metric::leader_failover_step, std::string(step), after_s);
}

void MetricsExporter::collect_user_api() {
    const auto& live_jobs = sources_.user_api.live_jobs();
    metrics_.set(Metric::live_jobs, to_double(live_jobs.size()));
    metrics_.set(Metric::job_status_queries, to_double(live_jobs.read_count()));
    metrics_.set(Metric::job_status_reads, to_double(live_jobs.request_count()));
    metrics_.set(Metric::submissions_deferred, sources_.user_api.admission().rejected_count());
    metrics_.set(Metric::cancellation_notices, to_double(sources_.cancellations.pending()));
    metrics_.set(Metric::cancellation_notices_repeated, to_double(sources_.cancellations.resent()));
}

void MetricsExporter::collect_heartbeats() {
    const auto& relay = sources_.heartbeats.relay();
    metrics_.set(Metric::heartbeats_answered_by_relay, to_double(relay.answered_locally()));
    metrics_.set(Metric::heartbeats_relayed, to_double(relay.forwarded()));
    metrics_.set(Metric::heartbeats_expired, to_double(sources_.heartbeats.expired()));
    const auto& rejections = sources_.heartbeats.rejections();
    for (std::size_t reason = 0; reason < relay::heartbeat_rejection_labels.size(); ++reason)
        metrics_.set(Metric::heartbeats_rejected, std::string(relay::heartbeat_rejection_labels[reason]),
                     to_double(rejections.count(static_cast<relay::HeartbeatRejection>(reason))));
}

void MetricsExporter::collect_sockets() {
    if (!sockets_) return;
    for (std::size_t kind = 0; kind < http::peer_kinds; ++kind) {
        const auto peer = std::string(http::peer_kind_names[kind]);
        const auto& use = sockets_->usage(static_cast<http::PeerKind>(kind));
        metrics_.set(Metric::sockets_used, peer, to_double(use.used));
        metrics_.set(Metric::sockets_used_peak, peer, to_double(use.peak));
        metrics_.set(Metric::sockets_refused, peer, to_double(use.refused));
    }
}

void MetricsExporter::collect_kv() {
    for (auto& [key_space, changes] : sources_.kv.changes_by_kind())
        metrics_.set(Metric::kv_changes, key_space, changes);
    for (auto& queue : kv_queues) {
        const auto& counts = sources_.kv.queue_counts(queue.priority);
        metrics_.set(Metric::kv_requests_sent, queue.name, counts.sent);
        metrics_.set(Metric::kv_requests_refused, queue.name, counts.refused);
        metrics_.set(Metric::kv_request_wait, queue.name, counts.waited_s);
        metrics_.set(Metric::kv_request_longest_wait, queue.name, counts.longest_wait_s);
    }
    metrics_.set(Metric::kv_transactions_rejected, to_double(sources_.kv.rejections()));
}

void MetricsExporter::collect_turns() {
    if (!turns_) return;
    metrics_.set(Metric::event_loop_longest_turn, turns_->longest_turn_s());
    for (auto& [work, turns] : turns_->long_turns())
        metrics_.set(Metric::event_loop_long_turns, work, to_double(turns));
}

}  // namespace coralhitch::controller
