#include "simulation/host_timers.hpp"

#include <algorithm>

namespace coralhitch::simulation {

event_loop::TimerId HostTimers::after(double delay_s, event_loop::Task task) {
    auto id = next_id_++;
    fire(id, events_.now() + std::max(0.0, delay_s), std::move(task));
    return id;
}
void HostTimers::fire(event_loop::TimerId id, double due, event_loop::Task task) {
    events_.at(due, [this, alive = alive_, cancelled = cancelled_, id, task = std::move(task)] {
        if (!*alive || cancelled->erase(id)) return;
        if (frozen_until() > now()) return fire(id, frozen_until(), task);
        task();
    });
}

}  // namespace coralhitch::simulation
