// Heartbeats that have been received and wait to be processed by this controller.
//
// A worker abandons a heartbeat `heartbeat_timeout_s` after it sent it and ignores a later answer. A queue
// that serves the oldest first and lets each wait for all of that time answers, once it is behind, every
// heartbeat just too late: the controller is busy, no worker gets an answer, and every worker lease expires.
// So a heartbeat waits for a share of that time only, which leaves the rest for transit and processing. Those
// that waited longer are rejected unread; their workers, which are still waiting, try another controller at
// once.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "http/message.hpp"
#include "protocol/agent_api.hpp"
#include "relay/heartbeat_rejections.hpp"

namespace coralhitch::relay {

// A heartbeat whose worker waits for the answer.
struct PendingHeartbeat {
    std::string body;  // as the worker sent it
    http::Reply reply;
    double received_at = 0;  // seconds of the injected clock
};

class HeartbeatQueue {
  public:
    static constexpr double max_wait_s = protocol::heartbeat_timeout_s * 0.6;

    // `rejections` counts those that waited too long; it must outlive the queue.
    explicit HeartbeatQueue(HeartbeatRejections& rejections) : rejections_(rejections) {}
    void push(PendingHeartbeat heartbeat) { waiting_.push_back(std::move(heartbeat)); }
    // The oldest heartbeat whose worker can still be answered in time; older ones are rejected. A rejection
    // may push further heartbeats.
    [[nodiscard]] std::optional<PendingHeartbeat> pop(double now) {
        while (!waiting_.empty()) {
            auto heartbeat = std::move(waiting_.front());
            waiting_.pop_front();
            if (now - heartbeat.received_at <= max_wait_s) return heartbeat;
            ++rejected_;
            rejections_.record(HeartbeatRejection::queue_timeout);
            heartbeat.reply({503, "{}"});
        }
        return std::nullopt;
    }
    [[nodiscard]] bool empty() const { return waiting_.empty(); }
    // Removes and returns all that wait, oldest first.
    [[nodiscard]] std::deque<PendingHeartbeat> take_all() { return std::exchange(waiting_, {}); }
    [[nodiscard]] std::uint64_t rejected() const { return rejected_; }

  private:
    HeartbeatRejections& rejections_;
    std::deque<PendingHeartbeat> waiting_;
    std::uint64_t rejected_ = 0;
};

}  // namespace coralhitch::relay
