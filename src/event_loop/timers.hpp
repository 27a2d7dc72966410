// Interface to clocks and timers. It is injected, so that tests run on simulated time.
#pragma once
#include <cstdint>
#include <functional>

namespace coralhitch::event_loop {

using TimerId = std::uint64_t;
using Task = std::function<void()>;

// Clocks, and tasks that run at a later time. Not thread-safe, except for now().
class Timers {
  public:
    virtual ~Timers() = default;
    // Returns the seconds of a steady clock with an arbitrary origin, for durations and deadlines within this
    // process.
    [[nodiscard]] virtual double now() const = 0;
    // Returns the seconds since 1970, for stored or displayed times. May jump.
    [[nodiscard]] virtual double unix_time() const = 0;
    // Runs the task once, at least `seconds` from now, and never within this call, even for 0 seconds. Tasks
    // due at the same time run in the order of the calls. A task may run late, so it must call now() if it
    // depends on the time.
    virtual TimerId after(double seconds, Task task) = 0;
    // Cancels a task that has not run yet. The id of a task that has run or was cancelled is ignored.
    virtual void cancel(TimerId id) = 0;
};

}  // namespace coralhitch::event_loop
