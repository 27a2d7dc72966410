#include "leader/command_sender.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "protocol/malformed.hpp"

namespace coralhitch::leader {
using cluster::Machine;

namespace {
// Request timeouts, in heartbeat periods.
constexpr double probe_timeout_heartbeat_periods = 0.33, command_timeout_heartbeat_periods = 0.7;
// Maximum share of all sockets that probes in flight may use.
constexpr double probe_share_of_sockets = 1.0 / 8;
// A reconciled machine needs no probe if its last heartbeat is at most this old, in heartbeat periods.
constexpr double recent_heartbeat_periods = 1.0 / 2;
// Time within which an agent's next heartbeat carries the fencing token from the last response, in heartbeat
// periods.
constexpr double token_echo_heartbeat_periods = 1.0 / 4;
constexpr std::size_t requests_per_turn = 16;

// Returns true if the agent rejected the request but sent its status: it has seen a higher fencing token, or
// the request carried a wrong agent epoch.
bool is_refused(const http::Response& response) {
    return response.status == 409 || response.status == 400;
}
bool has_status(const http::Response& response) {
    return response.status == 200 || is_refused(response);
}
}  // namespace

double CommandSender::probes_within(const config::Settings& settings, double heartbeat_periods) {
    return std::max(
        1.0, config::status_queries_per_s(settings) * settings.heartbeat_interval_s * heartbeat_periods);
}

CommandSender::CommandSender(const PartContext& context, http::Requester& http, Delegations& delegations,
                             failover::Reconciliation& reconciliation, ApplyStatus apply_status)
    : LeaderPart(context),
      http_(http),
      delegations_(delegations),
      reconciliation_(reconciliation),
      apply_status_(std::move(apply_status)),
      probe_tokens_(config::status_queries_per_s(settings_),
                    probes_within(settings_, first_probe_heartbeat_periods)) {}

void CommandSender::flush_all() {
    std::vector<std::string> machine_ids;
    {
        std::lock_guard lock(state_.mutex);
        machine_ids = state_.cluster.take_machines_to_flush();
    }
    bool idle = flush_queue_.empty();
    for (auto& id : machine_ids) {
        delegations_.revoke(id);
        flush_queue_.push_back(std::move(id));
    }
    if (idle) flush_some();
}

// Sends a few requests per iteration of the event loop. A plan may start a thousand tasks, and sending all
// commands in one iteration took so long that the leader's lease expired.
void CommandSender::flush_some() {
    for (std::size_t sent = 0; sent < requests_per_turn && !flush_queue_.empty(); ++sent) {
        auto* machine = state_.cluster.find(flush_queue_.front());
        flush_queue_.pop_front();
        if (machine) flush(*machine);
    }
    if (!flush_queue_.empty()) timers_.after(0, guarded_([this] { flush_some(); }));
}

void CommandSender::flush(Machine& machine) {
    std::vector<protocol::Command> commands;
    {
        std::lock_guard lock(state_.mutex);
        if (!machine.agent_epoch.is_set()) {
            machine.flush_scheduled = false;
            return;
        }
        commands = state_.cluster.take_direct_commands(machine, now(), authority_.holds());
    }
    if (!commands.empty()) send(machine, std::move(commands));
}

// Probes are queued rather than sent at once. A failover probes hundreds of machines, and these requests must
// fit into the available sockets and the processor share for status queries.
void CommandSender::probe(Machine& machine) {
    if (machine.addr.empty()) return;
    machine.last_probe_at = now();
    if (machine.probe_pending) return;
    machine.probe_pending = true;
    probe_queue_.push_back(machine.id);
    schedule_probes();
}

void CommandSender::schedule_probes() {
    if (std::exchange(probes_scheduled_, true)) return;
    timers_.after(0, guarded_([this] {
                      probes_scheduled_ = false;
                      send_probes();
                  }));
}

// Sends a few probes per iteration of the event loop. A new leader of 5,000 machines that sent probes on an
// eighth of its sockets in one iteration lost its lease because of that, and so did the next leader.
void CommandSender::send_probes() {
    auto most_in_flight = static_cast<std::size_t>(std::max(1.0, settings_.sockets * probe_share_of_sockets));
    bool lacks_tokens = false;
    std::size_t left = probe_queue_.size();
    for (std::size_t sent = 0; sent < requests_per_turn && probes_in_flight_ < most_in_flight && left > 0;
         --left) {
        auto* machine = state_.cluster.find(probe_queue_.front());
        probe_queue_.pop_front();
        if (!machine) continue;
        if (needs_no_probe(*machine)) {
            machine->probe_pending = false;
            continue;
        }
        // Without this limit, probes used up a small processor share while heartbeats that would have
        // reconciled as many machines were waiting to be read.
        if (!machine->reconciled && !probe_tokens_.has(now())) {
            probe_queue_.push_back(machine->id);
            lacks_tokens = true;
            continue;
        }
        ++sent;
        send_probe(*machine);
    }
    if (lacks_tokens && left == 0)
        wait_for_probe_tokens();
    else if (probes_in_flight_ < most_in_flight && !probe_queue_.empty())
        schedule_probes();
}

// Returns true if a reconciled machine has sent a heartbeat recently, or an unreconciled machine was sent
// this leader's fencing token recently. The agent's next heartbeat, half a second later, carries that token
// and reconciles the machine. When a new leader starts, heartbeats of most machines are already waiting.
bool CommandSender::needs_no_probe(const Machine& machine) const {
    std::optional<double> since =
        machine.reconciled ? machine.last_heartbeat_at : machine.unreconciled_reply_at;
    double recent_s = settings_.heartbeat_interval_s *
                      (machine.reconciled ? recent_heartbeat_periods : token_echo_heartbeat_periods);
    return since && now() - *since < recent_s;
}

void CommandSender::send_probe(Machine& machine) {
    if (!machine.reconciled) probe_tokens_.take(now());
    machine.last_probe_at = now();
    if (!machine.first_probed_at) machine.first_probed_at = now();
    ++probes_in_flight_;
    send(machine, {});
}

void CommandSender::wait_for_probe_tokens() {
    if (std::exchange(waits_for_tokens_, true)) return;
    timers_.after(probe_tokens_.seconds_until_available(now()), guarded_([this] {
                      waits_for_tokens_ = false;
                      schedule_probes();
                  }));
}

void CommandSender::send(Machine& machine, std::vector<protocol::Command> commands) {
    SentCommands sent{machine.id, std::move(commands), machine.token};
    auto request = sent.commands.empty() ? Request::probe : Request::commands;
    // Most agents are in their first epoch, so guessing 1 for an unknown epoch usually saves a request that
    // only returns the epoch.
    auto agent_epoch = std::max(protocol::AgentEpoch{1}, machine.agent_epoch);
    auto body = protocol::direct_commands(sent.token, agent_epoch, sent.commands);
    double timeout =
        settings_.heartbeat_interval_s *
        (request == Request::probe ? probe_timeout_heartbeat_periods : command_timeout_heartbeat_periods);
    http_.send(machine.addr, {"POST", std::string(protocol::paths::commands), body}, timeout,
               guarded_([this, sent = std::move(sent), request,
                         sent_at = now()](const std::optional<http::Response>& response) {
                   if (response) reconciliation_.record_answer(now() - sent_at, now());
                   if (request == Request::probe) {
                       --probes_in_flight_;
                       if (auto* machine = state_.cluster.find(sent.machine_id))
                           machine->probe_pending = false;
                   }
                   handle_response(sent, response);
                   if (request == Request::probe && !probe_queue_.empty()) schedule_probes();
               }));
}

void CommandSender::handle_response(const SentCommands& sent, const std::optional<http::Response>& response) {
    bool reached = response && has_status(*response);
    bool new_epoch = reached && apply_answer(sent.machine_id, *response);
    std::lock_guard lock(state_.mutex);
    auto* machine = state_.cluster.find(sent.machine_id);
    if (!machine) return;
    if (reached)
        machine->reachability.record_reached(now());
    else
        machine->reachability.record_unanswered_command(now());
    state_.cluster.complete_direct_commands(*machine, sent.commands, sent.token, reached);
    // The rejection contained the agent epoch. Probe again at once with that epoch, to reconcile the machine.
    if (reached && is_refused(*response) && new_epoch && !machine->reconciled)
        timers_.after(0, guarded_([this, id = sent.machine_id] {
                          if (auto* again = state_.cluster.find(id)) probe(*again);
                      }));
}

// Applies the status in the response. Returns true if it contains a higher agent epoch than was known. Logs
// malformed responses.
bool CommandSender::apply_answer(const std::string& machine_id, const http::Response& response) {
    last_answer_at_ = now();
    bool new_epoch = false;
    try {
        auto status = reader_.read(response.body);
        auto* before = state_.cluster.find(machine_id);
        new_epoch = before && before->agent_epoch < status.agent_epoch;
        if (status.machine == machine_id) apply_status_(status);
        // The response that a relay continues to give may be out of date if something is pending for the
        // machine, such as a command, or an instance that no heartbeat has shown yet.
        if (auto* machine = state_.cluster.find(machine_id);
            machine && !state_.cluster.nothing_pending(*machine))
            delegations_.revoke(machine_id);
    } catch (const protocol::Malformed& malformed) {
        spdlog::info("component=leader event=malformed_answer machine={} error=\"{}\"", machine_id,
                     malformed.what());
    }
    return new_epoch;
}

}  // namespace coralhitch::leader
