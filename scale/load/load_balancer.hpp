// The load balancer in front of the controllers: probes their health and selects one for each request.
#pragma once
#include <deque>
#include <limits>
#include <optional>
#include <vector>

#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// Probes controllers and removes unhealthy ones as the protocol specifies. It differs from the protocol in
// two ways: a controller that is healthy again receives its full share of the requests at once, and open
// requests are counted instead of open connections, because the simulated users share connections.
class LoadBalancer {
  public:
    // All references must outlive this.
    LoadBalancer(event_loop::Timers& timers, http::Requester& http, const Experiment& experiment);
    // Returns the healthy controller with the fewest open requests, or std::nullopt if no controller is
    // healthy.
    std::optional<std::uint32_t> pick();
    void request_opened(std::uint32_t controller) { ++backends_[controller].open_requests; }
    void request_closed(std::uint32_t controller) { --backends_[controller].open_requests; }

  private:
    struct Backend {
        std::deque<bool> probes;  // results of the last probes, true for success
        bool healthy = false, ever_healthy = false;
        double pause_s = 0, removed_at = std::numeric_limits<double>::lowest();
        int open_requests = 0;
    };
    void probe(std::uint32_t controller);
    void record_probe(Backend& backend, bool succeeded);

    event_loop::Timers& timers_;
    http::Requester& http_;
    const Experiment& experiment_;
    std::vector<Backend> backends_;
    std::size_t next_ = 0;
};

}  // namespace coralhitch::scale
