// Interface to clocks and timers. It is injected, so that tests run on simulated time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace coralhitch::event_loop {

using TimerId = std::uint64_t;
using Task = std::function<void()>;

// What the current turn of the event loop works on, for reports of turns that take too long (TurnMonitor).
struct Work {
    std::string_view name;  // must outlive the report; a string literal
    std::size_t items = 0;  // number of records, tasks or requests that are processed
};

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
    // Name the work that the caller does between the two calls, which may be nested; see WorkScope.
    virtual void begin_work(const Work&) {}
    virtual void end_work() {}
};

// Names the work that is done while the object exists.
class WorkScope {
  public:
    WorkScope(Timers& timers, std::string_view name, std::size_t items) : timers_(timers) {
        timers_.begin_work({name, items});
    }
    ~WorkScope() { timers_.end_work(); }
    WorkScope(const WorkScope&) = delete;
    WorkScope& operator=(const WorkScope&) = delete;

  private:
    Timers& timers_;
};

}  // namespace coralhitch::event_loop
