// The authority of one leadership: whether it may act, until when, and with which fencing token. Every part
// of the leader checks it before each action.
//
// A leader acts only while it holds its lease at the key-value store. The lease is counted from the *sending*
// of the last renewal, less clock drift (see election::Election). Every transaction of the leader is
// conditional on the version of its leader key. A transaction that arrives after another controller has
// become the leader therefore changes nothing.
//
// All functions must be called on the event loop's thread.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>

#include "config/settings.hpp"
#include "election/election.hpp"
#include "event_loop/timers.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::leader {

// Authority of one leadership to act. Once ended, it never holds again.
class Authority {
  public:
    // Returns the time (steady seconds) before which this leader knows all committed cancellations. Returns
    // nothing while the jobs are being loaded.
    using CancellationsKnownUntil = std::function<std::optional<double>()>;

    // The references must outlive this object.
    Authority(event_loop::Timers& timers, const config::Settings& settings, election::Election& election,
              protocol::LeaderVersion fencing_token, CancellationsKnownUntil cancellations_known_until);

    // Returns true if this leader may act now. Must be checked at every action, since a timer may fire late.
    [[nodiscard]] bool holds() const { return !ended_ && election_.may_act(); }
    // Returns the version of the leader key with which this leadership began. Later leaderships have higher
    // ones.
    [[nodiscard]] protocol::LeaderVersion fencing_token() const { return fencing_token_; }

    // Returns true if the leases of agents may be renewed. Renewal is allowed for `renewal_after_expiry_s`
    // after the authority has expired, because a successor waits that long. It is never allowed so late that
    // a task could outlive a cancellation that this leader does not know.
    [[nodiscard]] bool may_renew_worker_leases() const;
    // Returns the time (steady seconds) after which no response of this leader or of its relays renews a
    // lease.
    [[nodiscard]] double lease_renewal_deadline() const;
    // Returns for how many seconds after the authority has expired the leases of agents may still be renewed.
    [[nodiscard]] double renewal_after_expiry_s() const { return renewal_after_expiry_s_; }

    // Returns a transaction without changes that fails unless this leadership's key still exists.
    [[nodiscard]] protocol::Txn fenced_transaction() const;
    // Returns a fenced transaction, or nothing if the authority does not hold.
    [[nodiscard]] std::optional<protocol::Txn> begin_transaction() const;

    // Ends the authority permanently. Guarded callbacks that run later do nothing (see CallbackGuard).
    void end() { ended_ = true; }
    [[nodiscard]] bool ended() const { return ended_; }
    // Gives up leadership, and lets other controllers go first in elections for up to `pause_s` seconds.
    void resign(double pause_s) { election_.resign(pause_s); }
    // Gives up leadership if `fencing_token`, received in a message, belongs to a later leadership.
    void step_down_if_superseded(protocol::LeaderVersion fencing_token) {
        election_.step_down_if_superseded(fencing_token);
    }

  private:
    event_loop::Timers& timers_;
    const config::Settings& settings_;
    election::Election& election_;
    protocol::LeaderVersion fencing_token_;
    CancellationsKnownUntil cancellations_known_until_;
    double renewal_after_expiry_s_;
    bool ended_ = false;
};

}  // namespace coralhitch::leader
