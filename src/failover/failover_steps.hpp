// The steps of a failover that a new leader has completed, with their times since its claim: logged as they
// are completed, and kept for the metrics.
//
// Not thread safe.
#pragma once
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "event_loop/timers.hpp"

namespace coralhitch::failover {

// In the order in which they are usually completed; the last two may be swapped.
enum class FailoverStep {
    state_read,         // all stored state has been read
    loaded,             // jobs and machines are in memory
    placement_allowed,  // tasks may be started
    reconciled,         // reconciliation is complete
};
// By the values of FailoverStep, in metrics. Dashboards depend on them.
inline constexpr std::array<std::string_view, 4> failover_step_labels = {"all is read", "loaded", "may place",
                                                                         "all machines settled"};

class FailoverSteps {
  public:
    struct CompletedStep {
        std::string_view label;  // see failover_step_labels
        double elapsed_s;        // since the claim
    };
    // Created right after the claim.
    explicit FailoverSteps(event_loop::Timers& timers) : timers_(timers), started_at_(timers.now()) {}
    // Records and logs a step, with further `details` for the log as "key=value ...". Ignored if it was
    // completed before.
    void complete(FailoverStep step, const std::string& details = {});
    [[nodiscard]] bool completed(FailoverStep step) const;
    // In the order of completion.
    [[nodiscard]] const std::vector<CompletedStep>& all() const { return completed_; }

  private:
    event_loop::Timers& timers_;
    double started_at_;
    std::vector<CompletedStep> completed_;
};

}  // namespace coralhitch::failover
