#include "leader/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "protocol/malformed.hpp"
#include "protocol/numbers.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using relay::HeartbeatRejection;

namespace {
// direct_share: share of the machines that are up which send heartbeats to the leader itself while the other
// controllers relay. redirects_per_tick_share: share of them that may be redirected to relays in one tick.
// redirect_pause_leases: time, in leases, for which a machine that was redirected is not redirected again.
constexpr double direct_share = 0.1, redirects_per_tick_share = 1.0 / 50, redirect_pause_leases = 4;
constexpr std::size_t early_heartbeats_per_turn = 16;
}  // namespace

HeartbeatHandler::HeartbeatHandler(const PartContext& context, relay::HeartbeatRejections& rejections,
                                   const Parts& parts, Hooks hooks)
    : LeaderPart(context),
      leadership_(context.authority),
      rejections_(rejections),
      parts_(parts),
      hooks_(std::move(hooks)),
      early_heartbeats_(rejections) {}

void HeartbeatHandler::handle(relay::PendingHeartbeat heartbeat) {
    if (!parts_.recovery.loaded()) return early_heartbeats_.push(std::move(heartbeat));
    auto& [body, reply, since] = heartbeat;
    if (repeat_reply(body, reply)) return;
    auto [answered, machine_id] = answer(body, "");
    auto* machine = state_.cluster.find(machine_id);
    if (answered.nothing_pending && machine) {
        if (auto relay_label = relay_for(*machine)) {
            reply_cache_.forget(machine_id);
            return reply({421, protocol::heartbeat_redirect(*relay_label)});
        }
        reply_cache_.put(std::move(body), machine_id, machine->sequence, answered.body, now());
    }
    reply({answered.status, std::move(answered.body)});
    if (machine) parts_.commands.flush(*machine);
}

// Answers the heartbeat with the cached reply to the machine's previous heartbeat, if it says the same as
// that one and no other status of the machine has been applied since. Returns whether it was answered.
bool HeartbeatHandler::repeat_reply(const std::string& body, const http::Reply& reply) {
    auto outline = protocol::outline_heartbeat(body);
    if (!outline || !authority_.holds() || !authority_.may_renew_worker_leases()) return false;
    auto* cached = reply_cache_.find(body, *outline);
    if (!cached) return false;
    std::lock_guard lock(state_.mutex);
    auto* machine = state_.cluster.find(std::string(outline->machine));
    if (!machine || machine->sequence != cached->sequence || !state_.cluster.nothing_pending(*machine))
        return false;
    cached->sequence = machine->sequence = machine->heartbeat_sequence = outline->sequence;
    machine->last_heartbeat_at = machine->lease_renewed_at = now();
    record_route(*machine, "");
    parts_.failure_detector.record_heartbeat(state_.zone_of(*machine), now());
    parts_.delegations.revoke(machine->id);
    reply({200, cached->reply_body});
    return true;
}

protocol::RelayedReply HeartbeatHandler::reject(HeartbeatRejection reason) {
    rejections_.record(reason);
    return {};
}

// `relay_label`: the relay that forwarded the heartbeat; empty if the agent sent it to this controller.
HeartbeatHandler::Answer HeartbeatHandler::answer(const std::string& body, const std::string& relay_label) {
    if (!authority_.may_renew_worker_leases())
        return {reject(authority_.ended() ? HeartbeatRejection::lease_lost
                                          : HeartbeatRejection::renewal_deadline_passed),
                {}};
    bool may_act = authority_.holds();
    protocol::Heartbeat status;
    try {
        status = reader_.read(body);
    } catch (const protocol::Malformed& malformed) {
        spdlog::info("component=leader event=malformed_heartbeat error=\"{}\"", malformed.what());
        return {{400, protocol::error_body(malformed.what()), false}, {}};
    }
    return {answer(status, relay_label, may_act), status.machine};
}

