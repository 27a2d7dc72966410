// Coordinates the tasks of a gang. Real tasks connect to each other. Simulated tasks get messages from the
// load process instead, because it receives the events of all workers.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "scale/config/experiment.hpp"
#include "scale/workers/task_spec.hpp"
#include "scale/workers/worker_event.hpp"

namespace coralhitch::scale {

// Notifies the worker processes when all tasks of a gang's attempt have their image, and when a task of a
// running gang has ended too early. The second message is sent after the delay in which tasks notice the loss
// of a peer.
class GangCoordinator {
  public:
    // All references must outlive this.
    GangCoordinator(event_loop::EventLoop& loop, http::Client& http, const Experiment& experiment);
    // Handles an event when it arrives. `spec` is the spec of the event's job, or nullptr if the event has no
    // known job. Calls `started` when the gang's last task has its image.
    void handle(const WorkerEvent& event, const TaskSpec* spec, const std::function<void()>& started);

  private:
    struct AttemptId {
        std::string job;
        std::uint64_t attempt = 0;
        bool operator<(const AttemptId& other) const {
            return std::tie(job, attempt) < std::tie(other.job, other.attempt);
        }
    };
    struct Attempt {
        std::set<std::uint32_t> waiting;  // indices of the tasks that have their image
        bool running = false, over = false;
    };
    struct Member {
        AttemptId attempt;
        std::uint32_t task = 0;
        bool operator<(const Member& other) const {
            return std::tie(attempt, task) < std::tie(other.attempt, other.task);
        }
    };
    void handle_machine_gone(const std::string& machine);
    void notify(const nlohmann::json& message);
    void end_early(const AttemptId& id);

    event_loop::EventLoop& loop_;
    http::Client& http_;
    const Experiment& experiment_;
    std::map<AttemptId, Attempt> attempts_;
    std::map<std::string, std::set<Member>> on_machine_;
};

}  // namespace coralhitch::scale
