// What the tasks of a gang learn of each other. Real ones connect to each other; hollow ones are told by the
// load process, which sees the events of all workers.
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

// Notifies the worker processes when all tasks of a gang's attempt have their image, and when one of a
// running gang has ended too early.
class GangCoordinator {
  public:
    // All references must outlive this.
    GangCoordinator(event_loop::EventLoop& loop, http::Client& http, const Experiment& experiment);
    // Called for each event as it comes. `spec`: of the event's job; nullptr if there is none. `started` is
    // called when the gang's last task has its image.
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
        std::set<std::uint32_t> waiting;  // tasks with their image
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
