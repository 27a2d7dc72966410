// Simulated time: tasks run in the order of their times, and tasks with equal times in the order in which
// they were scheduled.
#pragma once
#include <cstdint>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "event_loop/timers.hpp"

namespace coralhitch::simulation {

// The clock and the scheduled tasks of one simulation. Times are in seconds and begin at 0. Single-threaded.
class EventQueue {
  public:
    double now() const { return now_; }
    // Schedules the task. `time` must not be before `now()`: the clock would go back.
    void at(double time, event_loop::Task task) { events_.push({time, next_number_++, std::move(task)}); }
    // Runs all tasks that are due at `time` or before, and sets the clock to `time`.
    void run_until(double time) {
        while (!events_.empty() && events_.top().time <= time) {
            auto event = events_.top();
            events_.pop();
            now_ = event.time;
            event.task();
        }
        now_ = time;
    }

  private:
    struct Event {
        double time;
        std::uint64_t number;  // orders events with equal times
        event_loop::Task task;
        // Reversed, since std::priority_queue has its greatest element on top.
        bool operator<(const Event& other) const {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };
    double now_ = 0;
    std::uint64_t next_number_ = 0;
    std::priority_queue<Event> events_;
};

}  // namespace coralhitch::simulation
