// Decides when a hollow worker sends heartbeats and to which controller, as the protocol specifies.
#pragma once
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include "event_loop/event_loop.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "http/client.hpp"
#include "protocol/numbers.hpp"
#include "scale/workers/worker_context.hpp"

namespace coralhitch::scale {

// Sends one heartbeat at a time: at regular intervals, and earlier if the worker's status has changed.
// Changes to another controller when the current one does not answer, redirects the worker, or rejects the
// heartbeat.
class HeartbeatSender {
  public:
    // A heartbeat to send, and the agent epoch that it was made in.
    struct OutgoingHeartbeat {
        std::string body;
        protocol::AgentEpoch agent_epoch;
    };
    // A controller's answer with status 200.
    struct Answer {
        protocol::AgentEpoch agent_epoch;  // epoch that the answered heartbeat was made in
        double sent_at = 0;                // time at which the answered heartbeat was sent
        std::string body;
    };
    // The worker whose heartbeats are sent.
    class Agent {
      public:
        virtual ~Agent() = default;
        // Returns the next heartbeat, with a new sequence number.
        virtual OutgoingHeartbeat next_heartbeat() = 0;
        // Called when a heartbeat was answered or timed out, before the result is handled: the lease may have
        // expired in the meantime.
        virtual void check_lease() = 0;
        virtual void handle_answer(const Answer& answer) = 0;
    };

    // Both must outlive this.
    HeartbeatSender(WorkerContext& context, Agent& agent);

    // Begins to send heartbeats. The first one is sent at once.
    void start();
    // Requests a heartbeat before the next regular one, because the worker's status has changed.
    void status_changed();
    // Stops permanently. Answers that arrive later are ignored.
    void stop();

  private:
    static constexpr double never = std::numeric_limits<double>::max();

    void schedule();
    void on_timer();
    void send();
    void count_sent(const std::string& body, std::uint64_t bytes);
    void on_answer(protocol::AgentEpoch agent_epoch, double sent_at,
                   const std::optional<http::Response>& response);
    void on_redirect(const std::string& body);
    void switch_to_next_controller();

    WorkerContext& context_;
    Agent& agent_;
    std::uint32_t controller_;
    bool stopped_ = false, in_flight_ = false, status_changed_ = false;
    double last_sent_ = -1e9, regular_due_ = 0, timer_due_ = never;
    std::string last_body_;
    event_loop::TimerId timer_ = 0;
    http::Client client_;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale
