// Until when worker leases may be renewed, by the leader or by a relaying controller.
//
// A task of a cancelled job must have ended `cancel_s` after the cancellation was confirmed to its user, also
// if no command reaches its machine. What ends it then is the expiry of its worker's lease, `lease_s` after
// the worker sent the last heartbeat that was answered. A leader that is complete up to K
// (`kv::ListWatch::complete_at`) knows every cancellation committed before K; one that it does not know was
// confirmed after K. So with
//
//     K + renewal_window_s + lease_s (1 + 2 drift) + heartbeat_interval_s / 2 <= K + cancel_s
//
// no heartbeat that was answered before K + renewal_window_s keeps its task too long. The half report period
// covers clock drift in between and the worker's own timers.
#pragma once
#include <algorithm>

#include "config/settings.hpp"
#include "election/election.hpp"

namespace coralhitch::relay {

inline constexpr double renewal_margin_periods = 1.0 / 2;  // in report periods

// For how many seconds after the time up to which it is complete a leader may renew leases; 0 if the settings
// leave nothing.
inline double renewal_window_s(const config::Settings& settings) {
    double left = settings.cancel_s - settings.lease_s * (1 + 2 * election::max_clock_drift) -
                  settings.heartbeat_interval_s * renewal_margin_periods;
    return std::max(0.0, left);
}
// For how many seconds after its authority has expired a leader goes on renewing leases, without sending new
// commands. Its successor relies on this bound. `ttl_s`: of the leader's own lease.
inline double renewal_grace_s(const config::Settings& settings, double ttl_s) {
    return std::max(
        0.0, renewal_window_s(settings) - ttl_s - settings.heartbeat_interval_s * renewal_margin_periods);
}
// The steady time after which nothing that this leader answers, or lets relaying controllers answer, renews a
// lease. `complete_at`, `authority_until`: steady times.
inline double lease_renewal_deadline(const config::Settings& settings, double ttl_s, double complete_at,
                                     double authority_until) {
    return std::min(complete_at + renewal_window_s(settings),
                    authority_until + renewal_grace_s(settings, ttl_s));
}

}  // namespace coralhitch::relay
