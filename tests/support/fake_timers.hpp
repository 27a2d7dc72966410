// A clock and timers for tests of single classes. Time advances only in `run_until` and `run_late`, in
// seconds.
#pragma once
#include <map>

#include "event_loop/timers.hpp"

namespace coralhitch {

// Ignores cancellations: cancelled tasks run.
class FakeTimers : public event_loop::Timers {
  public:
    double now() const override { return now_; }
    double unix_time() const override { return now_; }
    event_loop::TimerId after(double s, event_loop::Task task) override {
        tasks_.emplace(std::pair(now_ + s, ++next_), std::move(task));
        return next_;
    }
    void cancel(event_loop::TimerId) override {}
    // Simulates a process that had no processor time until `t`: all tasks that are due run at `t`.
    void run_late(double t) {
        now_ = t;
        run_until(t);
    }
    // Runs the tasks that are due at `t` or before, each at its time, and sets the clock to `t`.
    void run_until(double t) {
        while (!tasks_.empty() && tasks_.begin()->first.first <= t) {
            auto node = tasks_.extract(tasks_.begin());
            now_ = std::max(now_, node.key().first);
            node.mapped()();
        }
        now_ = t;
    }

  private:
    double now_ = 0;
    event_loop::TimerId next_ = 0;
    std::map<std::pair<double, event_loop::TimerId>, event_loop::Task> tasks_;
};

}  // namespace coralhitch
