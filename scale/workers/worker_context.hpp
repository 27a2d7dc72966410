// What the hollow workers of one process share.
#pragma once
#include <functional>
#include <map>
#include <random>
#include <string>

#include "event_loop/event_loop.hpp"
#include "scale/config/experiment.hpp"
#include "scale/workers/task_spec.hpp"
#include "scale/workers/worker_event.hpp"

namespace coralhitch::scale {

// Since the process began, of all its workers.
struct WorkerCounts {
    std::uint64_t heartbeats = 0, heartbeat_bytes = 0;
    std::uint64_t repeated_heartbeats = 0,
                  repeated_bytes = 0;  // of these: those that say what the last one did
    std::uint64_t answers = 0, answer_bytes = 0, unanswered = 0;
    std::uint64_t redirected = 0, rejected = 0, ignored_answers = 0;  // of the answers
    std::uint64_t direct_requests = 0, direct_bytes = 0, direct_answer_bytes = 0, rejected_commands = 0;
    std::uint64_t commands = 0, tasks_started = 0, tasks_ended = 0, leases_expired = 0;
    std::map<std::string, std::uint64_t> heartbeats_by_controller, ends_by_cause;
};

class WorkerContext {
  public:
    virtual ~WorkerContext() = default;
    virtual event_loop::EventLoop& loop() = 0;
    [[nodiscard]] virtual const Experiment& experiment() const = 0;
    virtual std::mt19937_64& random() = 0;
    virtual WorkerCounts& counts() = 0;
    // To the checker, in the order of the calls.
    virtual void record(const WorkerEvent& event) = 0;
    // Calls `done` now or later; with nullptr if there is no such job.
    virtual void find_task_spec(const std::string& job, std::function<void(const TaskSpec*)> done) = 0;
};

inline double draw_uniform(std::mt19937_64& random, double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
}

}  // namespace coralhitch::scale
