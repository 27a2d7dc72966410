// The project's event loop: epoll, timers and work posted from other threads.
#pragma once
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "loop/timers.hpp"

namespace coralhitch::loop {

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

class Loop : public Timers {
  public:
    using Handler = std::function<void(std::uint32_t events)>;

    Loop();
    double now() const override;  // read afresh: authority is judged by it, and it serves any thread
    double unix_time() const override;
    TimerId after(double seconds, Task task) override;
    void cancel(TimerId id) override;

    void watch(int fd, std::uint32_t events, Handler handler);
    void change(int fd, std::uint32_t events);
    void unwatch(int fd);
    void post(Task task);  // from any thread
    void run();
    void stop() { stopped_ = true; }

  private:
    void refresh();
    void run_due();
    void run_posted();
    Fd epoll_, wake_;
    double now_ = 0;
    bool stopped_ = false;
    TimerId next_id_ = 1;
    std::map<std::pair<double, TimerId>, Task> timers_;
    std::unordered_map<TimerId, double> due_;
    struct Watched {
        Handler handler;
        std::uint64_t generation;
    };
    std::unordered_map<int, std::shared_ptr<Watched>> watched_;
    std::uint64_t generation_ = 0;
    std::mutex mutex_;
    std::vector<Task> posted_;
};

}  // namespace coralhitch::loop
