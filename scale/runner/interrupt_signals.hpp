// Handles signals that ask the program to end as events of its event loop.
#pragma once
#include <functional>

#include "event_loop/event_loop.hpp"
#include "event_loop/file_descriptor.hpp"

namespace coralhitch::scale {

// During its lifetime, SIGINT, SIGTERM and SIGHUP call `on_interrupt` instead of ending the process.
class InterruptSignals {
  public:
    // `loop` must outlive this.
    InterruptSignals(event_loop::EventLoop& loop, std::function<void()> on_interrupt);
    ~InterruptSignals();
    InterruptSignals(const InterruptSignals&) = delete;
    InterruptSignals& operator=(const InterruptSignals&) = delete;

  private:
    void read_signals();

    event_loop::EventLoop& loop_;
    std::function<void()> on_interrupt_;
    event_loop::Fd signals_;
};

}  // namespace coralhitch::scale
