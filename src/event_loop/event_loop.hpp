// The project's event loop: epoll, timers and work posted from other threads.
#pragma once
#include <sys/epoll.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "event_loop/timers.hpp"

namespace coralhitch::event_loop {

class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& o) noexcept : fd_(o.release()) {}
    Fd& operator=(Fd&& o) noexcept {
        if (this != &o) reset(o.release());
        return *this;
    }
    ~Fd() { reset(); }
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    int release() {
        int f = fd_;
        fd_ = -1;
        return f;
    }
    void reset(int fd = -1);

  private:
    int fd_ = -1;
};

// What goes first when more is ready than the processor can do. With thousands of workers calling, the answer
// to the lease's renewal waited behind all of them until the lease was out, and so did health checks.
// Urgent is handled as it comes; of the others some have their turn after that, ordinary ones more than bulk.
enum class Lane { urgent, ordinary, bulk };

class EventLoop : public Timers {
  public:
    using Handler = std::function<void(std::uint32_t events)>;

    EventLoop();
    double now() const override;  // read afresh: authority is judged by it, and it serves any thread
    double unix_time() const override;
    TimerId after(double seconds, Task task) override;
    void cancel(TimerId id) override;

    void watch(int fd, std::uint32_t events, Handler handler);
    void set_lane(int fd, Lane lane);  // urgent until set; `fd` must be watched
    void change(int fd, std::uint32_t events);
    void unwatch(int fd);  // to be closed right after, which ends its events
    void post(Task task);  // from any thread
    void run();
    void stop() { stopped_ = true; }

  private:
    void refresh();
    void run_due();
    void run_posted();
    void wait(int wait_ms);
    void run_lane(std::deque<int>& line, std::size_t most);
    Fd epoll_, wake_;
    double now_ = 0;
    bool stopped_ = false;
    TimerId next_id_ = 1;
    std::map<std::pair<double, TimerId>, Task> timers_;
    std::unordered_map<TimerId, double> due_;
    struct WatchResult {
        Handler handler;
        std::uint64_t generation;
        Lane lane;
        std::uint32_t ready;  // events that wait for their turn
    };
    std::unordered_map<int, std::shared_ptr<WatchResult>> watched_;
    std::vector<epoll_event> events_;
    std::deque<int> ordinary_, bulk_;  // descriptors with `ready` set, the first one that became so in front
    std::uint64_t generation_ = 0;
    std::mutex mutex_;
    std::vector<Task> posted_;
};

}  // namespace coralhitch::event_loop
