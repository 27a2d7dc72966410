// The load balancer of the users: which controllers are healthy, by probes, and which takes the next request.
#pragma once
#include <deque>
#include <optional>
#include <random>
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
    LoadBalancer(event_loop::Timers& timers, http::Requester& http, const Experiment& experiment);
    // A healthy controller with the fewest open requests; nothing if there is none.
    std::optional<std::uint32_t> pick();
    void opened(std::uint32_t k) { ++nodes_[k].open; }
    void closed(std::uint32_t k) { --nodes_[k].open; }

  private:
    struct Node {
        std::deque<bool> probes;
        bool healthy = false, ever = false;
        double pause = 0, removed_at = -1e9;
        int open = 0;
    };
    void probe(std::uint32_t k);
    void judge(Node& n, bool ok);
    event_loop::Timers& timers_;
    http::Requester& http_;
    const Experiment& experiment_;
    std::vector<Node> nodes_;
    std::size_t turn_ = 0;
};

}  // namespace coralhitch::scale
