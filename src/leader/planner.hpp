// Runs the computation of plans. The daemon uses a separate thread, and simulations use a timer of the
// simulated host.
#pragma once
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "event_loop/event_loop.hpp"

namespace coralhitch::leader {

// Executes the computation of plans, one at a time.
class Planner {
  public:
    // Work computes a plan, and returns a task that applies the result on the event loop.
    using Work = std::function<event_loop::Task()>;
    virtual ~Planner() = default;
    // Starts the work. Work that was submitted earlier must have finished.
    virtual void submit(Work work) = 0;
};

// Runs the work on a thread of its own, and posts the task that it returns to the event loop.
class ThreadPlanner : public Planner {
  public:
    // Starts the thread. The loop must outlive the planner.
    explicit ThreadPlanner(event_loop::EventLoop& loop);
    // Waits for running work to finish, and joins the thread. Work that has not begun is discarded.
    ~ThreadPlanner() override;
    void submit(Work work) override;

  private:
    void run();
    event_loop::EventLoop& loop_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<Work> work_;
    bool stop_ = false;
    std::thread thread_;
};

}  // namespace coralhitch::leader
