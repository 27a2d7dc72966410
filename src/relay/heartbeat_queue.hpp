// Reports that have been read and wait for their turn at this controller.
//
// A worker gives up `worker_patience_s` after it sent a report, and drops an answer that comes later. A queue
// that serves the oldest first and lets them wait for all of that time answers, once it is behind, each
// report just too late: the controller is busy, no worker is answered, and every lease runs out. So a report
// waits for a share of that time only, which leaves the rest for the way and for the answer. Those that
// waited longer are refused, unread; their workers, which wait still, turn to another controller at once.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "http/message.hpp"
#include "protocol/protocol.hpp"
#include "relay/heartbeat_rejections.hpp"

namespace coralhitch::relay {

class HeartbeatQueue {
  public:
    struct Report {
        std::string body;
        http::Reply reply;
        double since = 0;  // when it was read, seconds of the injected clock
    };
    // Seconds.
    static constexpr double longest_wait_s = protocol::heartbeat_timeout_s * 0.6;

    // `refusals` counts those that waited too long; it must outlive the queue.
    explicit HeartbeatQueue(HeartbeatRejections& refusals) : refusals_(refusals) {}
    void push(Report r) { waiting_.push_back(std::move(r)); }
    // The one that waited longest of those whose workers can still be answered in time.
    std::optional<Report> next(double now) {
        while (!waiting_.empty()) {
            auto r = std::move(waiting_.front());
            waiting_.pop_front();
            if (now - r.since <= longest_wait_s) return r;
            ++refused_;
            refusals_.note(HeartbeatRejection::late);
            r.reply({503, "{}"});
        }
        return std::nullopt;
    }
    bool empty() const { return waiting_.empty(); }
    // All that wait, oldest first.
    std::deque<Report> take() { return std::exchange(waiting_, {}); }
    std::uint64_t refused() const { return refused_; }

  private:
    HeartbeatRejections& refusals_;
    std::deque<Report> waiting_;
    std::uint64_t refused_ = 0;
};

}  // namespace coralhitch::relay
