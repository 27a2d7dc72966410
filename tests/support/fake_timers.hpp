// An injected clock for tests of single parts: time moves only when told to.
#pragma once
#include <map>

#include "event_loop/timers.hpp"

namespace coralhitch {

class FakeTimers : public event_loop::Timers {
  public:
    double now() const override { return now_; }
    double unix_time() const override { return now_; }
    event_loop::TimerId after(double s, event_loop::Task task) override {
        tasks_.emplace(std::pair(now_ + s, ++next_), std::move(task));
        return next_;
    }
    void cancel(event_loop::TimerId) override {}
    // The process had no processor until then: all that was due runs late.
    void run_late(double t) {
        now_ = t;
        run_until(t);
    }
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
