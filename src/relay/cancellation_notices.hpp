// Notifies the other controllers of the cancellations that this one has confirmed, until the present leader
// has acknowledged them.
//
// The leader watches the jobs; the direct notice stops the tasks at once, also while the key-value store
// answers nobody. A notice that is sent only once can be lost, or reach a leader that is about to resign or
// has not loaded the jobs yet. A new leader lists the jobs after its claim, and a cancellation confirmed
// during that time is sent to it as well. So each notice is repeated for `cancel_s`, after which no task of
// the job is left to stop.
//
// Not thread safe; all callbacks run on the event loop.
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
    // The version of the newest leadership that this controller knows of; 0: none.
    using LeaderVersion = std::function<std::uint64_t()>;

    CancellationNotices(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                        LeaderVersion leader_version);
    // The job's record says since `version` that it is cancelled, and its user is about to be answered.
    // `acknowledged_by`: the version of the leadership that knows it already, if this controller leads, or 0.
    void announce(const std::string& job_id, std::uint64_t version, std::uint64_t acknowledged_by);
    // Notices that are kept for repetition.
    [[nodiscard]] std::size_t pending() const { return notices_.size(); }
    // Messages sent after the first ones.
    [[nodiscard]] std::uint64_t resent() const { return resent_; }

  private:
    struct Notice {
        std::string job_id;
        std::uint64_t version, acknowledged_by;
        double expiry;  // steady time
    };
    void send(const std::string& body, const protocol::PeerCancellationBatch& message);
    void resend();
    void schedule_resend();
    [[nodiscard]] protocol::PeerCancellationBatch unacknowledged() const;
    void acknowledge(const protocol::PeerCancellationBatch& message, std::uint64_t leader_version);

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    LeaderVersion leader_version_;
    std::deque<Notice> notices_;  // oldest first
    bool resend_scheduled_ = false;
    std::uint64_t resent_ = 0;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::relay