protocol::RelayedReply HeartbeatHandler::answer(const protocol::Heartbeat& status,
                                                const std::string& relay_label, bool may_act) {
    auto outcome = apply(status, cluster::HeartbeatChannel::heartbeat);
    std::lock_guard lock(state_.mutex);
    auto* machine = state_.cluster.find(status.machine);
    // Never answers 200 if the agent would discard the answer, because it has seen a later leader's fencing
    // token, or because its machine is deleted.
    if (authority_.ended()) return reject(HeartbeatRejection::lease_lost);
    if (!outcome.may_be_answered() || !machine) return reject(HeartbeatRejection::outdated);
    bool unreachable = parts_.supervisor.is_outbound_unreachable(*machine);
    if (unreachable || !state_.cluster.may_renew_lease(*machine, now())) {
        // This heartbeat gets no answer that renews the lease. If a copy arrives, it must not count as
        // repeated: an answer to the copy does renew the lease, which is then counted from that time.
        machine->heartbeat_sequence =
            std::min(machine->heartbeat_sequence, protocol::SequenceNumber{status.sequence.value() - 1});
        parts_.commands.probe(*machine);
        return reject(unreachable ? HeartbeatRejection::outbound_unreachable
                                  : HeartbeatRejection::cancellation_unsent);
    }
    // The agent may still wait for the answer. A late copy tells nothing new about the lease and the route,
    // so neither is recorded.
    if (outcome.is_repeated()) {
        auto commands = state_.cluster.reply_commands(*machine, now(), may_act);
        return {200, protocol::heartbeat_response(machine->token, commands), false};
    }
    return renew(*machine, relay_label, may_act);
}

// Returns the 200 that renews the machine's lease. Decides whether the relay or this leader answers the
// machine's next heartbeats.
protocol::RelayedReply HeartbeatHandler::renew(Machine& machine, const std::string& relay_label,
                                               bool may_act) {
    auto& delegations = parts_.delegations;
    record_route(machine, relay_label);
    if (!delegations.table().delegated_to(machine.id, relay_label))
        delegations.revoke(machine.id);  // no longer reaches the leader through the relay it was delegated to
    auto commands = state_.cluster.reply_commands(machine, now(), may_act);
    machine.lease_renewed_at = machine.reconciled ? now() : std::max(machine.lease_renewed_at, now());
    if (!machine.reconciled) machine.unreconciled_reply_at = now();
    bool quiet = commands.empty() && state_.cluster.nothing_pending(machine);
    if (!relay_label.empty() && quiet)
        delegations.table().delegate(machine.id, relay_label);
    else
        delegations.revoke(machine.id);
    return {200, protocol::heartbeat_response(machine.token, commands), quiet};
}

void HeartbeatHandler::record_route(Machine& machine, const std::string& route) {
    if (std::exchange(machine.heartbeat_route_known, true))
        machine.reachability.record_heartbeat(machine.route == route, now());
    machine.route = route;
    machine.suspected = machine.reachability.outbound_unreachable();
    machine.reachability.record_renewable_heartbeat(now());
    machine.inbound_unreachable = false;
}

// Returns the relay that the machine is to send its heartbeats to, or nothing if it stays with the leader.
// The leader has more other work than the relays, so relays answer most machines. The leader redirects
// machines for which nothing is pending, a few per tick. It does not redirect a machine again within
// redirect_pause_leases, since the machine may be unable to reach the relay.
std::optional<std::string> HeartbeatHandler::relay_for(Machine& machine) {
    double machines_up = static_cast<double>(parts_.failure_detector.machines_up());
    auto& table = parts_.delegations.table();
    auto relays = static_cast<double>(std::max<std::size_t>(1, settings_.peers.size()));
    bool many_direct = machines_up - static_cast<double>(table.count()) > machines_up * direct_share;
    bool many_redirected =
        static_cast<double>(redirected_since_tick_) > machines_up * redirects_per_tick_share;
    bool redirected_lately =
        machine.redirected_at && now() - *machine.redirected_at < settings_.lease_s * redirect_pause_leases;
    if (!settings_.op.relay_heartbeats || !many_direct || many_redirected || redirected_lately)
        return std::nullopt;
    auto max_per_relay = static_cast<std::size_t>(machines_up * (1 - direct_share) / relays) + 1;
    auto relay_label = table.least_loaded(now(), max_per_relay);
    if (!relay_label) return std::nullopt;
    machine.redirected_at = now();
    ++redirected_since_tick_;
    return relay_label;
}

void HeartbeatHandler::handle_relayed(const protocol::RelayRequest& message, const http::Reply& reply) {
    protocol::RelayResponse relay_answer;
    bool leads = parts_.recovery.loaded() ? authority_.may_renew_worker_leases() : authority_.holds();
    relay_answer.is_leader =
        message.leader_version == authority_.fencing_token() && leads && settings_.op.relay_heartbeats;
    relay_answer.ready = relay_answer.is_leader && parts_.recovery.loaded();
    auto send = [&] { reply({200, protocol::pack_peer(relay_answer), "application/msgpack"}); };
    if (!relay_answer.ready) return send();
    if (!parts_.delegations.accept_relay_message(message)) return reply({503, {}, "application/msgpack"});
    for (auto& body : message.heartbeats) relay_answer.replies.push_back(answer(body, message.label).reply);
    apply_relay_heartbeats(message);
    parts_.commands.flush_all();
    double grant_s = relay_grant_s();
    relay_answer.delegation_ms = static_cast<std::uint64_t>(grant_s * 1000);
    relay_answer.revoked = parts_.delegations.table().extend(
        message.label, now() + grant_s * (1 + 2 * election::max_clock_drift));
    send();
}

