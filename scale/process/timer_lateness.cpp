#include "scale/process/timer_lateness.hpp"

#include <algorithm>

namespace coralhitch::scale {
namespace {
constexpr double interval_s = 0.1, counted_lateness_s = 0.1;
}  // namespace

TimerLateness::TimerLateness(event_loop::EventLoop& loop) : loop_(loop) {
    schedule();
}

void TimerLateness::schedule() {
    double due = loop_.now() + interval_s;
    loop_.after(interval_s, [this, due] {
        double late_s = loop_.now() - due;
        longest_s_ = std::max(longest_s_, late_s);
        if (late_s > counted_lateness_s) ++over_100_ms_;
        schedule();
    });
}

}  // namespace coralhitch::scale
