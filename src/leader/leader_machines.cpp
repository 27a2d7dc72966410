// The leader and the machines: reports, commands, settling, suspicion and fencing.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/leader.hpp"

namespace coralhitch::leader {
using cluster::Machine;

namespace {
// Of the machines that are up: how many report to the leader itself while others hear for it; how many it
// sends to them in a tick; and for how many leases a machine is not sent again.
constexpr double own_share = 0.1, redirected_share = 1.0 / 50, moved_leases = 4;
}  // namespace

void Leader::handle_heartbeat(relay::HeartbeatQueue::Report report) {
    if (!loaded_) return early_.push(std::move(report));
    auto& [body, reply, since] = report;
    if (repeat_reply(body, reply)) return;
    std::string machine;
    auto a = answer_heartbeat(body, "", machine);
    auto* m = state_.cluster.find(machine);
    if (a.quiet && m) {
        if (auto elsewhere = relay_for(*m)) {
            reply_cache_.forget(machine);
            return reply({421, protocol::heartbeat_redirect(*elsewhere)});
        }
        reply_cache_.put(std::move(body), machine, m->sequence, a.body, now());
    }
    reply({a.status, std::move(a.body)});
    if (m) commands_.flush(*m);
}
// A report that says what the last one of its machine said, and that one is the last that was heard of it.
bool Leader::repeat_reply(const std::string& body, const http::Reply& reply) {
    auto o = protocol::outline_heartbeat(body);
    if (!o || !authority_.holds() || !authority_.may_renew_worker_leases()) return false;
    auto* r = reply_cache_.find(body, *o);
    if (!r) return false;
    std::lock_guard lock(state_.mutex);
    auto* m = state_.cluster.find(std::string(o->machine));
    if (!m || m->sequence != r->sequence || !state_.cluster.quiet(*m)) return false;
    r->sequence = m->sequence = m->heartbeat_sequence = o->sequence;
    m->last_heard = m->renewed = now();
    record_route(*m, "");
    failure_detector_.heard_from(zone_of(*m), now());
    delegations_.revoke(m->id);
    reply({200, r->answer});
    return true;
}
protocol::PeerRelayed Leader::refused(relay::HeartbeatRejection why) {
    dependencies_.refusals.note(why);
    return {};
}
// With the relay that passes it on, or none if it came here.
protocol::PeerRelayed Leader::answer_heartbeat(const std::string& body, const std::string& relay_label,
                                               std::string& machine) {
    if (!authority_.may_renew_worker_leases())
        return refused(authority_.ended() ? relay::HeartbeatRejection::no_lease
                                          : relay::HeartbeatRejection::bound_over);
    bool may = authority_.holds();
    protocol::Heartbeat report;
    try {
        report = reader_.read(body);
    } catch (const protocol::Malformed& x) {
        spdlog::info("report: {}", x.what());
        return {400, protocol::error_body(x.what()), false};
    }
    machine = report.machine;
    auto heard = apply_heartbeat(report, cluster::Via::heartbeat);
    std::lock_guard lock(state_.mutex);
    auto* m = state_.cluster.find(report.machine);
    // Never a 200 that the worker would drop: a later leader's token, a machine that is deleted.
    if (authority_.ended()) return refused(relay::HeartbeatRejection::no_lease);
    if (!heard.current || !m) return refused(relay::HeartbeatRejection::older);
    bool unreached = supervisor_.is_outbound_unreachable(*m);
    if (unreached || !state_.cluster.renewable(*m, now())) {
        // It was not answered: should the same report come again, the lease counts from then.
        m->heartbeat_sequence = std::min(m->heartbeat_sequence, report.sequence - 1);
        commands_.probe(*m);
        return refused(unreached ? relay::HeartbeatRejection::unreached
                                 : relay::HeartbeatRejection::stop_unsent);
    }
    // Its worker may still wait for it, but a copy that came late says nothing new of lease and route.
    if (heard.again)
        return {200, protocol::heartbeat_response(m->token, state_.cluster.answer(*m, now(), may)), false};
    record_route(*m, relay_label);
    if (!delegations_.table().delegated_to(m->id, relay_label))
        delegations_.revoke(m->id);  // it has left the controller that heard it
    auto commands = state_.cluster.answer(*m, now(), may);
    m->renewed = m->reconciled ? now() : std::max(m->renewed, now());
    if (!m->reconciled) m->answered = now();
    bool quiet = commands.empty() && state_.cluster.quiet(*m);
    if (!relay_label.empty() && quiet)
        delegations_.table().delegate(m->id, relay_label);
    else
        delegations_.revoke(m->id);
    return {200, protocol::heartbeat_response(m->token, commands), quiet};
}
void Leader::record_route(Machine& m, const std::string& route) {
    if (std::exchange(m.heartbeat_route_known, true)) m.reach.came(m.route == route, now());
    m.route = route;
    m.suspected = m.reach.lost();
    m.reach.reported(now());
    m.mute = false;
}
// The leader has most to do besides hearing, so others hear most machines: it sends quiet ones to them, a few
// at a time, and none twice within some leases, in case that one can't be reached from there.
std::optional<std::string> Leader::relay_for(Machine& m) {
    double t = now(), fleet = static_cast<double>(failure_detector_.up());
    auto peers = static_cast<double>(std::max<std::size_t>(1, dependencies_.settings.peers.size()));
    bool enough_here = fleet - static_cast<double>(delegations_.count()) > fleet * own_share;
    if (!dependencies_.settings.op.hearing || !enough_here ||
        static_cast<double>(moved_) > fleet * redirected_share ||
        (m.moved >= 0 && t - m.moved < dependencies_.settings.lease_s * moved_leases))
        return std::nullopt;
    auto most = static_cast<std::size_t>(fleet * (1 - own_share) / peers) + 1;
    auto to = delegations_.table().least(t, most);
    if (!to) return std::nullopt;
    m.moved = t;
    ++moved_;
    return to;
}
void Leader::relay(const protocol::PeerRelay& q, http::Reply reply) {
    const auto& s = dependencies_.settings;
    protocol::PeerRelayAnswer a;
    bool leads = loaded_ ? authority_.may_renew_worker_leases() : authority_.holds();
    a.leads = q.leader_version == authority_.fencing_token() && leads && s.op.hearing;
    a.ready = a.leads && loaded_;
    auto send = [&] { reply({200, protocol::pack_peer(a), "application/msgpack"}); };
    if (!a.ready) return send();
    if (!delegations_.take_relay_message(q)) return reply({503, {}, "application/msgpack"});
    std::string machine;
    for (auto& body : q.reports) a.answers.push_back(answer_heartbeat(body, q.label, machine));
    {
        std::lock_guard lock(state_.mutex);
        for (auto& h : q.heard) {
            auto* m = state_.cluster.find(h.machine);
            if (!m || !delegations_.table().delegated_to(h.machine, q.label)) continue;
            m->last_heard = std::max(m->last_heard, now() - static_cast<double>(h.age_ms) / 1000);
            m->reach.shown(now());
            m->reach.reported(now() - static_cast<double>(h.age_ms) / 1000);
            m->suspected = m->mute = false;
            failure_detector_.heard_from(zone_of(*m), now());
        }
    }
    commands_.flush_all();
    // Within the time for which this leader itself may renew leases, which its successor counts on, and which
    // ends early enough for tasks that are cancelled.
    double grant = std::max(0.0, std::min({s.report_s, authority_.renewal_after_expiry_s(),
                                           authority_.lease_renewal_deadline() - now()}));
    a.grant_ms = static_cast<std::uint64_t>(grant * 1000);
    a.recalled = delegations_.table().answer(q.label, now() + grant * (1 + 2 * election::drift));
    send();
}

cluster::HeartbeatOutcome Leader::apply_heartbeat(const protocol::Heartbeat& r, cluster::Via via) {
    cluster::HeartbeatOutcome heard;
    {
        std::lock_guard lock(state_.mutex);
        if (auto* m = state_.cluster.find(r.machine); m && m->life == Machine::Life::booting)
            failure_detector_.booted(supervisor_.boot_times(*m));
        heard =
            state_.cluster.apply_heartbeat(r, via, now(), [this](const std::string& id) -> cluster::JobSpec {
                auto* e = state_.jobs.find(id);
                return e ? e->spec : nullptr;
            });
        for (auto& e : heard.ends) instances_.instance_ended(e);
        for (auto& [task, machine] : heard.found) instances_.instance_found(task, machine);
        if (auto* m = state_.cluster.find(r.machine); m && heard.fresh) {
            machine_store_.store_if_new(*m);
            failure_detector_.heard_from(zone_of(*m), now());
            if (m->preemption_notice_until >= 0) supervisor_.handle_preemption_notice(*m);
        }
    }
    if (heard.deposed) {
        spdlog::info("leader: machine {} has seen the token of a later leader", r.machine);
        // Not from within what the worker's message set off: this object would be gone before it is done.
        auto version = r.token >> cluster::ClusterState::token_bits;
        dependencies_.timers.after(0, guarded_([this, version] { authority_.deposed_by(version); }));
        return heard;
    }
    check_reconciled();
    start_replication_.replicate_changes();
    if (heard.ends.empty() && heard.found.empty()) return heard;
    commands_.flush_all();
    if (loaded_) store_soon();
    plan_soon();
    return heard;
}

void Leader::check_reconciled() {
    if (loaded_ && !steps_.has("may place") && reconciliation_.may_place() &&
        state_.cluster.any_reconciled()) {
        steps_.over("may place");
        plan_soon();
    }
    if (was_reconciled_ || !reconciliation_.all_reconciled()) return;
    was_reconciled_ = true;
    steps_.over("all machines settled");
    plan_soon();
}
void Leader::types_changed() {
    std::lock_guard lock(state_.mutex);
    state_.cluster.set_types(dependencies_.types);
}

}  // namespace coralhitch::leader
