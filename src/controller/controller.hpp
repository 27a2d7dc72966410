// One controller without its network: creates its components, reacts to election results, and holds the
// leader object while it leads.
//
// All functions run on the event loop's thread.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "api/user_api.hpp"
#include "controller/health_monitor.hpp"
#include "controller/heartbeat_intake.hpp"
#include "controller/kv_reachability.hpp"
#include "controller/local_leader.hpp"
#include "controller/machine_type_catalog.hpp"
#include "controller/metrics_exporter.hpp"
#include "controller/overload_log.hpp"
#include "controller/peer_message_handler.hpp"
#include "controller/peer_monitor.hpp"
#include "controller/task_count_service.hpp"
#include "controller/user_router.hpp"
#include "http/socket_budget.hpp"
#include "leader/leader.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "relay/cancellation_notices.hpp"
#include "relay/heartbeat_tracker.hpp"
#include "replication/follower.hpp"

namespace coralhitch::controller {

// A controller process without its HTTP servers: requests are passed to `serve` and `serve_peer`.
class Controller : public api::ClusterQueries {
  public:
    // All references must outlive the controller. `seed` initialises the random number generator, which also
    // generates the incarnation.
    Controller(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
               leader::Planner& planner, std::uint64_t seed);
    ~Controller() override;
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    // Starts to take part in the election and to send requests. Call once.
    void start();
    // Serves a request of a user, an agent, the load balancer or Prometheus. Calls `reply` before it returns
    // or later.
    void serve(http::Request request, http::Reply reply);
    // Serves a request of another controller.
    void serve_peer(const http::Request& request, const http::Reply& reply);

    // Includes the use of `sockets` in the metrics and the log. `sockets` must outlive the controller.
    void watch_sockets(const http::SocketBudget& sockets);
    // Includes the turns of the event loop in the metrics. `turns` must outlive the controller.
    void watch_turns(const event_loop::TurnMonitor& turns) { metrics_exporter_.watch_turns(turns); }
    // Returns the counts of heartbeats that this controller rejected.
    [[nodiscard]] relay::HeartbeatRejections& heartbeat_rejections() { return heartbeats_.rejections(); }

    [[nodiscard]] bool leads() const { return static_cast<bool>(leader_); }
    [[nodiscard]] bool healthy() const { return health_.healthy(); }

    // Implementation of api::ClusterQueries, for the user API.
    const std::vector<protocol::MachineType>& machine_types() const override {
        return machine_types_.types();
    }
    void task_counts(const std::string& id, TaskCountsCallback done) override;
    void notify_cancelled(const std::string& id, std::uint64_t version) override;

  private:
    void on_elected(protocol::LeaderVersion version);
    void on_lease_lost();
    [[nodiscard]] leader::LeaderDependencies leader_dependencies();
    bool approve_resignation();
    void check_periodically();

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    leader::Planner& planner_;
    std::mt19937_64 random_;
    protocol::Incarnation incarnation_;
    metrics::Metrics metrics_;
    std::optional<double> last_resigned_at_;  // seconds of the steady clock

    // In order of construction: each member may hold references to the members above it.
    kv::KvClient kv_;
    KvReachability kv_reachability_;
    election::Election election_;
    cloud::CloudClient cloud_;
    LocalLeader leader_;
    MachineTypeCatalog machine_types_;
    replication::Follower replica_;
    relay::HeartbeatTracker heartbeat_tracker_;
    PeerMonitor peers_;
    TaskCountService task_counts_;
    HeartbeatIntake heartbeats_;
    relay::CancellationNotices cancellations_;
    api::UserApi user_api_;
    UserRouter users_;
    PeerMessageHandler peer_messages_;
    HealthMonitor health_;
    MetricsExporter metrics_exporter_;
    OverloadLog overload_log_;
};

}  // namespace coralhitch::controller
