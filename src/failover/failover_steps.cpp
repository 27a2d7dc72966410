#include "failover/failover_steps.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace coralhitch::failover {
namespace {
// Names of the steps in the log, indexed by FailoverStep.
constexpr std::array<std::string_view, failover_step_labels.size()> log_names = {
    "state_read", "loaded", "placement_allowed", "reconciled"};

std::string_view label_of(FailoverStep step) {
    return failover_step_labels[static_cast<std::size_t>(step)];
}
}  // namespace

bool FailoverSteps::completed(FailoverStep step) const {
    return std::any_of(completed_.begin(), completed_.end(),
                       [&](auto& done) { return done.label == label_of(step); });
}

void FailoverSteps::complete(FailoverStep step, const std::string& details) {
    if (completed(step)) return;
    double elapsed_s = timers_.now() - started_at_;
    completed_.push_back({label_of(step), elapsed_s});
    spdlog::info("component=failover event=step_completed step={} elapsed_s={:.2f}{}{}",
                 log_names[static_cast<std::size_t>(step)], elapsed_s, details.empty() ? "" : " ", details);
}

}  // namespace coralhitch::failover
