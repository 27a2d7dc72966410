// Simulated time: what happens next, in the order of its time, and of planning for equal times.
#pragma once
#include <cstdint>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "event_loop/timers.hpp"

namespace coralhitch::simulation {

class EventQueue {
  public:
    double now() const { return now_; }
    void at(double time, event_loop::Task task) { events_.push({time, next_number_++, std::move(task)}); }
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
        std::uint64_t number;
        event_loop::Task task;
        bool operator<(const Event& other) const {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };
    double now_ = 0;
    std::uint64_t next_number_ = 0;
    std::priority_queue<Event> events_;
};

}  // namespace coralhitch::simulation
