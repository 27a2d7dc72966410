// Time as the rest of the program sees it: injected, so that tests run on simulated time.
#pragma once
#include <cstdint>
#include <functional>

namespace coralhitch::event_loop {

using TimerId = std::uint64_t;
using Task = std::function<void()>;

class Timers {
  public:
    virtual ~Timers() = default;
    virtual double now() const = 0;        // steady seconds
    virtual double unix_time() const = 0;  // seconds since 1970
    virtual TimerId after(double seconds, Task task) = 0;
    virtual void cancel(TimerId id) = 0;
};

}  // namespace coralhitch::event_loop
