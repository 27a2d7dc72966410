// Notifies the other controllers of the cancellations that this one has confirmed, until the current leader
// has acknowledged them.
//
// The leader also watches the jobs in the key-value store. The direct notice stops the tasks without delay,
// even while the store does not answer. A notice that is sent only once can be lost, or reach a leader that
// is about to resign or has not loaded the jobs yet. A new leader lists the jobs after it has claimed
// leadership, and must also learn of cancellations confirmed during that time. Each notice is therefore
// repeated for up to `cancel_s` seconds, after which no task of the job is left to stop.
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
#include "protocol/numbers.hpp"
#include "protocol/peer_cancellation_messages.hpp"

namespace coralhitch::relay {

// Sends and repeats the notices of one controller.
class CancellationNotices {
  public:
    // Returns the version of the latest leadership that this controller knows of; none if it knows none.
    using LeaderVersionLookup = std::function<protocol::LeaderVersion()>;

    CancellationNotices(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                        LeaderVersionLookup leader_version);
    // Sends a notice that the job is cancelled, and repeats it until it is acknowledged. To be called before
    // the cancellation is confirmed to the user. `version` is the version of the job's record with the
    // cancellation. `acknowledged_by` is the version of this controller's own leadership if it leads, since
    // that leader knows of the cancellation already; otherwise none.
    void announce(const std::string& job_id, std::uint64_t version, protocol::LeaderVersion acknowledged_by);
    // Returns the number of notices that have not expired. Acknowledged notices are included.
    [[nodiscard]] std::size_t pending() const { return notices_.size(); }
    // Returns the number of repeated messages, counted once for each receiver.
    [[nodiscard]] std::uint64_t resent() const { return resent_; }

  private:
    struct Notice {
        std::string job_id;
        std::uint64_t version;  // of the job's record
        protocol::LeaderVersion acknowledged_by;
        double expiry;  // steady time
    };
    void send(const std::string& body, const protocol::PeerCancellationBatch& message);
    void resend();
    void schedule_resend();
    [[nodiscard]] protocol::PeerCancellationBatch unacknowledged() const;
    void acknowledge(const protocol::PeerCancellationBatch& message, protocol::LeaderVersion leader_version);

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    LeaderVersionLookup leader_version_;
    std::deque<Notice> notices_;  // oldest first
    bool resend_scheduled_ = false;
    std::uint64_t resent_ = 0;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::relay
