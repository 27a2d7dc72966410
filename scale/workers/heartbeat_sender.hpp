// When a hollow worker sends heartbeats, and to which controller, as the protocol describes it.
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

// One heartbeat at a time: regularly, and sooner if the worker's status has changed. Turns to another
// controller when one does not answer, redirects or rejects.
class HeartbeatSender {
  public:
    struct OutgoingHeartbeat {
        std::string body;
        protocol::AgentEpoch agent_epoch;
    };
    struct Answer {
        protocol::AgentEpoch agent_epoch;  // of the heartbeat
        double sent_at = 0;                // the heartbeat
        std::string body;
    };
    // The worker that the heartbeats are of.
    class Agent {
      public:
        virtual ~Agent() = default;
        virtual OutgoingHeartbeat next_heartbeat() = 0;
        // Called before each answer, since time has passed.
        virtual void check_lease() = 0;
        virtual void handle_answer(const Answer& answer) = 0;
    };

    // Both must outlive this.
    HeartbeatSender(WorkerContext& context, Agent& agent);

    // The first heartbeat is sent at once.
    void start();
    void status_changed();
    // For good. Answers that still come are ignored.
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
    void turn_to_next_controller();

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
