// Computes until when the leader or a relay may renew agents' leases.
//
// A task of a cancelled job must end within `cancel_s` seconds after the cancellation was confirmed to the
// user, even if no command reaches the task's machine. In that case the expiry of the agent's lease ends the
// task, `lease_s` seconds after the agent sent the last heartbeat that was answered. A leader that is
// complete up to time K (`kv::ListWatch::complete_at`) knows every cancellation committed before K. A
// cancellation that it does not know was therefore confirmed after K. Given
//
//     K + renewal_window_s + lease_s (1 + 2 drift) + heartbeat_interval_s / 2 <= K + cancel_s
//
// no heartbeat answered before K + renewal_window_s keeps a task running for too long. The half heartbeat
// period covers clock drift during that window and the delays of the agent's own timers.
#pragma once
#include <algorithm>

#include "config/settings.hpp"
#include "election/election.hpp"

namespace coralhitch::relay {

inline constexpr double renewal_margin_heartbeat_periods = 1.0 / 2;

// Returns for how many seconds a leader may renew leases after the time up to which it knows all
// cancellations; 0 if the settings leave no time.
inline double renewal_window_s(const config::Settings& settings) {
    double left = settings.cancel_s - settings.lease_s * (1 + 2 * election::max_clock_drift) -
                  settings.heartbeat_interval_s * renewal_margin_heartbeat_periods;
    return std::max(0.0, left);
}
// Returns for how many seconds after the end of its authority a leader continues to renew leases, without
// sending new commands. Its successor relies on this bound. `ttl_s` is the TTL of the leader's own lease.
inline double renewal_grace_s(const config::Settings& settings, double ttl_s) {
    return std::max(0.0, renewal_window_s(settings) - ttl_s -
                             settings.heartbeat_interval_s * renewal_margin_heartbeat_periods);
}
// Returns the time after which neither this leader nor its relays may renew a lease. `complete_at` is the
// time up to which the leader knows all cancellations, and `authority_until` the end of its authority. All
// are seconds of the steady clock.
inline double lease_renewal_deadline(const config::Settings& settings, double ttl_s, double complete_at,
                                     double authority_until) {
    return std::min(complete_at + renewal_window_s(settings),
                    authority_until + renewal_grace_s(settings, ttl_s));
}

}  // namespace coralhitch::relay
