// Brings what users and workers saw into the order of its times, for the checker of the protocol's rules.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

#include "verification/checker.hpp"

namespace coralhitch::scale {

// Workers' events come late, from several processes. A step waits until every process has reported all up to
// its time.
class CheckerFeed {
  public:
    using Step = std::function<void(verification::Checker& checker, double time)>;

    CheckerFeed(verification::Rules rules, std::uint32_t worker_processes);
    // Steps of the same time run in the order of the calls.
    void add(double time, Step step) { steps_.emplace(time, std::move(step)); }
    // All events of a process up to this time have been added.
    void events_complete(std::uint32_t process, double time);

    [[nodiscard]] const verification::Checker& checker() const { return checker_; }
    [[nodiscard]] std::size_t waiting() const { return steps_.size(); }

  private:
    void run_complete_steps();

    verification::Checker checker_;
    std::uint32_t worker_processes_;
    std::multimap<double, Step> steps_;
    std::map<std::uint32_t, double> complete_until_;  // by process
    double last_look_ = 0;
};

}  // namespace coralhitch::scale
