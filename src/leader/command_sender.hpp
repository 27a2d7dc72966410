// Sends direct requests to machines and processes the responses. Requests carry either commands that cannot
// wait for the response to the next heartbeat, or no commands. A request without commands is a probe: it asks
// for the agent's status and gives the agent this leader's fencing token.
//
// The CommandSender owns the queue of machines to probe, the queue of machines with commands to send, and the
// rate limit for probes of machines that have not reconciled. In a machine's state it writes the time and
// state of its probes, its reachability, and which commands are in flight. The status in a response has the
// format of a heartbeat and is passed to `apply_status`.
//
// All functions must be called on the event loop's thread. They lock LeaderState::mutex themselves, so the
// caller must not hold it, except where a function says otherwise.
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

// Sends commands and probes to machines in small batches, and processes their responses.
class CommandSender : private LeaderPart {
  public:
    // Called with the status that a machine sent in response to a direct request.
    using ApplyStatus = std::function<void(const protocol::Heartbeat& status)>;
    // Time after its start, in heartbeat periods, at which a new leader probes the machines that have not
    // reconciled by then. Only a sample of the machines is probed earlier.
    static constexpr double first_probe_heartbeat_periods = 1.0 / 10;
    // Returns how many probes this controller can process in the given number of heartbeat periods with the
    // share of the processor that config::status_queries_per_s allows. Returns at least 1.
    [[nodiscard]] static double probes_within(const config::Settings& settings, double heartbeat_periods);

    CommandSender(const PartContext& context, http::Requester& http, Delegations& delegations,
                  failover::Reconciliation& reconciliation, ApplyStatus apply_status);

    // Sends pending commands to all machines that the cluster state has scheduled for that, a few in each
    // iteration of the event loop. Revokes the delegations of these machines, because a relay would continue
    // to answer their heartbeats without commands.
    void flush_all();
    // Sends the commands that are pending for this machine, if there are any and its agent epoch is known.
    void flush(cluster::Machine& machine);
    // Queues a probe of the machine, unless its address is unknown or a probe is already queued or in flight.
    // May be called with the mutex held.
    void probe(cluster::Machine& machine);
    // Returns the time of the last response with a status to a direct request (steady seconds).
    [[nodiscard]] std::optional<double> last_answer_at() const { return last_answer_at_; }

  private:
    enum class Request { probe, commands };
    // A direct request that was sent.
    struct SentCommands {
        std::string machine_id;
        std::vector<protocol::Command> commands;  // empty for a probe
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
