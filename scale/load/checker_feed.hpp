// Passes the observations of users and workers to the checker of the protocol's rules, in the order of their
// times.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

#include "verification/checker.hpp"

namespace coralhitch::scale {

// Workers' events arrive late and from several processes. Therefore a step waits until every worker process
// has reported all its events up to the step's time.
class CheckerFeed {
  public:
    // Reports one observation, made at `time`, to the checker.
    using Step = std::function<void(verification::Checker& checker, double time)>;

    // `worker_processes` is the number of processes that events_complete() must be called for.
    CheckerFeed(verification::Rules rules, std::uint32_t worker_processes);
    // Adds a step. Steps of the same time run in the order of the calls.
    void add(double time, Step step) { steps_.emplace(time, std::move(step)); }
    // Declares that all events of a worker process up to this time have been added. Runs the steps that need
    // not wait any longer.
    void events_complete(std::uint32_t process, double time);

    [[nodiscard]] const verification::Checker& checker() const { return checker_; }
    // Returns the number of steps that have not run.
    [[nodiscard]] std::size_t pending_steps() const { return steps_.size(); }

  private:
    void run_complete_steps();

    verification::Checker checker_;
    std::uint32_t worker_processes_;
    std::multimap<double, Step> steps_;
    std::map<std::uint32_t, double> complete_until_;  // by process
    double last_cancellation_check_ = 0;
};

}  // namespace coralhitch::scale
