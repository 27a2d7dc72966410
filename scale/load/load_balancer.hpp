// The load balancer of the users: which controllers are healthy, by probes, and which takes the next request.
#pragma once
#include <deque>
#include <limits>
#include <optional>
#include <vector>

#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// Probes and pauses go by the protocol. It differs in two things: a controller that comes back takes its
// share at once, and users' connections are shared, so that open requests are counted instead of open
// connections.
class LoadBalancer {
  public:
    // All references must outlive this.
    LoadBalancer(event_loop::Timers& timers, http::Requester& http, const Experiment& experiment);
    // A healthy controller with the fewest open requests; nothing if there is none.
    std::optional<std::uint32_t> pick();
    void request_opened(std::uint32_t controller) { ++backends_[controller].open_requests; }
    void request_closed(std::uint32_t controller) { --backends_[controller].open_requests; }

  private:
    struct Backend {
        std::deque<bool> probes;  // the last ones, whether they succeeded
        bool healthy = false, ever_healthy = false;
        double pause_s = 0, removed_at = std::numeric_limits<double>::lowest();
        int open_requests = 0;
    };
    void probe(std::uint32_t controller);
    void note_probe(Backend& backend, bool succeeded);

    event_loop::Timers& timers_;
    http::Requester& http_;
    const Experiment& experiment_;
    std::vector<Backend> backends_;
    std::size_t next_ = 0;
};

}  // namespace coralhitch::scale
