// The process's only event loop. It handles events of file descriptors (epoll), timers, and tasks posted from
// other threads, all on the thread that calls run().
#pragma once
#include <sys/epoll.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "event_loop/file_descriptor.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/turn_monitor.hpp"

namespace coralhitch::event_loop {

// Priority of a descriptor's events under overload. Without lanes, the answer to the lease renewal waited
// behind the requests of thousands of workers until the lease had expired, and health checks waited as long.
enum class Lane {
    urgent,    // all ready events are handled in each turn
    ordinary,  // after urgent events, a limited number in each turn
    bulk,      // after ordinary events, a smaller number in each turn
};

// Runs handlers and tasks on one thread. now(), unix_time() and post() may be called from any thread, all
// other functions only from the loop's thread or before run(). The constructor, watch() and set_events()
// throw std::system_error if the system refuses.
class EventLoop : public Timers {
  public:
    // Gets the epoll flags that are ready (EPOLLIN, EPOLLOUT, ...).
    using Handler = std::function<void(std::uint32_t events)>;

    EventLoop();
    // Reads the clock at each call, not once per turn, because the leader's authority depends on the exact
    // time and other threads call this function.
    [[nodiscard]] double now() const override;
    [[nodiscard]] double unix_time() const override;
    TimerId after(double seconds, Task task) override;
    void cancel(TimerId id) override;
    void begin_work(const Work& work) override;
    void end_work() override;
    // Passes the turns to `monitor`, and calls `on_long_turn` at the end of each long one. `monitor` must
    // outlive the loop. Call before run().
    void monitor_turns(TurnMonitor& monitor, std::function<void(const LongTurn&)> on_long_turn);

    // Calls the handler whenever one of these epoll flags is ready for the descriptor. The descriptor is in
    // Lane::urgent until set_lane() is called.
    void watch(int fd, std::uint32_t events, Handler handler);
    // Sets the lane of a watched descriptor.
    void set_lane(int fd, Lane lane);
    // Replaces the epoll flags of a watched descriptor.
    void set_events(int fd, std::uint32_t events);
    // Removes the handler. The caller must close the descriptor right afterwards, which removes it from
    // epoll.
    void unwatch(int fd);

    // Runs the task on the loop's thread. May be called from any thread.
    void post(Task task);
    // Runs the loop. Returns at the end of the turn in which stop() was called.
    void run();
    void stop() { stopped_ = true; }

  private:
    struct WatchedDescriptor {
        Handler handler;
        std::uint64_t generation;  // increases with each watch(), since descriptor numbers are reused
        Lane lane;
        std::uint32_t pending_events;  // flags waiting in the lane's queue; 0 if not queued
    };
    // Steady time in seconds and the id, so that timers due at the same time run in the order of their ids.
    using DueTime = std::pair<double, TimerId>;

    void refresh_now();
    [[nodiscard]] int milliseconds_until_next_task();
    void wait_for_events(int timeout_ms);
    void handle_event(const epoll_event& event, std::uint64_t newest_generation);
    void run_lane(std::deque<int>& queue, std::size_t limit);
    void run_posted_tasks();
    void run_due_timers();
    void begin_turn();
    void end_turn();
    void control_epoll(int operation, int fd, std::uint32_t events, const char* what);

    Fd epoll_, wake_;  // wake_: an eventfd that ends epoll_wait for posted tasks
    double now_ = 0;   // steady time in seconds at the last refresh_now()
    bool stopped_ = false;

    TimerId next_timer_id_ = 1;
    std::map<DueTime, Task> timers_;
    std::unordered_map<TimerId, double> due_times_;

    std::unordered_map<int, std::shared_ptr<WatchedDescriptor>> watched_;
    std::uint64_t last_generation_ = 0;
    std::vector<epoll_event> event_buffer_;
    std::deque<int> ordinary_, bulk_;  // descriptors with pending events, first in first out

    std::mutex posted_mutex_;  // guards posted_
    std::vector<Task> posted_;

    TurnMonitor* turn_monitor_ = nullptr;
    std::function<void(const LongTurn&)> on_long_turn_;
};

}  // namespace coralhitch::event_loop