// Records when the last heartbeat came from each machine whose heartbeats the relay has answered itself.
void HeartbeatHandler::apply_relay_heartbeats(const protocol::RelayRequest& message) {
    std::lock_guard lock(state_.mutex);
    for (auto& heartbeat : message.answered_heartbeats) {
        auto* machine = state_.cluster.find(heartbeat.machine);
        if (!machine || !parts_.delegations.table().delegated_to(heartbeat.machine, message.label)) continue;
        double received_at = now() - static_cast<double>(heartbeat.age_ms) / 1000;
        machine->last_heartbeat_at = std::max(machine->last_heartbeat_at, received_at);
        machine->reachability.record_reached(now());
        machine->reachability.record_renewable_heartbeat(received_at);
        machine->suspected = machine->inbound_unreachable = false;
        parts_.failure_detector.record_heartbeat(state_.zone_of(*machine), now());
    }
}

// Returns for how many seconds a relay may renew leases on its own. That time lies within the time in which
// this leader itself may renew them: a successor relies on that bound, and it is early enough for cancelled
// tasks to terminate in time.
double HeartbeatHandler::relay_grant_s() const {
    return std::max(0.0, std::min({settings_.heartbeat_interval_s, authority_.renewal_after_expiry_s(),
                                   authority_.lease_renewal_deadline() - now()}));
}

cluster::HeartbeatOutcome HeartbeatHandler::apply(const protocol::Heartbeat& status,
                                                  cluster::HeartbeatChannel via) {
    const event_loop::WorkScope work(timers_, "heartbeat", status.tasks.size());
    auto outcome = apply_to_state(status, via);
    if (outcome.is_deposed()) {
        auto fencing_token = cluster::FencingTokens::leadership_version(status.token);
        spdlog::info("component=leader event=deposed_by_heartbeat machine={} fencing_token={}",
                     status.machine, fencing_token);
        // Deferred to a later turn of the event loop: the end of the leadership destroys this object, which
        // is still handling the agent's message.
        timers_.after(
            0, guarded_([this, fencing_token] { leadership_.step_down_if_superseded(fencing_token); }));
        return outcome;
    }
    parts_.recovery.check_reconciled();
    parts_.start_replication.replicate_changes();
    if (outcome.ends.empty() && outcome.found_instances.empty()) return outcome;
    parts_.commands.flush_all();
    if (parts_.recovery.loaded()) hooks_.request_job_store();
    hooks_.request_plan();
    return outcome;
}

cluster::HeartbeatOutcome HeartbeatHandler::apply_to_state(const protocol::Heartbeat& status,
                                                           cluster::HeartbeatChannel via) {
    std::lock_guard lock(state_.mutex);
    auto* before = state_.cluster.find(status.machine);
    if (before && before->lifecycle == Machine::Lifecycle::booting)
        parts_.failure_detector.record_boot(parts_.supervisor.age_in_boot_times(*before));
    auto job_spec = [this](const std::string& job_id) -> cluster::JobSpec {
        auto* job = state_.jobs.find(job_id);
        return job ? job->spec : nullptr;
    };
    auto outcome = state_.cluster.apply_heartbeat(status, via, now(), job_spec);
    for (auto& end : outcome.ends) parts_.instances.instance_ended(end);
    for (auto& [task, machine_id] : outcome.found_instances)
        parts_.instances.instance_found(task, machine_id);
    auto* machine = state_.cluster.find(status.machine);
    if (!machine || !outcome.is_newer()) return outcome;
    parts_.machine_store.store_if_new(*machine);
    parts_.failure_detector.record_heartbeat(state_.zone_of(*machine), now());
    if (machine->preemption_deadline) parts_.supervisor.handle_preemption_notice(*machine);
    return outcome;
}

void HeartbeatHandler::handle_early_heartbeats() {
    for (std::size_t handled = 0; handled < early_heartbeats_per_turn; ++handled) {
        auto heartbeat = early_heartbeats_.pop(now());
        if (!heartbeat) break;
        handle(std::move(*heartbeat));
    }
    if (!early_heartbeats_.empty()) timers_.after(0, guarded_([this] { handle_early_heartbeats(); }));
}

void HeartbeatHandler::stop() {
    for (auto& heartbeat : early_heartbeats_.take_all()) heartbeat.reply({503, "{}"});
}

}  // namespace coralhitch::leader
