// Until when workers' leases may be renewed, by anybody.
//
// A task of a cancelled job must be gone `cancel_s` after the cancellation was told, also if no command
// reaches its machine. What ends it then is its worker's lease, `lease_s` after the sending of the last
// report that was answered. A leader that is complete up to K (`kv::ListWatch::complete_until`) knows of
// every cancellation committed before K; one that it doesn't know was told after K. So with
//
//     K + renewal_s + lease_s (1 + 2 drift) + report_s / 2 <= K + cancel_s
//
// no report that was answered before K + renewal_s keeps its task too long. The half report period is for
// clocks that drift apart meanwhile and for the worker's own timers.
#pragma once
#include <algorithm>

#include "config/settings.hpp"
#include "election/election.hpp"

namespace coralhitch::relay {

inline constexpr double renewal_margin_reports = 1.0 / 2;

// Seconds after the time up to which the leader is complete; 0 if the settings leave nothing.
inline double renewal_s(const config::Settings& s) {
    double left =
        s.cancel_s - s.lease_s * (1 + 2 * election::max_clock_drift) - s.report_s * renewal_margin_reports;
    return std::max(0.0, left);
}
// How long after its authority has run out a leader goes on renewing, without new commands: what its
// successor counts on. Seconds.
inline double keep_alive_s(const config::Settings& s, double ttl) {
    return std::max(0.0, renewal_s(s) - ttl - s.report_s * renewal_margin_reports);
}
// The steady time after which nothing that this leader answers, or lets others answer, renews a lease.
inline double lease_renewal_deadline(const config::Settings& s, double ttl, double complete_at,
                                     double authority_until) {
    return std::min(complete_at + renewal_s(s), authority_until + keep_alive_s(s, ttl));
}

}  // namespace coralhitch::relay
