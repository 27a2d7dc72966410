// The simulated tasks on a hollow worker. They occupy resources and end at randomly drawn times, but run
// nothing.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "event_loop/lifetime_guard.hpp"
#include "protocol/model.hpp"
#include "scale/workers/image_cache.hpp"
#include "scale/workers/worker_context.hpp"

namespace coralhitch::scale {

// One attempt to run a task.
struct TaskAttempt {
    protocol::TaskId task;
    std::uint64_t attempt = 0;
    bool operator<(const TaskAttempt& other) const {
        return std::tie(task, attempt) < std::tie(other.task, other.attempt);
    }
};

// Executes the controllers' commands for the tasks of one hollow worker and records their events.
class TaskRunner {
  public:
    // The worker on which the tasks run.
    class Agent {
      public:
        virtual ~Agent() = default;
        // Calls end_all() if the lease has expired.
        virtual void check_lease() = 0;
        // Called whenever statuses() has changed.
        virtual void status_changed() = 0;
    };

    // `context` and `agent` must outlive this. `machine` is the worker's machine id.
    TaskRunner(WorkerContext& context, Agent& agent, std::string machine);

    // Commands of the controllers. A repeated command has no further effect.
    void start(const TaskAttempt& attempt);
    void stop(const TaskAttempt& attempt);
    void forget(const TaskAttempt& attempt);

    // Starts this worker's tasks of a gang's attempt, once all tasks of the gang have their image. They run
    // for `run_s` seconds.
    void start_gang(const std::string& job, std::uint64_t attempt, double run_s);
    // Ends this worker's running tasks of a gang's attempt, because another task of the gang has ended too
    // early.
    void stop_gang(const std::string& job, std::uint64_t attempt);

    // Ends all tasks at `expiry`, the time at which the lease expired. Their statuses are discarded, because
    // the next agent epoch reports none of them.
    void end_all(double expiry);
    // Discards all tasks, because the machine has failed. No event is recorded for the single tasks.
    void halt();

    [[nodiscard]] std::vector<protocol::TaskStatus> statuses() const;
    // Returns the number of tasks that have not ended.
    [[nodiscard]] std::size_t active_tasks() const { return active_tasks_; }

  private:
    struct Task {
        protocol::TaskState state = protocol::TaskState::fetching;
        protocol::ExitCause cause = protocol::ExitCause::none;
        event_loop::TimerId timer = 0;
        protocol::Resources request;
    };
    void fetch_image(const TaskAttempt& attempt, const TaskSpec* spec);
    void image_ready(const TaskAttempt& attempt, const TaskSpec& spec);
    void end_after(const TaskAttempt& attempt, double seconds, protocol::ExitCause cause);
    void end(const TaskAttempt& attempt, protocol::ExitCause cause, std::optional<double> time = {});
    double draw_fetch_s(const TaskSpec& spec);
    // Returns nullptr unless the task is fetching its image.
    Task* find_fetching(const TaskAttempt& attempt);
    // Returns nullptr unless the task exists and has not ended.
    Task* find_active(const TaskAttempt& attempt);
    [[nodiscard]] std::vector<TaskAttempt> attempts_of(const std::string& job, std::uint64_t attempt,
                                                       protocol::TaskState state) const;
    [[nodiscard]] bool has_another_attempt(const protocol::TaskId& task) const;
    [[nodiscard]] protocol::Resources free_resources() const;
    [[nodiscard]] WorkerEvent event(WorkerEventKind kind, const TaskAttempt& attempt) const;

    WorkerContext& context_;
    Agent& agent_;
    std::string machine_;
    ImageCache images_;
    std::map<TaskAttempt, Task> tasks_;
    std::size_t active_tasks_ = 0;
    bool halted_ = false;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale
