// Time as the rest of the program sees it: injected, so that tests run on simulated time.
#pragma once
#include <cstdint>
#include <functional>

namespace coralhitch::event_loop {

using TimerId = std::uint64_t;
using Task = std::function<void()>;

// A clock, and tasks that run at a later time. Not thread-safe, but for now().
class Timers {
  public:
    virtual ~Timers() = default;
    // Seconds of a steady clock with an arbitrary origin: for durations and deadlines of this process only.
    [[nodiscard]] virtual double now() const = 0;
    // Seconds since 1970: for what is stored or shown. May jump.
    [[nodiscard]] virtual double unix_time() const = 0;
    // Runs the task once, at least so many seconds from now; never inside this call, also for 0.
    // Tasks due at the same time run in the order of the calls. It may run late: a task that depends on the
    // time asks for it.
    virtual TimerId after(double seconds, Task task) = 0;
    // The task does not run any more. An id whose task has run, or was cancelled, is ignored.
    virtual void cancel(TimerId id) = 0;
};

}  // namespace coralhitch::event_loop
