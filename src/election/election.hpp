// Leader election among the controllers: whoever holds the key `leader` of the key-value store, under a lease
// that it renews, is the leader.
//
// Why no two leaders act at once. The store counts a lease from the moment at which it executes the creation
// or renewal, which is never before the request was sent. The leader counts from the sending, and acts only
// until `sent_at + ttl`, less the drift of the clocks and a margin for the time between its check of the
// clock and the act (`may_act`). The store may end a lease late, but never early. So its authority ends
// before the store can delete its key, and nobody else can claim the key before that.
//
// What a leader sent while it had authority may still arrive later. That is fenced by the fencing token, the
// version of the leader's key: versions only grow, agents ignore commands with a token lower than the highest
// that they have seen, and every transaction of a leader has its key's version as a condition.
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

namespace coralhitch::election {

// Steady clocks of two machines drift apart by up to 0.05%; twice that, as a ratio, for whatever is decided
// by time.
inline constexpr double max_clock_drift = 0.001;

class Election {
  public:
    struct Callbacks {
        // This controller became the leader.
        std::function<void(std::uint64_t fencing_token)> on_elected;
        // It is not the leader any more: lease expired, superseded, or resigned.
        std::function<void()> on_leadership_lost;
        // Whether another controller should lead rather than this one, as far as is known; may be empty.
        std::function<bool()> should_defer = {};
    };

    // `incarnation` identifies this process among those of the same controller; `seed` is for the jitter of
    // retries. The references must outlive this object, and it must outlive its timers and requests.
    Election(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
             std::uint64_t incarnation, std::uint64_t seed);

    // Takes part in elections from now on. To be called once.
    void start(Callbacks callbacks);

    // Whether this controller is the leader as far as it knows; its lease may have run out meanwhile.
    [[nodiscard]] bool is_leader() const { return role_ == Role::leader; }
    // Whether it may act as the leader right now. To be asked at every act: a timer may fire late.
    [[nodiscard]] bool may_act() const { return is_leader() && timers_.now() < authority_expiry_; }
    // Steady time (seconds) at which the authority to act ends unless a renewal succeeds; 0 while not leader.
    [[nodiscard]] double authority_expiry() const { return authority_expiry_; }
    // Of the latest leadership of this controller; 0 if there was none.
    [[nodiscard]] std::uint64_t fencing_token() const { return fencing_token_; }
    [[nodiscard]] double lease_ttl_s() const { return lease_ttl_s_; }

    // The leaderships observed before this controller's latest claim, its own left out.
    [[nodiscard]] const LeadershipHistory& history_before_claim() const { return history_before_claim_; }

    // The latest known leader: its label (empty if unknown) and its fencing token.
    [[nodiscard]] const std::string& leader_label() const { return leader_label_; }
    [[nodiscard]] std::uint64_t leader_fencing_token() const { return leader_fencing_token_; }

    // Another controller names a leader. Ignored unless its token is newer than the latest known one; steps
    // down if this controller led before it.
    void observe_leader(const std::string& label, std::uint64_t fencing_token);
    // There is proof of a leadership with that token: steps down if it is newer than the own one.
    void step_down_if_superseded(std::uint64_t fencing_token);
    // Gives up leadership, ends the lease and defers to the others for a while (seconds).
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
    void become_leader(std::uint64_t version, kv::LeaseResult lease);
    void renew_lease();
    void lose_leadership();
    [[nodiscard]] double authority_expiry_of(double lease_sent_at) const;

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    std::uint64_t incarnation_;
    std::minstd_rand random_;
    double lease_ttl_s_;
    Callbacks callbacks_;

    Role role_ = Role::follower;
    double authority_expiry_ = 0;             // steady time
    std::optional<double> deferring_until_;   // steady time, after a resignation
    std::optional<double> key_absent_since_;  // steady time at which the key was first found absent
    std::uint64_t fencing_token_ = 0;
    std::uint64_t lease_id_ = 0;
    // Counts leaderships won and lost: an answer or timer of an earlier one is ignored.
    std::uint64_t leadership_round_ = 0;

    std::string leader_label_;
    std::uint64_t leader_fencing_token_ = 0;
    LeadershipHistory history_, history_before_claim_;
};

}  // namespace coralhitch::election
