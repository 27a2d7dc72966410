// Leader election among the controllers. The leader is the controller that holds the key `leader` of the
// key-value store under a lease that it renews.
//
// Two leaders never act at the same time, for the following reason. The store counts a lease from the time at
// which it executes the creation or renewal, which is never before the request was sent. The leader counts
// from the time of sending, and acts only until `sent_at + ttl`, less the drift of the clocks and a margin
// for the time between its check of the clock and the action (`may_act`). The store may end a lease late, but
// never early. The leader's authority therefore ends before the store can delete its key, and no other
// controller can claim the key before that.
//
// Messages that a leader sent while it had authority may still arrive later. They are fenced by the fencing
// token, which is the version of the leader's key. Versions only grow, agents ignore commands with a token
// lower than the highest that they have seen, and every transaction of a leader is conditional on the version
// of its key.
//
// Runs on the event loop's thread.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "config/settings.hpp"
#include "election/leadership_history.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::election {

// The clock drift, as a ratio, that decisions by time allow for. It is twice the 0.05% by which the steady
// clocks of two machines drift apart at most.
inline constexpr double max_clock_drift = 0.001;

// One controller's part in elections: follows the leader, claims leadership when there is none, and renews
// its lease while it leads.
class Election {
  public:
    struct Callbacks {
        // Called when this controller has become the leader.
        std::function<void(protocol::LeaderVersion fencing_token)> on_elected;
        // Called when this controller is no longer the leader: its lease has expired, a later leadership
        // exists, or it has resigned.
        std::function<void()> on_leadership_lost;
        // Returns true if, as far as is known, another controller should lead instead. May be empty.
        std::function<bool()> should_defer = {};
    };

    // `incarnation` identifies this process among those of the same controller. `seed` is for the jitter of
    // retries. The references must outlive this object, and it must outlive its timers and requests.
    Election(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
             protocol::Incarnation incarnation, std::uint64_t seed);

    // Begins to take part in elections. Must be called once.
    void start(Callbacks callbacks);

    // Returns true if this controller believes that it is the leader. Its lease may have expired since.
    [[nodiscard]] bool is_leader() const { return role_ == Role::leader; }
    // Returns true if this controller may act as the leader now. Must be called before every action, because
    // a timer may fire late.
    [[nodiscard]] bool may_act() const { return is_leader() && timers_.now() < authority_expiry_; }
    // Returns the steady time, in seconds, at which the authority to act ends unless a renewal succeeds; 0
    // while this controller is not the leader.
    [[nodiscard]] double authority_expiry() const { return authority_expiry_; }
    // Returns the token of this controller's latest leadership; none if it has never led.
    [[nodiscard]] protocol::LeaderVersion fencing_token() const { return fencing_token_; }
    [[nodiscard]] double lease_ttl_s() const { return lease_ttl_s_; }

    // Returns the leaderships observed before this controller's latest successful claim.
    [[nodiscard]] const LeadershipHistory& history_before_claim() const { return history_before_claim_; }

    // Returns the label of the latest known leader; empty if it is unknown.
    [[nodiscard]] const std::string& leader_label() const { return leader_label_; }
    // Returns the highest fencing token of a leader known so far.
    [[nodiscard]] protocol::LeaderVersion leader_fencing_token() const { return leader_fencing_token_; }

    // Records a leader that another controller has named. Does nothing unless its token is newer than the
    // latest known one. If this controller leads with an older token, it steps down.
    void observe_leader(const std::string& label, protocol::LeaderVersion fencing_token);
    // Steps down if this controller leads with an older token than `fencing_token`, which is evidence that a
    // leadership with that token exists.
    void step_down_if_superseded(protocol::LeaderVersion fencing_token);
    // Gives up leadership, ends the lease, and defers to the other controllers for up to `pause_s` seconds.
    void resign(double pause_s);

  private:
    enum class Role { follower, candidate, leader };

    // Follower: reads the leader's key, then watches it.
    void read_leader_key();
    void schedule_read();
    void handle_leader_key(const protocol::Entry& entry);
    void handle_leader_record(const protocol::Entry& entry, const protocol::LeaderRecord& record);
    [[nodiscard]] bool is_previous_incarnation(const protocol::LeaderRecord& record) const;
    void watch_leader_key(std::uint64_t since_revision);
    void handle_leader_events(std::uint64_t since_revision, const protocol::Events& events);
    void list_leader_key();

    // Candidate: claims the key once it is absent.
    void campaign_unless_deferring();
    void campaign();
    void claim(kv::LeaseResult lease);
    void resolve_unknown_claim(kv::LeaseResult lease);
    [[nodiscard]] bool is_own_claim(const protocol::Entry& entry, std::uint64_t lease_id) const;
    void give_up_claim(std::uint64_t lease_id);

    // Leader: renews the lease.
    void become_leader(protocol::LeaderVersion version, kv::LeaseResult lease);
    void renew_lease();
    void lose_leadership();
    [[nodiscard]] double authority_expiry_of(double lease_sent_at) const;

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    protocol::Incarnation incarnation_;
    std::minstd_rand random_;
    double lease_ttl_s_;
    Callbacks callbacks_;

    Role role_ = Role::follower;
    double authority_expiry_ = 0;             // steady time
    std::optional<double> deferring_until_;   // steady time, after a resignation
    std::optional<double> key_absent_since_;  // steady time at which the key was first found absent
    protocol::LeaderVersion fencing_token_;
    std::uint64_t lease_id_ = 0;
    // Incremented with each leadership won or lost. Answers and timers of an earlier round are ignored.
    std::uint64_t leadership_round_ = 0;

    std::string leader_label_;
    protocol::LeaderVersion leader_fencing_token_;
    LeadershipHistory history_, history_before_claim_;
};

}  // namespace coralhitch::election
