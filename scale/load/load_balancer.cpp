#include "scale/load/load_balancer.hpp"

#include <algorithm>

#include "protocol/user_api.hpp"

namespace coralhitch::scale {
namespace {

// These values are set by the protocol.
constexpr double probe_interval_s = 1, probe_timeout_s = 1, min_pause_s = 3, max_pause_s = 60,
                 pause_doubles_within_s = 120;
constexpr std::size_t probes_kept = 6;
constexpr int failures_to_remove = 3;

}  // namespace

LoadBalancer::LoadBalancer(event_loop::Timers& timers, http::Requester& http, const Experiment& experiment)
    : timers_(timers), http_(http), experiment_(experiment), backends_(experiment.controllers) {
    for (std::uint32_t controller = 0; controller < experiment.controllers; ++controller) probe(controller);
}

void LoadBalancer::probe(std::uint32_t controller) {
    http_.send(experiment_.controller_addr(controller), {"GET", std::string(protocol::paths::health), {}},
               probe_timeout_s, [this, controller](const std::optional<http::Response>& response) {
                   record_probe(backends_[controller], response && response->status == 200);
               });
    timers_.after(probe_interval_s, [this, controller] { probe(controller); });
}

void LoadBalancer::record_probe(Backend& backend, bool succeeded) {
    double now = timers_.now();
    auto& probes = backend.probes;
    probes.push_back(succeeded);
    if (probes.size() > probes_kept) probes.pop_front();
    auto failed = std::count(probes.begin(), probes.end(), false);
    bool twice = probes.size() >= 2 && probes.back() == probes[probes.size() - 2];
    if (backend.healthy && !succeeded && (twice || failed >= failures_to_remove)) {
        bool again = now - backend.removed_at < pause_doubles_within_s;
        backend.healthy = false;
        backend.pause_s = again ? std::min(max_pause_s, backend.pause_s * 2) : min_pause_s;
        backend.removed_at = now;
        return;
    }
    if (backend.healthy || !succeeded) return;
    if (!backend.ever_healthy || (twice && now - backend.removed_at >= backend.pause_s)) {
        backend.healthy = backend.ever_healthy = true;
        probes.clear();
    }
}

std::optional<std::uint32_t> LoadBalancer::pick() {
    std::optional<std::uint32_t> best;
    for (std::size_t offset = 0; offset < backends_.size(); ++offset) {
        auto controller = static_cast<std::uint32_t>((next_ + offset) % backends_.size());
        auto& backend = backends_[controller];
        if (backend.healthy && (!best || backend.open_requests < backends_[*best].open_requests))
            best = controller;
    }
    ++next_;
    return best;
}

}  // namespace coralhitch::scale
