// An injected clock for tests of single parts: time moves only when told to.
#pragma once
#include <map>

#include "loop/timers.hpp"

namespace coralhitch {

class FakeTimers : public loop::Timers {
  public:
    double now() const override { return now_; }
    double unix_time() const override { return now_; }
    loop::TimerId after(double s, loop::Task task) override {
        tasks_.emplace(std::pair(now_ + s, ++next_), std::move(task));
        return next_;
    }
    void cancel(loop::TimerId) override {}
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
    loop::TimerId next_ = 0;
    std::map<std::pair<double, loop::TimerId>, loop::Task> tasks_;
};

}  // namespace coralhitch
