// The queue of heartbeats that this controller has received and not processed yet.
//
// An agent abandons a heartbeat `heartbeat_timeout_s` after sending it, and ignores a later answer. If each
// heartbeat could wait for all of that time, an overloaded first-in-first-out queue would answer every
// heartbeat just too late: the controller is busy, no agent gets an answer, and all agent leases expire. A
// heartbeat may therefore wait for only a share of that time, which leaves the rest for transit and
// processing. A heartbeat that has waited longer is rejected without being parsed. Its agent is still waiting
// at that time, and tries another controller at once.
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

// A heartbeat whose agent is waiting for the answer.
struct PendingHeartbeat {
    std::string body;  // as sent by the agent
    http::Reply reply;
    double received_at = 0;  // seconds of the injected clock
};

// A first-in-first-out queue that rejects heartbeats with status 503 after `max_wait_s`. Not thread safe.
class HeartbeatQueue {
  public:
    static constexpr double max_wait_s = protocol::heartbeat_timeout_s * 0.6;

    // `rejections` counts the rejected heartbeats, and must outlive the queue.
    explicit HeartbeatQueue(HeartbeatRejections& rejections) : rejections_(rejections) {}
    void push(PendingHeartbeat heartbeat) { waiting_.push_back(std::move(heartbeat)); }
    // Removes and returns the oldest heartbeat that has not waited too long; nullopt if there is none.
    // Rejects all older heartbeats. Their reply callbacks may push further heartbeats.
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
    // Removes and returns all heartbeats, oldest first.
    [[nodiscard]] std::deque<PendingHeartbeat> take_all() { return std::exchange(waiting_, {}); }
    [[nodiscard]] std::uint64_t rejected() const { return rejected_; }

  private:
    HeartbeatRejections& rejections_;
    std::deque<PendingHeartbeat> waiting_;
    std::uint64_t rejected_ = 0;
};

}  // namespace coralhitch::relay
