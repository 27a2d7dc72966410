// Whether this leadership may act, until when, and with which fencing token: the one value that every part of
// the leader asks before each act.
//
// A leader acts only while it holds its lease at the key-value store, counted from the *sending* of the last
// renewal, less clock drift (see election::Election). Every transaction that it sends is conditioned on the
// version of its key, so that one which arrives after another controller has taken over changes nothing.
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

// The authority of one leadership to act. Ends once, and for good.
class Authority {
  public:
    // Steady seconds: all cancellations that were committed before then are known to this leader. Nothing
    // while the jobs are being loaded.
    using CancellationsKnownUntil = std::function<std::optional<double>()>;

    // The references must outlive this object.
    Authority(event_loop::Timers& timers, const config::Settings& settings, election::Election& election,
              protocol::LeaderVersion fencing_token, CancellationsKnownUntil cancellations_known_until);

    // Whether this leader may act right now. Asked at every act: a timer may fire late.
    [[nodiscard]] bool holds() const { return !ended_ && election_.may_act(); }
    // The version of the leader's key under which this leadership began; no later leadership has a lower one.
    [[nodiscard]] protocol::LeaderVersion fencing_token() const { return fencing_token_; }

    // Whether workers' leases may be renewed. That goes on for a while after the authority to act has ended,
    // since a successor waits that long, but never beyond what this leader knows of cancellations.
    [[nodiscard]] bool may_renew_worker_leases() const;
    // Steady seconds after which nothing that this leader answers, or lets others answer, renews a lease.
    [[nodiscard]] double lease_renewal_deadline() const;
    // For how long worker leases may still be renewed after the authority to act has ended, seconds.
    [[nodiscard]] double renewal_after_expiry_s() const { return renewal_after_expiry_s_; }

    // An empty transaction that fails unless this leadership's key stands.
    [[nodiscard]] protocol::Txn fenced_transaction() const;
    // The same, or nothing without authority.
    [[nodiscard]] std::optional<protocol::Txn> begin_transaction() const;

    // The leadership is over, for ever; callbacks that arrive later do nothing.
    void end() { ended_ = true; }
    [[nodiscard]] bool ended() const { return ended_; }
    // Gives leadership up, and stays out of elections for so many seconds.
    void resign(double pause_s) { election_.resign(pause_s); }
    // A message proved that a later leadership exists, by its fencing token.
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
