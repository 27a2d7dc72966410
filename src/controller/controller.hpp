// One controller: its interfaces, its part in the election, and the leader's work while it leads.
#pragma once
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

#include "api/user_api.hpp"
#include "http/socket_budget.hpp"
#include "leader/leader.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/cancellation_notices.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_relay.hpp"
#include "relay/heartbeat_tracker.hpp"
#include "replication/follower.hpp"

namespace coralhitch::controller {

class Controller : public api::ClusterQueries {
  public:
    Controller(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
               leader::Planner& planner, std::uint64_t seed);
    ~Controller() override;
    void start();
    void serve(http::Request request, http::Reply reply);       // users, workers, health, metrics
    void serve_peer(http::Request request, http::Reply reply);  // the other controllers

    // To be told in metrics and in the log; must live longer than this.
    void watch_sockets(const http::SocketBudget& sockets) { sockets_ = &sockets; }
    relay::HeartbeatRejections& refusals() { return relay_.rejections(); }

    bool leads() const { return leader_ != nullptr; }
    bool healthy() const;

    const std::vector<protocol::MachineType>& machine_types() const override { return types_; }
    void task_counts(const std::string& id, TaskCountsCallback done) override;
    void notify_cancelled(const std::string& id, std::uint64_t version) override;

  private:
    struct PeerState {
        config::Peer peer;
        protocol::PeerPing last;
        double heard = -1, whole = -1;  // a ping, and one with its lists
        bool answered = false;          // the first ping, or the connection failed
    };
    void user_route(const http::Request& r, const std::string& path, http::Reply reply);
    void jobs_route(const http::Request& r, const std::string& path, http::Reply reply);
    std::string metrics_text();
    const PeerState* peer_with_state(const http::Request& r) const;
    void ask_peer(const http::Request& r, http::Response refusal, http::Reply reply);
    void queue_heartbeat(relay::PendingHeartbeat report);
    void handle_queued_heartbeats();
    void handle_heartbeat(relay::PendingHeartbeat report);
    bool others_may_serve() const;
    relay::LeaderEndpoint relay_target() const;
    void on_elected(std::uint64_t version);
    void on_lease_lost();
    void ping_peers();
    void check_state();
    void log_queues();
    void heard_ping(protocol::PeerPing ping);
    protocol::PeerPing own_ping(bool brief);
    bool fresh(const PeerState& p) const;
    std::optional<std::size_t> heartbeats_seen_by_peers(const std::map<std::string, double>& silent) const;
    bool should_defer() const;
    std::uint64_t followed() const;
    bool resign_leadership();
    bool state_ok() const;
    void learn_types();
    void set_types(std::vector<protocol::MachineType> types);
    void store_types();
    const config::Peer* leading_peer() const;

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    leader::Planner& planner_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_;
    metrics::Metrics metrics_;
    kv::KvClient state_;
    election::Election election_;
    cloud::CloudClient cloud_;
    api::UserApi users_;
    std::vector<protocol::MachineType> types_;
    std::string stored_types_;
    std::map<std::string, PeerState> peers_;
    std::shared_ptr<leader::Leader> leader_;
    double last_resigned_ = -1, started_ = 0;
    relay::HeartbeatRelay relay_;
    relay::HeartbeatQueue reports_;
    relay::CancellationNotices cancellations_;
    const http::SocketBudget* sockets_ = nullptr;
    std::uint64_t sockets_refused_ = 0;  // when the log last told
    bool hearing_ = false;
    replication::Follower follower_;
    std::unordered_map<std::string, api::TaskCounts> counts_;  // from the leader's last ping
    double counted_ = -1;
    protocol::PeerImages remembered_;  // from the leader, for when this one leads
    // Machines that the leader suspected when it last said so, and since when.
    std::map<std::string, double> suspected_;
    std::uint64_t pings_ = 0;
    relay::HeartbeatTracker heard_;
    double worse_since_ = -1;  // that this one can't serve users, though others may
    double queues_logged_ = -1, refused_logged_ = 0;
    bool state_seen_ = false;
};

}  // namespace coralhitch::controller
