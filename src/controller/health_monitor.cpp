#include "controller/health_monitor.hpp"

#include "kv/keys.hpp"

namespace coralhitch::controller {
namespace {
// A controller becomes unhealthy when only its peers have been able to serve users for this long.
constexpr double unhealthy_after_heartbeat_periods = 1.0 / 2;
}  // namespace

bool HealthMonitor::healthy() const {
    if (!kv_has_answered_ || machine_types_.types().empty()) return false;
    return kv_reachability_.reachable() || !only_peers_can_serve_since_ ||
           timers_.now() - *only_peers_can_serve_since_ <
               settings_.heartbeat_interval_s * unhealthy_after_heartbeat_periods;
}

// Returns true if a peer reaches the key-value store. Also returns true if there are peers and none has
// pinged recently: then this controller is probably the one that is cut off, and the load balancer would
// otherwise keep sending users to it until the network has recovered.
bool HealthMonitor::peers_may_serve() const {
    if (peers_.peer_that_reaches_kv(0)) return true;
    return peers_.has_peers() && !peers_.any_reachable();
}

void HealthMonitor::check() {
    if (kv_reachability_.reachable() || !peers_may_serve())
        only_peers_can_serve_since_.reset();
    else if (!only_peers_can_serve_since_)
        only_peers_can_serve_since_ = timers_.now();
    kv_.get(kv::keys::leader, kv::RequestPriority::lease,
            [this](const kv::GetResult& result) { kv_has_answered_ |= result.ok(); });
}

}  // namespace coralhitch::controller
