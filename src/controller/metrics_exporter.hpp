// Collects the figures that the parts of a controller keep, for GET /metrics. The leader and the request
// routes set theirs as they change.
// May touch: the metrics; reads everything else.
#pragma once
#include <string>

#include "api/user_api.hpp"
#include "controller/heartbeat_intake.hpp"
#include "controller/local_leader.hpp"
#include "http/socket_budget.hpp"
#include "kv/kv_client.hpp"
#include "metrics/metrics.hpp"
#include "relay/cancellation_notices.hpp"
#include "replication/follower.hpp"

namespace coralhitch::controller {

// All must outlive the exporter.
struct MetricsSources {
    api::UserApi& user_api;
    const kv::KvClient& kv;
    HeartbeatIntake& heartbeats;
    const relay::CancellationNotices& cancellations;
    const replication::Follower& replica;
    const LocalLeader& leader;
};

// Fills the metrics from the parts' own figures whenever they are asked for.
class MetricsExporter {
  public:
    MetricsExporter(metrics::Metrics& metrics, MetricsSources sources)
        : metrics_(metrics), sources_(sources) {}

    // `sockets` must outlive the exporter. Without it no figures of sockets are served.
    void watch_sockets(const http::SocketBudget& sockets) { sockets_ = &sockets; }
    // All metrics as of now, in Prometheus' text format.
    [[nodiscard]] std::string text();

  private:
    void collect_leader();
    void collect_user_api();
    void collect_heartbeats();
    void collect_sockets();
    void collect_kv();

    metrics::Metrics& metrics_;
    MetricsSources sources_;
    const http::SocketBudget* sockets_ = nullptr;
};

}  // namespace coralhitch::controller
