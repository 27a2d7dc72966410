// Counts heartbeats that were rejected on purpose, by reason, and logs a summary at a limited rate.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "event_loop/timers.hpp"

namespace coralhitch::relay {

enum class HeartbeatRejection {
    lease_lost,               // this leader lost its own lease, or is about to stop
    renewal_deadline_passed,  // cancellations are known only up to a time too long ago to renew leases
    cancellation_unsent,      // the machine may run a cancelled task that no command has reached
    outdated,                 // not the machine's newest heartbeat, or the machine is unknown or deleted
    no_leader,                // there is no leader, or it does not accept what is forwarded to it
    redirected,               // the worker was sent to the leader instead
    queue_timeout,            // waited in a queue until its worker had stopped waiting
    socket_limit,             // all sockets for workers are in use
    outbound_unreachable,  // no answer of this leader reaches the machine: its lease must be seen to expire
};
// Labels in metrics and in the log, by the values of HeartbeatRejection. Dashboards depend on them.
inline constexpr std::array<std::string_view, 9> heartbeat_rejection_labels = {
    "no_lease",  "bound_over", "stop_unsent", "older",    "no_leader",
    "elsewhere", "late",       "sockets",     "unreached"};

class HeartbeatRejections {
  public:
    // Logs at most once in `log_interval_s` seconds.
    HeartbeatRejections(event_loop::Timers& timers, double log_interval_s)
        : timers_(timers), log_interval_s_(log_interval_s) {}
    // Counts one rejection, and logs the summary if the interval has passed.
    void record(HeartbeatRejection reason);
    [[nodiscard]] std::uint64_t count(HeartbeatRejection reason) const {
        return counts_[static_cast<std::size_t>(reason)];
    }
    // Each reason with its count since the last log line, as "3 late, 1 sockets"; empty if there are none.
    [[nodiscard]] std::string summary() const;
    // Log lines written so far.
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
