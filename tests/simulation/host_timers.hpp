// The timers and the planner of a simulated controller, both in simulated time.
#pragma once
#include <memory>
#include <set>

#include "event_loop/timers.hpp"
#include "leader/planner.hpp"
#include "simulation/event_queue.hpp"

namespace coralhitch::simulation {

// Timers of one host process. No task runs after the process has been killed, and none runs while it is
// frozen.
class HostTimers : public event_loop::Timers {
  public:
    explicit HostTimers(EventQueue& events) : events_(events) {}
    double now() const override { return events_.now(); }
    double unix_time() const override { return now() + 1e9; }
    event_loop::TimerId after(double delay_s, event_loop::Task task) override;
    void cancel(event_loop::TimerId id) override { cancelled_->insert(id); }
    // Discards all tasks that have not run yet.
    void kill() { *alive_ = false; }
    // Simulates a process without processor time: tasks that are due before `until` run at `until`.
    void freeze(double until) { *frozen_until_ = until; }
    double frozen_until() const { return *frozen_until_; }

  private:
    void fire(event_loop::TimerId id, double due, event_loop::Task task);

    EventQueue& events_;
    event_loop::TimerId next_id_ = 1;
    // Shared with the scheduled events, which may be reached after this object has been destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::shared_ptr<double> frozen_until_ = std::make_shared<double>(0);
    std::shared_ptr<std::set<event_loop::TimerId>> cancelled_ =
        std::make_shared<std::set<event_loop::TimerId>>();
};

// Computes each plan on the host's timers, 10 ms of simulated time after it was submitted.
class InlinePlanner : public leader::Planner {
  public:
    explicit InlinePlanner(event_loop::Timers& timers) : timers_(timers) {}
    void submit(Work work) override {
        timers_.after(0.01, [work = std::move(work)] { work()(); });
    }

  private:
    event_loop::Timers& timers_;
};

}  // namespace coralhitch::simulation
