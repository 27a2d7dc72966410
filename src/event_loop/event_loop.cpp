#include "event_loop/event_loop.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <system_error>
#include <utility>

namespace coralhitch::event_loop {
namespace {
double read_clock(clockid_t id) {
    timespec t{};
    clock_gettime(id, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}
// Few at a time, so that timers, the lease's renewal among them, wait for little work.
constexpr std::size_t most_events = 1024, most_ordinary = 32, most_bulk = 16;
[[noreturn]] void fail(const char* what) {
    throw std::system_error(errno, std::generic_category(), what);
}
}  // namespace

void Fd::reset(int fd) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
}

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      events_(most_events) {
    if (!epoll_) fail("epoll_create1");
    if (!wake_) fail("eventfd");
    refresh();
    watch(wake_.get(), EPOLLIN, [this](std::uint32_t) {
        std::uint64_t n;
        while (::read(wake_.get(), &n, sizeof n) > 0) {
        }
    });
}
void EventLoop::refresh() {
    now_ = now();
}
double EventLoop::now() const {
    return read_clock(CLOCK_MONOTONIC);
}
double EventLoop::unix_time() const {
    return read_clock(CLOCK_REALTIME);
}

TimerId EventLoop::after(double seconds, Task task) {
    TimerId id = next_id_++;
    double due = now() + std::max(0.0, seconds);
    timers_.emplace(std::pair{due, id}, std::move(task));
    due_.emplace(id, due);
    return id;
}
void EventLoop::cancel(TimerId id) {
    auto it = due_.find(id);
    if (it == due_.end()) return;
    timers_.erase({it->second, id});
    due_.erase(it);
}
void EventLoop::watch(int fd, std::uint32_t events, Handler handler) {
    auto w = std::make_shared<WatchResult>(WatchResult{std::move(handler), ++generation_, Lane::urgent, 0});
    epoll_event e{};
    e.events = events;
    e.data.fd = fd;
    if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &e) < 0) fail("epoll_ctl add");
    watched_[fd] = std::move(w);
}
void EventLoop::change(int fd, std::uint32_t events) {
    epoll_event e{};
    e.events = events;
    e.data.fd = fd;
    if (epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &e) < 0) fail("epoll_ctl mod");
}
void EventLoop::set_lane(int fd, Lane lane) {
    watched_.at(fd)->lane = lane;
}
void EventLoop::unwatch(int fd) {
    watched_.erase(fd);
}
void EventLoop::post(Task task) {
    {
        std::lock_guard lock(mutex_);
        posted_.push_back(std::move(task));
    }
    std::uint64_t one = 1;
    [[maybe_unused]] auto n = ::write(wake_.get(), &one, sizeof one);
}
void EventLoop::run_posted() {
    std::vector<Task> work;
    {
        std::lock_guard lock(mutex_);
        work.swap(posted_);
    }
    for (auto& t : work) t();
}
void EventLoop::run_due() {
    while (!timers_.empty() && timers_.begin()->first.first <= now_) {
        auto node = timers_.extract(timers_.begin());
        due_.erase(node.key().second);
        node.mapped()();
    }
}
// All that is ready is asked for: what is urgent is handled now, the rest stands in line, once each.
void EventLoop::wait(int wait_ms) {
    int n = epoll_wait(epoll_.get(), events_.data(), static_cast<int>(events_.size()), wait_ms);
    if (n < 0 && errno != EINTR) fail("epoll_wait");
    refresh();
    // A handler may close a descriptor whose number is used again within this round; the generation tells an
    // event of the old one from the new one's.
    std::uint64_t round = generation_;
    for (int i = 0; i < n; ++i) {
        auto& e = events_[static_cast<std::size_t>(i)];
        auto it = watched_.find(e.data.fd);
        if (it == watched_.end() || it->second->generation > round) continue;
        auto keep = it->second;
        if (keep->lane == Lane::urgent) {
            keep->handler(e.events);
        } else {
            if (keep->ready == 0) (keep->lane == Lane::bulk ? bulk_ : ordinary_).push_back(e.data.fd);
            keep->ready |= e.events;
        }
    }
}
void EventLoop::run_lane(std::deque<int>& line, std::size_t most) {
    for (std::size_t k = 0; k < most && !line.empty(); ++k) {
        auto it = watched_.find(line.front());
        line.pop_front();
        // Closed meanwhile, and perhaps its number used again: that one stands in line itself.
        if (it == watched_.end() || it->second->ready == 0) continue;
        auto keep = it->second;
        keep->handler(std::exchange(keep->ready, 0));
    }
}
void EventLoop::run() {
    while (!stopped_) {
        int wait_ms = ordinary_.empty() && bulk_.empty() ? -1 : 0;
        if (wait_ms != 0 && !timers_.empty()) {
            refresh();
            double left = timers_.begin()->first.first - now_;
            wait_ms = left <= 0 ? 0 : static_cast<int>(std::min(std::ceil(left * 1000), 60000.0));
        }
        wait(wait_ms);
        run_lane(ordinary_, most_ordinary);
        run_lane(bulk_, most_bulk);
        run_posted();
        refresh();
        run_due();
    }
}

}  // namespace coralhitch::event_loop
