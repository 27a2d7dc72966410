#include "event_loop/event_loop.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <ctime>
#include <system_error>

namespace coralhitch::event_loop {
namespace {

constexpr std::size_t max_events_per_wait = 1024;
// Small limits, so that timers, including the one that renews the lease, are not delayed by much.
constexpr std::size_t ordinary_events_per_turn = 32, bulk_events_per_turn = 16;
constexpr double max_wait_ms = 60000;

double read_clock_s(clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

[[noreturn]] void throw_system_error(const char* what) {
    throw std::system_error(errno, std::generic_category(), what);
}

}  // namespace

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      event_buffer_(max_events_per_wait) {
    if (!epoll_) throw_system_error("epoll_create1");
    if (!wake_) throw_system_error("eventfd");
    refresh_now();
    watch(wake_.get(), EPOLLIN, [this](std::uint32_t) {
        std::uint64_t count = 0;
        while (::read(wake_.get(), &count, sizeof count) > 0) {
        }
    });
}

// --- Clock and timers -----------------------------------------------------------------------------------

double EventLoop::now() const {
    return read_clock_s(CLOCK_MONOTONIC);
}
double EventLoop::unix_time() const {
    return read_clock_s(CLOCK_REALTIME);
}
void EventLoop::refresh_now() {
    now_ = now();
}

TimerId EventLoop::after(double seconds, Task task) {
    const TimerId id = next_timer_id_++;
    const double due = now() + std::max(0.0, seconds);
    timers_.emplace(DueTime{due, id}, std::move(task));
    due_times_.emplace(id, due);
    return id;
}

void EventLoop::cancel(TimerId id) {
    auto it = due_times_.find(id);
    if (it == due_times_.end()) return;
    timers_.erase({it->second, id});
    due_times_.erase(it);
}

void EventLoop::run_due_timers() {
    while (!timers_.empty() && timers_.begin()->first.first <= now_) {
        // The timer is removed before its task runs, because the task may set and cancel timers.
        auto timer = timers_.extract(timers_.begin());
        due_times_.erase(timer.key().second);
        timer.mapped()();
    }
}

// --- Descriptors ----------------------------------------------------------------------------------------

void EventLoop::control_epoll(int operation, int fd, std::uint32_t events, const char* what) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    if (epoll_ctl(epoll_.get(), operation, fd, &event) < 0) throw_system_error(what);
}

void EventLoop::watch(int fd, std::uint32_t events, Handler handler) {
    auto descriptor = std::make_shared<WatchedDescriptor>(
        WatchedDescriptor{std::move(handler), ++last_generation_, Lane::urgent, 0});
    control_epoll(EPOLL_CTL_ADD, fd, events, "epoll_ctl add");
    watched_[fd] = std::move(descriptor);
}
void EventLoop::set_events(int fd, std::uint32_t events) {
    control_epoll(EPOLL_CTL_MOD, fd, events, "epoll_ctl mod");
}
void EventLoop::set_lane(int fd, Lane lane) {
    watched_.at(fd)->lane = lane;
}
void EventLoop::unwatch(int fd) {
    watched_.erase(fd);
}

// Fetches all ready events. Handles urgent events at once, and queues the other descriptors, each at most
// once.
void EventLoop::wait_for_events(int timeout_ms) {
    const int count =
        epoll_wait(epoll_.get(), event_buffer_.data(), static_cast<int>(event_buffer_.size()), timeout_ms);
    if (count < 0 && errno != EINTR) throw_system_error("epoll_wait");
    refresh_now();
    begin_turn();
    const auto newest_generation = last_generation_;
    for (int i = 0; i < count; ++i)
        handle_event(event_buffer_[static_cast<std::size_t>(i)], newest_generation);
}

// A handler may close a descriptor, and its number may be reused within the same turn. An event that was
// fetched earlier then belongs to the closed descriptor. It is recognized by the generation of the new
// descriptor, which is above `newest_generation`, the newest generation when the events were fetched.
void EventLoop::handle_event(const epoll_event& event, std::uint64_t newest_generation) {
    const int fd = event.data.fd;
    auto it = watched_.find(fd);
    if (it == watched_.end() || it->second->generation > newest_generation) return;
    const auto descriptor = it->second;  // copied, since the handler may unwatch the descriptor
    if (descriptor->lane == Lane::urgent) return descriptor->handler(event.events);
    if (descriptor->pending_events == 0) (descriptor->lane == Lane::bulk ? bulk_ : ordinary_).push_back(fd);
    descriptor->pending_events |= event.events;
}

void EventLoop::run_lane(std::deque<int>& queue, std::size_t limit) {
    for (std::size_t handled = 0; handled < limit && !queue.empty(); ++handled) {
        auto it = watched_.find(queue.front());
        queue.pop_front();
        // The descriptor was closed after it was queued. If its number has been reused, the new descriptor
        // has its own entry in the queue.
        if (it == watched_.end() || it->second->pending_events == 0) continue;
        const auto descriptor = it->second;  // copied, since the handler may unwatch the descriptor
        descriptor->handler(std::exchange(descriptor->pending_events, 0));
    }
}

// --- Posted tasks ---------------------------------------------------------------------------------------

void EventLoop::post(Task task) {
    {
        std::lock_guard lock(posted_mutex_);
        posted_.push_back(std::move(task));
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] auto written = ::write(wake_.get(), &one, sizeof one);
}

void EventLoop::run_posted_tasks() {
    std::vector<Task> tasks;
    {
        std::lock_guard lock(posted_mutex_);
        tasks.swap(posted_);
    }
    for (auto& task : tasks) task();
}

// --- Long turns -----------------------------------------------------------------------------------------

void EventLoop::monitor_turns(TurnMonitor& monitor, std::function<void(const LongTurn&)> on_long_turn) {
    turn_monitor_ = &monitor;
    on_long_turn_ = std::move(on_long_turn);
}
void EventLoop::begin_work(const Work& work) {
    if (turn_monitor_) turn_monitor_->begin_work(work, now());
}
void EventLoop::end_work() {
    if (turn_monitor_) turn_monitor_->end_work(now());
}
void EventLoop::begin_turn() {
    if (turn_monitor_) turn_monitor_->begin_turn(now_);
}
void EventLoop::end_turn() {
    if (!turn_monitor_) return;
    if (auto turn = turn_monitor_->end_turn(now())) on_long_turn_(*turn);
}

// --- The loop -------------------------------------------------------------------------------------------

// Returns the time-out for epoll_wait: 0 while events are queued, -1 (no time-out) without timers.
int EventLoop::milliseconds_until_next_task() {
    if (!ordinary_.empty() || !bulk_.empty()) return 0;
    if (timers_.empty()) return -1;
    refresh_now();
    const double left_s = timers_.begin()->first.first - now_;
    return left_s <= 0 ? 0 : static_cast<int>(std::min(std::ceil(left_s * 1000), max_wait_ms));
}

void EventLoop::run() {
    while (!stopped_) {
        wait_for_events(milliseconds_until_next_task());
        run_lane(ordinary_, ordinary_events_per_turn);
        run_lane(bulk_, bulk_events_per_turn);
        run_posted_tasks();
        refresh_now();
        run_due_timers();
        end_turn();
    }
}

}  // namespace coralhitch::event_loop
