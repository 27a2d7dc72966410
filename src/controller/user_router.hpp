// The paths of the users' interface, and which controller serves them.
//
// A controller that alone is cut off from the key-value store forwards its users' requests to one that
// reaches it: they would otherwise come back to it until the load balancer has noticed.
// May touch: the user API, the peers (one forwarded request for each user's request), the request metrics.
#pragma once
#include <cstdint>
#include <string>

#include "api/user_api.hpp"
#include "config/settings.hpp"
#include "controller/kv_reachability.hpp"
#include "controller/peer_monitor.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "metrics/metrics.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::controller {

// All must outlive the router.
struct UserRouterDependencies {
    const event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    api::UserApi& user_api;
    metrics::Metrics& metrics;
    const KvReachability& kv_reachability;
    const PeerMonitor& peers;
};

// The target without its query.
[[nodiscard]] std::string path_of(const http::Request& request);

// Serves users' requests here, or forwards them to a peer.
class UserRouter {
  public:
    explicit UserRouter(UserRouterDependencies dependencies) : dependencies_(dependencies) {}

    // A user's request under protocol::paths::jobs. Answered here, or by a peer if this controller is cut
    // off.
    void serve(const http::Request& request, const http::Reply& reply);
    // A request that a peer forwarded. Never forwarded again: two controllers must not send a request back
    // and forth.
    void serve_forwarded(const protocol::PeerUserRequest& forwarded, const http::Reply& reply);

  private:
    void serve_here(const http::Request& request, http::Reply reply);
    void submit(const http::Request& request, const http::Reply& reply);
    [[nodiscard]] http::Reply counted(const char* route, http::Reply reply);
    [[nodiscard]] const PeerMonitor::Peer* peer_to_forward_to(const http::Request& request) const;
    void forward(const http::Request& request, const config::Peer& peer, http::Response fallback,
                 const http::Reply& reply);

    UserRouterDependencies dependencies_;
};

}  // namespace coralhitch::controller
