// Collects the statistics of a controller's components for GET /metrics. The leader and the user request
// handlers update their metrics themselves.
//
// Side effects: writes the metrics; only reads the other components.
#pragma once
#include <string>

#include "api/user_api.hpp"
#include "controller/heartbeat_intake.hpp"
#include "controller/local_leader.hpp"
#include "event_loop/turn_monitor.hpp"
#include "http/socket_budget.hpp"
#include "kv/kv_client.hpp"
#include "metrics/metrics.hpp"
#include "relay/cancellation_notices.hpp"
#include "replication/follower.hpp"

namespace coralhitch::controller {

// The components whose statistics are exported. They must outlive the exporter.
struct MetricsSources {
    api::UserApi& user_api;
    const kv::KvClient& kv;
    HeartbeatIntake& heartbeats;
    const relay::CancellationNotices& cancellations;
    const replication::Follower& replica;
    const LocalLeader& leader;
};

// A collector that updates the metrics from the components' statistics on each request. Not thread safe.
class MetricsExporter {
  public:
    MetricsExporter(metrics::Metrics& metrics, MetricsSources sources)
        : metrics_(metrics), sources_(sources) {}

    // Includes the socket metrics, which are left out otherwise. `sockets` must outlive the exporter.
    void watch_sockets(const http::SocketBudget& sockets) { sockets_ = &sockets; }
    // Includes the metrics of the event loop's turns. `turns` must outlive the exporter.
    void watch_turns(const event_loop::TurnMonitor& turns) { turns_ = &turns; }
    // Returns the current values of all metrics in the Prometheus text format.
    [[nodiscard]] std::string text();

  private:
    void collect_leader();
    void collect_user_api();
    void collect_heartbeats();
    void collect_sockets();
    void collect_kv();
    void collect_turns();

    metrics::Metrics& metrics_;
    MetricsSources sources_;
    const http::SocketBudget* sockets_ = nullptr;
    const event_loop::TurnMonitor* turns_ = nullptr;
};

}  // namespace coralhitch::controller
