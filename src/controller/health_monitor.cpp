#include "controller/health_monitor.hpp"

#include "kv/keys.hpp"

namespace coralhitch::controller {
namespace {
// Heartbeat periods for which the others must have been able to serve users alone.
constexpr double unhealthy_after_periods = 1.0 / 2;
}  // namespace

bool HealthMonitor::healthy() const {
    if (!kv_has_answered_ || machine_types_.types().empty()) return false;
    return kv_reachability_.reachable() || !unable_since_ ||
           timers_.now() - *unable_since_ < settings_.heartbeat_interval_s * unhealthy_after_periods;
}

// A controller that no other one pings either is the one that is cut off, as far as it can know: the balancer
// would leave its users with it for as long as that lasts.
bool HealthMonitor::others_may_serve() const {
    if (peers_.peer_that_reaches_kv(0)) return true;
    return peers_.has_peers() && !peers_.any_reachable();
}

void HealthMonitor::check() {
    if (kv_reachability_.reachable() || !others_may_serve())
        unable_since_.reset();
    else if (!unable_since_)
        unable_since_ = timers_.now();
    kv_.get(kv::keys::leader, kv::RequestPriority::lease,
            [this](kv::GetResult result) { kv_has_answered_ |= result.ok(); });
}

}  // namespace coralhitch::controller
