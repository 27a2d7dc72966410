// The machines with their workers, and the controllers, as processes of the simulation.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "http/message.hpp"
#include "simulation/host_timers.hpp"

namespace coralhitch::controller {
class Controller;
}

namespace coralhitch::simulation {

struct Task {
    std::string job;
    std::uint64_t attempt = 0;
    std::string status, cause;
    bool saved = false;
};

struct Worker {
    std::string id, addr, type, zone;
    bool spot = false, dead = false, hung = false, fails_every_task = false;
    std::uint64_t agent_epoch = 1, sequence = 0, token = 0;
    bool ignores_lease = false;  // for ever, whatever its lease says: a broken worker
    double created = 0, up_at = 0, last_answered = 0;
    double inbound_unreachable_until = 0;  // it can't open connections to controllers
    std::uint64_t incarnation = 0;  // reboots so far: what was on its way to the one before does not reach it
    std::size_t node = 0;
    std::map<std::string, Task> tasks;
};

struct Node {
    Node();
    Node(Node&&) noexcept;
    Node& operator=(Node&&) noexcept;
    ~Node();
    config::Settings settings;
    std::unique_ptr<HostTimers> timers;
    std::unique_ptr<http::Requester> http;
    std::unique_ptr<InlinePlanner> planner;
    std::unique_ptr<controller::Controller> controller;
    bool up = false;
    // What the load balancer makes of its health.
    bool in_rotation = false, ever_in_rotation = false;
    std::deque<bool> health_checks;
    double readmission_pause_s = 3, removed_at = -1e9;
    std::uint64_t incarnation = 0;  // processes so far: what is answered to one is not for the next
    double busy_until = 0;          // with what workers sent
};

}  // namespace coralhitch::simulation
