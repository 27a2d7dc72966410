// Tests until when agents' leases may be renewed.
#include "relay/worker_lease.hpp"

#include <gtest/gtest.h>

namespace coralhitch::relay {
namespace {

// A job is cancelled right after the time up to which the leader knows all cancellations, a heartbeat is
// answered at the last permitted moment, and no command reaches the machine. For all settings, the expiry of
// the agent's lease must then end the task within `cancel_s`.
TEST(WorkerLease, RenewalEndsEarlyEnoughForEveryCancellation) {
    struct Case {
        double heartbeat_interval_s, lease_s, cancel_s;
        bool grace;  // leases may be renewed for some time after the end of the leader's authority
    };
    const Case cases[] = {{3, 24, 44, true},      {3, 31, 61, true},  {6, 31, 51, true},
                          {3, 24, 27, false},     {3, 24, 29, false}, {6, 31, 37, false},
                          {0.5, 600, 601, false}, {10, 24, 300, true}};
    for (auto& c : cases) {
        config::Settings s;
        s.heartbeat_interval_s = c.heartbeat_interval_s;
        s.lease_s = c.lease_s;
        s.cancel_s = c.cancel_s;
        double ttl = s.lease_s * s.op.lease_ratio, slow = 1 + 0.0005;
        double complete_at = 100, last = lease_renewal_deadline(s, ttl, complete_at, 1e9);
        EXPECT_LT((last - complete_at) * slow + s.lease_s * slow, s.cancel_s) << c.cancel_s;
        EXPECT_EQ(renewal_grace_s(s, ttl) > 0, c.grace) << c.cancel_s;
        // The successor relies on the grace period as a bound. A leader must keep to it even if it knows all
        // cancellations up to a much later time.
        EXPECT_LE(lease_renewal_deadline(s, ttl, 1e9, 50), 50 + renewal_grace_s(s, ttl));
        // A leader that does not learn of new cancellations stops renewing leases, even with authority.
        EXPECT_LE(last, complete_at + s.cancel_s - s.lease_s);
    }
}

}  // namespace
}  // namespace coralhitch::relay
