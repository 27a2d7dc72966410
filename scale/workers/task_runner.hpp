// The tasks on a hollow worker: they take up resources and end at drawn times, but run nothing.
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

struct TaskAttempt {
    protocol::TaskId task;
    std::uint64_t attempt = 0;
    bool operator<(const TaskAttempt& other) const {
        return std::tie(task, attempt) < std::tie(other.task, other.attempt);
    }
};

class TaskRunner {
  public:
    // The worker that the tasks are on.
    class Agent {
      public:
        virtual ~Agent() = default;
        // Ends all tasks if the lease has expired.
        virtual void check_lease() = 0;
        virtual void status_changed() = 0;
    };

    // Both must outlive this.
    TaskRunner(WorkerContext& context, Agent& agent, std::string machine);

    // Commands. Each may come again.
    void start(const TaskAttempt& attempt);
    void stop(const TaskAttempt& attempt);
    void forget(const TaskAttempt& attempt);

    // Of a gang's attempt: all its tasks have their image; or one of them has ended too early.
    void start_gang(const std::string& job, std::uint64_t attempt, double run_s);
    void stop_gang(const std::string& job, std::uint64_t attempt);

    // The lease expired then. No status is kept: the next agent epoch knows of none of them.
    void end_all(double expiry);
    // The machine runs nothing any more. Not recorded task by task.
    void halt();

    [[nodiscard]] std::vector<protocol::TaskStatus> statuses() const;
    // Tasks that have not ended.
    [[nodiscard]] std::size_t present() const { return present_; }

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
    // Nothing unless the task is fetching its image.
    Task* find_fetching(const TaskAttempt& attempt);
    // Nothing unless the task is there and has not ended.
    Task* find_present(const TaskAttempt& attempt);
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
    std::size_t present_ = 0;
    bool halted_ = false;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale
