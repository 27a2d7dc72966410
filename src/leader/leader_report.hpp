// What the leader tells operators of its work as a whole: gauges of its jobs and machines, and now and then a
// log line of what each team got.
//
// Owns when the last line was logged. Reads the state; takes what is counted out of the TeamActivity.
//
// On the event loop's thread; takes LeaderState::mutex itself, so the caller must not hold it.
#pragma once
#include <optional>

#include "cluster/team_activity.hpp"
#include "leader/leader_part.hpp"
#include "metrics/metrics.hpp"

namespace coralhitch::leader {

// Sets the leader's gauges and logs what each team got.
class LeaderReport : private LeaderPart {
  public:
    LeaderReport(const PartContext& context, metrics::Metrics& metrics, cluster::TeamActivity& team_activity);

    // Sets the gauges. Each tick.
    void set_gauges();
    // Logs what the teams got since the last line, if that is more than a lease ago. Each tick.
    void log_team_activity_if_due();
    // The same at once. When the leadership ends.
    void log_team_activity();

  private:
    metrics::Metrics& metrics_;
    cluster::TeamActivity& team_activity_;
    std::optional<double> last_team_log_at_;  // steady seconds
};

}  // namespace coralhitch::leader
