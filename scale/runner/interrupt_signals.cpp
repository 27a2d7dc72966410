#include "scale/runner/interrupt_signals.hpp"

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace coralhitch::scale {
namespace {

sigset_t interrupt_signals() {
    sigset_t signals;
    ::sigemptyset(&signals);
    for (int signal : {SIGINT, SIGTERM, SIGHUP}) ::sigaddset(&signals, signal);
    return signals;
}

}  // namespace

InterruptSignals::InterruptSignals(event_loop::EventLoop& loop, std::function<void()> on_interrupt)
    : loop_(loop), on_interrupt_(std::move(on_interrupt)) {
    auto signals = interrupt_signals();
    ::sigprocmask(SIG_BLOCK, &signals, nullptr);
    signals_ = event_loop::Fd(::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
    loop_.watch(signals_.get(), EPOLLIN, [this](std::uint32_t) { read_signals(); });
}

InterruptSignals::~InterruptSignals() {
    loop_.unwatch(signals_.get());
    auto signals = interrupt_signals();
    ::sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

void InterruptSignals::read_signals() {
    // Read all pending signals, since an unread signal would end the process once the signals are unblocked.
    signalfd_siginfo info{};
    while (::read(signals_.get(), &info, sizeof info) > 0) {
    }
    on_interrupt_();
}

}  // namespace coralhitch::scale
