#include "leader/leader_report.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace coralhitch::leader {
using metrics::Metric;

LeaderReport::LeaderReport(const PartContext& context, metrics::Metrics& metrics,
                           cluster::TeamActivity& team_activity)
    : LeaderPart(context), metrics_(metrics), team_activity_(team_activity) {}

void LeaderReport::set_gauges() {
    auto& jobs = state_.jobs.entries();
    auto blocked =
        std::count_if(jobs.begin(), jobs.end(), [](auto& entry) { return entry.second.is_blocked(); });
    metrics_.set(Metric::leader_jobs, static_cast<double>(jobs.size()));
    metrics_.set(Metric::leader_jobs_with_pending_dependencies, static_cast<double>(blocked));
    metrics_.set(Metric::leader_dependency_steps, static_cast<double>(state_.jobs.dependency_steps()));
    metrics_.set(Metric::leader_machines, static_cast<double>(state_.cluster.machines().size()));
}

void LeaderReport::log_team_activity_if_due() {
    if (!last_team_log_at_ || now() - *last_team_log_at_ > settings_.lease_s) log_team_activity();
}

// Each line covers the time since the last one, so the sum over the lines of all leaders is the total
// activity of each team. bench/teams.py computes that sum.
void LeaderReport::log_team_activity() {
    last_team_log_at_ = now();
    std::lock_guard lock(state_.mutex);
    if (auto text = team_activity_.take_summary(); !text.empty()) spdlog::info("teams: {}", text);
}

}  // namespace coralhitch::leader
