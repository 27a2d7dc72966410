// The state and services that the hollow workers of one process share.
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

// Counters of all workers of a process since it started. Those ending in `_bytes` count bytes of HTTP
// messages.
struct WorkerCounts {
    std::uint64_t heartbeats = 0, heartbeat_bytes = 0;
    // Heartbeats that differ from the worker's previous one only in the sequence number, and their bytes.
    std::uint64_t repeated_heartbeats = 0, repeated_bytes = 0;
    std::uint64_t answers = 0, answer_bytes = 0, unanswered = 0;
    std::uint64_t redirected = 0, rejected = 0, ignored_answers = 0;  // included in `answers`
    std::uint64_t direct_requests = 0, direct_bytes = 0, direct_answer_bytes = 0, rejected_commands = 0;
    std::uint64_t commands = 0, tasks_started = 0, tasks_ended = 0, leases_expired = 0;
    std::map<std::string, std::uint64_t> heartbeats_by_controller, ends_by_cause;
};

// Interface of a worker process towards its hollow workers.
class WorkerContext {
  public:
    virtual ~WorkerContext() = default;
    virtual event_loop::EventLoop& loop() = 0;
    [[nodiscard]] virtual const Experiment& experiment() const = 0;
    virtual std::mt19937_64& random() = 0;
    virtual WorkerCounts& counts() = 0;
    // Sends the event to the checker. Events arrive in the order of the calls.
    virtual void record(const WorkerEvent& event) = 0;
    // Calls `done` with the job's spec, before this returns or later. Passes nullptr if there is no such job.
    virtual void find_task_spec(const std::string& job, std::function<void(const TaskSpec*)> done) = 0;
};

// Draws a number in [from, to) with uniform distribution.
inline double draw_uniform(std::mt19937_64& random, double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
}

}  // namespace coralhitch::scale
