// A hollow worker: an agent that follows the protocol but runs no real tasks, like a hollow node of
// Kubernetes' kubemark.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "event_loop/lifetime_guard.hpp"
#include "http/server.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "scale/workers/heartbeat_sender.hpp"
#include "scale/workers/task_runner.hpp"
#include "scale/workers/worker_context.hpp"

namespace coralhitch::scale {

// One simulated worker with an address, connection, agent epoch, fencing token and lease of its own.
class HollowWorker : private HeartbeatSender::Agent, private TaskRunner::Agent {
  public:
    // Listens on the host's address and begins to send heartbeats. Throws if it can't listen. `context` must
    // outlive this.
    HollowWorker(WorkerContext& context, protocol::Host host);

    // Simulates the failure of the machine: from now on it answers no request, sends no heartbeat and runs no
    // task. Cannot be undone.
    void silence();
    TaskRunner& tasks() { return tasks_; }
    [[nodiscard]] const TaskRunner& tasks() const { return tasks_; }

  private:
    // Heartbeats.
    HeartbeatSender::OutgoingHeartbeat next_heartbeat() override;
    void handle_answer(const HeartbeatSender::Answer& answer) override;
    std::string status_body();
    // Commands.
    http::Response serve(const http::Request& request);
    http::Response serve_commands(const http::Request& request);
    void execute(const std::vector<protocol::Command>& commands);
    void update_token(protocol::FencingToken token);
    // Lease.
    void schedule_lease_check();
    void check_lease() override;
    void status_changed() override { heartbeats_.status_changed(); }

    WorkerContext& context_;
    protocol::Host host_;
    bool silent_ = false;
    protocol::AgentEpoch agent_epoch_{1};
    protocol::SequenceNumber sequence_;
    protocol::FencingToken token_;
    double lease_renewed_at_ = 0;  // time at which the last answered heartbeat was sent
    double token_reported_at_ = -1e9;
    event_loop::TimerId lease_timer_ = 0;
    HeartbeatSender heartbeats_;
    TaskRunner tasks_;
    std::unique_ptr<http::Server> server_;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale
