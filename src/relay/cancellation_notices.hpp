// Tells the other controllers which cancellations this one has confirmed, until the leader of the present
// leadership has taken them in.
//
// The leader watches the jobs; being told as well gets the tasks stopped at once, also while the state
// service answers nobody. Told once, a notice was lost on its way, came to a leader that was going, or to one
// that had not read the jobs yet. A new leader lists the jobs after its claim, and what is confirmed while it
// does is told to it, too: so each notice is repeated for `cancel_s`, after which nothing is left to stop.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "protocol/peer_cancellation_messages.hpp"

namespace coralhitch::relay {

class CancellationNotices {
  public:
    // `leadership`: the version of the newest one that this controller knows of; 0: none.
    CancellationNotices(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                        std::function<std::uint64_t()> leadership);
    // The job's record says since this version that it is cancelled, and its user is about to be told. With
    // the leadership that knows it already, if this controller leads.
    void confirmed(const std::string& id, std::uint64_t version, std::uint64_t taken_by);
    std::size_t size() const { return notices_.size(); }
    std::uint64_t repeated() const { return repeated_; }  // messages after the first ones

  private:
    struct Notice {
        std::string id;
        std::uint64_t version, taken_by;
        double until;  // steady time
    };
    void send(const std::string& body, const protocol::PeerCancelledAgain& message);
    void repeat();
    void repeat_later();
    void taken(const protocol::PeerCancelledAgain& message, std::uint64_t by);

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    std::function<std::uint64_t()> leadership_;
    std::deque<Notice> notices_;  // the oldest first
    bool armed_ = false;
    std::uint64_t repeated_ = 0;
    event_loop::LifetimeGuard guarded_;  // last, so that it goes first
};

}  // namespace coralhitch::relay
