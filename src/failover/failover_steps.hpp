// Records which steps of a failover a new leader has completed, and how long after it claimed leadership.
// Each step is logged when it completes and kept for the metrics.
//
// Not thread-safe.
#pragma once
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "event_loop/timers.hpp"

namespace coralhitch::failover {

// The steps of a failover, in the order in which they usually complete. The last two may complete in the
// reverse order.
enum class FailoverStep {
    state_read,         // all stored state has been read
    loaded,             // jobs and machines are in memory
    placement_allowed,  // tasks may be started
    reconciled,         // reconciliation is complete
};
// Labels of the steps in the metrics, indexed by FailoverStep. Dashboards depend on them.
inline constexpr std::array<std::string_view, 4> failover_step_labels = {"all is read", "loaded", "may place",
                                                                         "all machines settled"};

// The completed steps of one failover.
class FailoverSteps {
  public:
    struct CompletedStep {
        std::string_view label;  // see failover_step_labels
        double elapsed_s;        // since leadership was claimed
    };
    // Starts the clock of `elapsed_s`; construct right after leadership was claimed.
    explicit FailoverSteps(event_loop::Timers& timers) : timers_(timers), started_at_(timers.now()) {}
    // Records and logs the completion of a step. `details` is appended to the log line as "key=value ...".
    // Has no effect if the step was completed before.
    void complete(FailoverStep step, const std::string& details = {});
    [[nodiscard]] bool completed(FailoverStep step) const;
    // Returns the completed steps in the order of completion.
    [[nodiscard]] const std::vector<CompletedStep>& all() const { return completed_; }

  private:
    event_loop::Timers& timers_;
    double started_at_;
    std::vector<CompletedStep> completed_;
};

}  // namespace coralhitch::failover
