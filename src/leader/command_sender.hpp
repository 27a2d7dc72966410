// Direct requests to machines: commands that can't wait for the next heartbeat's answer, and probes, which
// ask for a status and make the worker take this leader's token. Also what became of each.
//
// Owns the queue of machines to probe, the queue of machines with commands to send, and the rate at which
// machines that have not reconciled are probed. Writes the probe's times and state of a machine, its
// reachability, and which commands are under way. An answer is a status like a heartbeat and goes to
// `apply_status`.
//
// On the event loop's thread; takes LeaderState::mutex itself, so the caller must not hold it, except where a
// function says otherwise.
#pragma once
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "event_loop/token_bucket.hpp"
#include "failover/reconciliation.hpp"
#include "http/message.hpp"
#include "leader/delegations.hpp"
#include "leader/leader_part.hpp"
#include "protocol/agent_api.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::leader {

// Sends commands and probes to machines, at a bounded rate, and takes in their answers.
class CommandSender : private LeaderPart {
  public:
    // A machine handle_response a direct request with this status.
    using ApplyStatus = std::function<void(const protocol::Heartbeat& status)>;
    // Report periods: a new leader probes most machines only if they have not been heard from by then.
    static constexpr double first_probe_heartbeat_periods = 1.0 / 10;
    // As many probes as the processor's share answers in so many report periods; at least one.
    [[nodiscard]] static double probes_within(const config::Settings& settings, double reports);

    CommandSender(const PartContext& context, http::Requester& http, Delegations& delegations,
                  failover::Reconciliation& reconciliation, ApplyStatus apply_status);

    // Sends what is due to all machines that the cluster state names, a few in each turn of the loop. Their
    // delegations are revoked: a relay would go on giving an answer without commands.
    void flush_all();
    // Sends what is due to this machine.
    void flush(cluster::Machine& machine);
    // Asks the machine for its status soon, if it has an address and is not being asked already. May be
    // called with the mutex held.
    void probe(cluster::Machine& machine);
    // When a machine last handle_response a direct request, steady seconds.
    [[nodiscard]] std::optional<double> last_answer_at() const { return last_answer_at_; }

  private:
    enum class Request { probe, commands };
    struct SentCommands {
        std::string machine_id;
        std::vector<protocol::Command> commands;  // none: a probe
        protocol::FencingToken token;
    };
    void flush_some();
    void schedule_probes();
    void send_probes();
    [[nodiscard]] bool needs_no_probe(const cluster::Machine& machine) const;
    void send_probe(cluster::Machine& machine);
    void wait_for_probe_tokens();
    void send(cluster::Machine& machine, std::vector<protocol::Command> commands);
    void handle_response(const SentCommands& sent, const std::optional<http::Response>& response);
    bool apply_answer(const std::string& machine_id, const http::Response& response);

    http::Requester& http_;
    Delegations& delegations_;
    failover::Reconciliation& reconciliation_;
    ApplyStatus apply_status_;
    protocol::HeartbeatReader reader_;
    std::deque<std::string> probe_queue_, flush_queue_;
    std::size_t probes_in_flight_ = 0;
    bool probes_scheduled_ = false, waits_for_tokens_ = false;
    event_loop::TokenBucket probe_tokens_;  // for machines that have not reconciled
    std::optional<double> last_answer_at_;
};

}  // namespace coralhitch::leader
