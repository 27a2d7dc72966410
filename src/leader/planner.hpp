// Runs planning beside the loop: on a thread of its own in the daemon, at once in simulated time.
#pragma once
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "event_loop/event_loop.hpp"

namespace coralhitch::leader {

// Where planning runs. One piece of work at a time.
class Planner {
  public:
    // The work runs beside the loop and returns what the loop is to do with its result.
    using Work = std::function<event_loop::Task()>;
    virtual ~Planner() = default;
    // Starts the work. What was submitted before must have ended.
    virtual void submit(Work work) = 0;
};

// Runs the work on a thread of its own, and posts its result to the loop.
class ThreadPlanner : public Planner {
  public:
    // The loop must outlive the planner.
    explicit ThreadPlanner(event_loop::EventLoop& loop);
    // Waits for the work under way.
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
