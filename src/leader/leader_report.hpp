// Reports on the leader's work as a whole: gauges for its jobs and machines, and a periodic log line about
// the activity of each team.
//
// LeaderReport owns the time of the last log line. It reads the state, and resets the counts of TeamActivity.
//
// All functions must be called on the event loop's thread. They lock LeaderState::mutex themselves, so the
// caller must not hold it.
#pragma once
#include <optional>

#include "cluster/team_activity.hpp"
#include "leader/leader_part.hpp"
#include "metrics/metrics.hpp"

namespace coralhitch::leader {

// Sets the leader's gauges and logs the activity of each team.
class LeaderReport : private LeaderPart {
  public:
    LeaderReport(const PartContext& context, metrics::Metrics& metrics, cluster::TeamActivity& team_activity);

    // Sets the gauges. Must be called at each tick.
    void set_gauges();
    // Logs the teams' activity since the last log line, if that line is older than the duration of a lease.
    // Must be called at each tick.
    void log_team_activity_if_due();
    // Logs the teams' activity since the last log line, if there was any. Must be called when the leadership
    // ends.
    void log_team_activity();

  private:
    metrics::Metrics& metrics_;
    cluster::TeamActivity& team_activity_;
    std::optional<double> last_team_log_at_;  // steady seconds
};

}  // namespace coralhitch::leader
