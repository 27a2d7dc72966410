// Routes users' requests by path, to this controller's user API or to a peer.
//
// A controller that does not reach the key-value store forwards its users' requests to a peer that does.
// Otherwise the requests would fail and be repeated at the same controller until the load balancer has
// noticed.
//
// Side effects: calls the user API, sends at most one forwarded request to a peer for each user request, and
// updates the request metrics.
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

// References to other components, which must outlive the router.
struct UserRouterDependencies {
    const event_loop::Timers& timers;
    http::Requester& http;
    const config::Settings& settings;
    api::UserApi& user_api;
    metrics::Metrics& metrics;
    const KvReachability& kv_reachability;
    const PeerMonitor& peers;
};

// Returns the request's target without the query string.
[[nodiscard]] std::string path_of(const http::Request& request);

// A router that serves users' requests on this controller or forwards them to a peer. Not thread safe.
class UserRouter {
  public:
    explicit UserRouter(UserRouterDependencies dependencies) : dependencies_(dependencies) {}

    // Serves a user's request for a path below protocol::paths::jobs. Forwards it to a peer if this
    // controller does not reach the key-value store and a peer does. Answers 503 if that peer does not
    // answer.
    void serve(const http::Request& request, const http::Reply& reply);
    // Serves a request that a peer forwarded. Never forwards it again, so that two controllers do not send a
    // request back and forth.
    void serve_forwarded(const protocol::PeerUserRequest& forwarded, const http::Reply& reply);

  private:
    void serve_here(const http::Request& request, http::Reply reply);
    void submit(const http::Request& request, const http::Reply& reply);
    [[nodiscard]] http::Reply with_request_count(const char* route, http::Reply reply);
    [[nodiscard]] const PeerMonitor::Peer* peer_to_forward_to(const http::Request& request) const;
    void forward(const http::Request& request, const config::Peer& peer, http::Response fallback,
                 const http::Reply& reply);

    UserRouterDependencies dependencies_;
};

}  // namespace coralhitch::controller
