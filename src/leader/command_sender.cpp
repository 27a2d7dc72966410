#include "leader/command_sender.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "protocol/malformed.hpp"

namespace coralhitch::leader {
using cluster::Machine;

namespace {
// Report periods until a request counts as unanswered.
constexpr double probe_timeout_heartbeat_periods = 0.33, command_timeout_heartbeat_periods = 0.7;
constexpr double probe_share_of_sockets = 1.0 / 8;  // of all sockets
// Report periods: what a machine that has reconciled said since then needs no probe.
constexpr double recent_heartbeat_periods = 1.0 / 2;
// Report periods in which a worker shows the token that it was handle_response with.
constexpr double token_echo_heartbeat_periods = 1.0 / 4;
constexpr std::size_t requests_per_turn = 16;

// Refused with a status: the worker's token is higher, or the agent epoch was wrong.
bool is_refused(const http::Response& response) {
    return response.status == 409 || response.status == 400;
}
bool has_status(const http::Response& response) {
    return response.status == 200 || is_refused(response);
}
}  // namespace

double CommandSender::probes_within(const config::Settings& settings, double reports) {
    return std::max(1.0, config::status_queries_per_s(settings) * settings.heartbeat_interval_s * reports);
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

// A few at a time: a plan may start a thousand tasks, and to send them all in one go took so long that the
// lease ran out meanwhile.
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

// Only some at a time: a failover probes hundreds, which must fit into the sockets and the processor's share.
void CommandSender::probe(Machine& machine) {
    if (machine.addr.empty()) return;
    machine.last_probe_at = now();
    if (machine.probing) return;
    machine.probing = true;
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

// A few in each turn of the loop: a new leader of 5,000 machines that probed an eighth of its sockets' worth
// of them in one go lost its lease over it, and so did the next.
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
            machine->probing = false;
            continue;
        }
        // While probes took all of a small share, reports that would have reconciled as many lay unread.
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

// It has reported meanwhile, or was handle_response and will say so in its next report, half a second later:
// of the machines that a new leader must hear from, the reports of most lie waiting when it begins.
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
    // Most workers are in their first agent epoch still: a good guess saves the question.
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
                       if (auto* machine = state_.cluster.find(sent.machine_id)) machine->probing = false;
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
    // The rejection carried the agent epoch: probe again at once, so that the machine reconciles.
    if (reached && is_refused(*response) && new_epoch && !machine->reconciled)
        timers_.after(0, guarded_([this, id = sent.machine_id] {
                          if (auto* again = state_.cluster.find(id)) probe(*again);
                      }));
}

// Whether it carried an agent epoch above the one that was known.
bool CommandSender::apply_answer(const std::string& machine_id, const http::Response& response) {
    last_answer_at_ = now();
    bool new_epoch = false;
    try {
        auto status = reader_.read(response.body);
        auto* before = state_.cluster.find(machine_id);
        new_epoch = before && before->agent_epoch < status.agent_epoch;
        if (status.machine == machine_id) apply_status_(status);
        // The reply that a relay would go on giving may be out of date.
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
