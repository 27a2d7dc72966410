// What a controller needs of its host, in simulated time.
#pragma once
#include <memory>
#include <set>

#include "event_loop/timers.hpp"
#include "leader/planner.hpp"
#include "simulation/event_queue.hpp"

namespace coralhitch::simulation {

// Timers of one host: when the host dies, what it had planned does not happen.
class HostTimers : public event_loop::Timers {
  public:
    explicit HostTimers(EventQueue& events) : events_(events) {}
    double now() const override { return events_.now(); }
    double unix_time() const override { return now() + 1e9; }
    event_loop::TimerId after(double delay_s, event_loop::Task task) override;
    void cancel(event_loop::TimerId id) override { cancelled_->insert(id); }
    void kill() { *alive_ = false; }
    // Nothing that is due happens until then; it happens all at once afterwards.
    void freeze(double until) { *frozen_until_ = until; }
    double frozen_until() const { return *frozen_until_; }

  private:
    void fire(event_loop::TimerId id, double due, event_loop::Task task);

    EventQueue& events_;
    event_loop::TimerId next_ = 1;
    // Shared with what is planned, which may come after the host has gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::shared_ptr<double> frozen_until_ = std::make_shared<double>(0);
    std::shared_ptr<std::set<event_loop::TimerId>> cancelled_ =
        std::make_shared<std::set<event_loop::TimerId>>();
};

// Plans on the host's own timers, a moment later.
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
