// How late a process's own timers are.
#pragma once
#include <cstdint>

#include "event_loop/event_loop.hpp"

namespace coralhitch::scale {

// Fires a timer ten times a second and measures how late it is: a hollow process that lacks processor time
// would otherwise look like a slow service.
class TimerLateness {
  public:
    explicit TimerLateness(event_loop::EventLoop& loop);
    [[nodiscard]] double longest_s() const { return longest_s_; }
    [[nodiscard]] std::uint64_t over_100_ms() const { return over_100_ms_; }

  private:
    void schedule();

    event_loop::EventLoop& loop_;
    double longest_s_ = 0;
    std::uint64_t over_100_ms_ = 0;
};

}  // namespace coralhitch::scale
