#include "scale/balancer.hpp"

#include <algorithm>

#include "protocol/user_api.hpp"

namespace coralhitch::scale {
namespace {
// The protocol's own figures.
constexpr double probe_every_s = 1, probe_timeout_s = 1, least_pause_s = 3, most_pause_s = 60,
                 doubles_within_s = 120;
constexpr std::size_t looked_at = 6;
}  // namespace

Balancer::Balancer(event_loop::Timers& timers, http::Requester& http, const Experiment& e)
    : timers_(timers), http_(http), experiment_(e), nodes_(e.controllers) {
    for (std::uint32_t k = 0; k < e.controllers; ++k) probe(k);
}
void Balancer::probe(std::uint32_t k) {
    http_.send(experiment_.controller_addr(k), {"GET", std::string(protocol::paths::health), {}},
               probe_timeout_s,
               [this, k](std::optional<http::Response> r) { judge(nodes_[k], r && r->status == 200); });
    timers_.after(probe_every_s, [this, k] { probe(k); });
}
void Balancer::judge(Node& n, bool ok) {
    double now = timers_.now();
    n.probes.push_back(ok);
    if (n.probes.size() > looked_at) n.probes.pop_front();
    auto failed = std::count(n.probes.begin(), n.probes.end(), false);
    bool twice = n.probes.size() >= 2 && n.probes.back() == n.probes[n.probes.size() - 2];
    if (n.healthy && !ok && (twice || failed >= 3)) {
        n.healthy = false;
        n.pause = now - n.removed_at < doubles_within_s ? std::min(most_pause_s, n.pause * 2) : least_pause_s;
        n.removed_at = now;
    } else if (!n.healthy && ok && (!n.ever || (twice && now - n.removed_at >= n.pause))) {
        n.healthy = n.ever = true;
        n.probes.clear();
    }
}
std::optional<std::uint32_t> Balancer::pick() {
    std::optional<std::uint32_t> best;
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        auto n = static_cast<std::uint32_t>((turn_ + k) % nodes_.size());
        if (nodes_[n].healthy && (!best || nodes_[n].open < nodes_[*best].open)) best = n;
    }
    ++turn_;
    return best;
}

}  // namespace coralhitch::scale
