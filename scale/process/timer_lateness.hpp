// Measures how late the timers of a process fire.
#pragma once
#include <cstdint>

#include "event_loop/event_loop.hpp"

namespace coralhitch::scale {

// Fires a timer ten times a second and measures its lateness. Without this measurement, a simulating process
// that lacks CPU time would look like a slow controller.
class TimerLateness {
  public:
    explicit TimerLateness(event_loop::EventLoop& loop);
    // Returns the largest lateness since the start.
    [[nodiscard]] double longest_s() const { return longest_s_; }
    // Returns how often the timer was more than 100 ms late.
    [[nodiscard]] std::uint64_t over_100_ms() const { return over_100_ms_; }

  private:
    void schedule();

    event_loop::EventLoop& loop_;
    double longest_s_ = 0;
    std::uint64_t over_100_ms_ = 0;
};

}  // namespace coralhitch::scale
