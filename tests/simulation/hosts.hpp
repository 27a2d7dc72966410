// The simulated processes: the worker on each machine, and the controllers.
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

// An instance of a task, as its worker reports it.
struct Task {
    std::string job;
    std::uint64_t attempt = 0;
    std::string status, cause;  // values of the protocol; the cause is empty until the task has exited
    bool saved = false;         // a checkpoint was saved when the task was stopped
};

// A machine together with its worker. Times are simulated seconds.
struct Worker {
    std::string id, addr, type, zone;
    bool spot = false, dead = false, hung = false, fails_every_task = false;
    std::uint64_t agent_epoch = 1, sequence = 0, token = 0;
    bool ignores_lease = false;  // a faulty worker that keeps its tasks after its lease has expired
    // `last_answered` is when the latest answered heartbeat was sent; the worker's lease counts from then.
    double created = 0, up_at = 0, last_answered = 0;
    double inbound_unreachable_until = 0;  // until then the worker can't open connections to controllers
    // Number of reboots. Answers to requests of an earlier incarnation are dropped.
    std::uint64_t incarnation = 0;
    std::size_t node = 0;               // number of the controller that gets the next heartbeat
    std::map<std::string, Task> tasks;  // by task id, `j-000412/0`
};

// A controller process with its settings, and its state at the load balancer. Times are simulated seconds.
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
    // Load balancer: whether users' requests are sent to this controller, the latest health checks, and the
    // pause before a controller that was taken out of rotation is put back.
    bool in_rotation = false, ever_in_rotation = false;
    std::deque<bool> health_checks;
    double readmission_pause_s = 3, removed_at = -1e9;
    std::uint64_t incarnation = 0;  // number of starts; responses to an earlier process are dropped
    double busy_until = 0;          // when all workers' messages that have arrived will be processed
};

}  // namespace coralhitch::simulation
