// Runs planning beside the loop: on a thread of its own in the daemon, at once in simulated time.
#pragma once
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "event_loop/event_loop.hpp"

namespace coralhitch::leader {

class Planner {
  public:
    // The work runs beside the loop and returns what the loop is to do with its result.
    using Work = std::function<event_loop::Task()>;
    virtual ~Planner() = default;
    virtual void submit(Work work) = 0;
};

class ThreadPlanner : public Planner {
  public:
    explicit ThreadPlanner(event_loop::EventLoop& loop);
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
