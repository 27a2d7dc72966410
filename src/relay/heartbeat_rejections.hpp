// Counts heartbeats that this controller rejected, by reason, and logs a summary at a limited rate.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "event_loop/timers.hpp"

namespace coralhitch::relay {

// The reason for which a heartbeat was rejected.
enum class HeartbeatRejection {
    lease_lost,  // this leader has lost its own lease or is about to stop
    // The leader knows all cancellations only up to a time that is too long ago for renewing leases.
    renewal_deadline_passed,
    cancellation_unsent,  // the machine may run a cancelled task, and the command to stop it was not received
    outdated,             // not the machine's latest heartbeat, or the machine is unknown or deleted
    no_leader,            // there is no leader, or the leader does not accept forwarded heartbeats
    redirected,           // the agent was redirected to the leader
    queue_timeout,        // the heartbeat waited too long for its agent to be answered in time
    socket_limit,         // all sockets for agents are in use
    // No reply of this leader reaches the machine, so its lease must be allowed to expire.
    outbound_unreachable,
};
// Labels in metrics and in the log, indexed by HeartbeatRejection. Dashboards depend on them.
inline constexpr std::array<std::string_view, 9> heartbeat_rejection_labels = {
    "no_lease",  "bound_over", "stop_unsent", "older",    "no_leader",
    "elsewhere", "late",       "sockets",     "unreached"};

// The counters of rejected heartbeats. Not thread safe.
class HeartbeatRejections {
  public:
    // Logs at most one summary in `log_interval_s` seconds.
    HeartbeatRejections(event_loop::Timers& timers, double log_interval_s)
        : timers_(timers), log_interval_s_(log_interval_s) {}
    // Counts one rejection, and logs the summary if the interval has passed.
    void record(HeartbeatRejection reason);
    [[nodiscard]] std::uint64_t count(HeartbeatRejection reason) const {
        return counts_[static_cast<std::size_t>(reason)];
    }
    // Returns each reason with its count since the last log line, such as "3 late, 1 sockets"; empty if there
    // were no rejections since then.
    [[nodiscard]] std::string summary() const;
    // Returns the number of log lines written so far.
    [[nodiscard]] std::uint64_t log_lines() const { return log_lines_; }

  private:
    using Counts = std::array<std::uint64_t, heartbeat_rejection_labels.size()>;
    event_loop::Timers& timers_;
    double log_interval_s_;
    std::optional<double> last_logged_;
    std::uint64_t log_lines_ = 0;
    Counts counts_{}, logged_counts_{};
};

}  // namespace coralhitch::relay
