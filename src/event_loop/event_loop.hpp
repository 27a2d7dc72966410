// The process's only event loop: events of file descriptors (epoll), timers, and tasks posted from other
// threads, all run on the thread that calls run().
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

namespace coralhitch::event_loop {

// The order in which descriptors' events are handled when there are more than the processor can do. With
// thousands of workers calling, the answer to the lease's renewal waited behind all of them until the lease
// had expired, and so did health checks.
enum class Lane {
    urgent,    // all, as they come
    ordinary,  // then some of these in each turn
    bulk,      // then fewer of these
};

// All functions but now(), unix_time() and post() are for the loop's thread only, or for the time before
// run(). Constructor and watch functions throw std::system_error when the system refuses.
class EventLoop : public Timers {
  public:
    // `events`: the epoll flags that are ready (EPOLLIN, EPOLLOUT, ...).
    using Handler = std::function<void(std::uint32_t events)>;

    EventLoop();
    // Reads the clock at each call, rather than once a turn: authority goes by it, and other threads call it.
    [[nodiscard]] double now() const override;
    [[nodiscard]] double unix_time() const override;
    TimerId after(double seconds, Task task) override;
    void cancel(TimerId id) override;

    // Calls the handler whenever one of these epoll flags is ready at the descriptor; in Lane::urgent.
    void watch(int fd, std::uint32_t events, Handler handler);
    // The descriptor must be watched.
    void set_lane(int fd, Lane lane);
    void set_events(int fd, std::uint32_t events);
    // Forgets the handler. The caller closes the descriptor right after, which ends its events.
    void unwatch(int fd);

    // Runs the task on the loop's thread. From any thread.
    void post(Task task);
    // Returns after stop(), once the turn is over.
    void run();
    void stop() { stopped_ = true; }

  private:
    struct WatchedDescriptor {
        Handler handler;
        std::uint64_t generation;  // of the watch: a descriptor's number may be used again
        Lane lane;
        std::uint32_t pending_events;  // that wait in the lane's queue; 0: it is not in the queue
    };
    using DueTime = std::pair<double, TimerId>;  // with the id: timers due at once run in order

    void refresh_now();
    [[nodiscard]] int milliseconds_until_next_task();
    void wait_for_events(int timeout_ms);
    void handle_event(const epoll_event& event, std::uint64_t newest_generation);
    void run_lane(std::deque<int>& queue, std::size_t limit);
    void run_posted_tasks();
    void run_due_timers();
    void control_epoll(int operation, int fd, std::uint32_t events, const char* what);

    Fd epoll_, wake_;  // wake_: an eventfd that ends epoll_wait for posted tasks
    double now_ = 0;   // at the last refresh
    bool stopped_ = false;

    TimerId next_timer_id_ = 1;
    std::map<DueTime, Task> timers_;
    std::unordered_map<TimerId, double> due_times_;

    std::unordered_map<int, std::shared_ptr<WatchedDescriptor>> watched_;
    std::uint64_t last_generation_ = 0;
    std::vector<epoll_event> event_buffer_;
    std::deque<int> ordinary_, bulk_;  // descriptors with pending events, the longest waiting one in front

    std::mutex posted_mutex_;  // guards posted_
    std::vector<Task> posted_;
};

}  // namespace coralhitch::event_loop
