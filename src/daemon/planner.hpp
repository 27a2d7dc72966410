// Runs planning beside the loop: on a thread of its own in the daemon, at once in simulated time.
#pragma once
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "loop/loop.hpp"

namespace coralhitch::daemon {

class Planner {
  public:
    // The work runs beside the loop and returns what the loop is to do with its result.
    using Work = std::function<loop::Task()>;
    virtual ~Planner() = default;
    virtual void submit(Work work) = 0;
};

class ThreadPlanner : public Planner {
  public:
    explicit ThreadPlanner(loop::Loop& loop);
    ~ThreadPlanner() override;
    void submit(Work work) override;

  private:
    void run();
    loop::Loop& loop_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<Work> work_;
    bool stop_ = false;
    std::thread thread_;
};

}  // namespace coralhitch::daemon
