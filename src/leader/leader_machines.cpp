// The leader and the machines: reports, commands, settling, suspicion and fencing.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/leader.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using kv::RequestPriority;
using kv::TxnResult;
using protocol::JobKind;

namespace {
// Half of a worker's lease is left then; it goes round all controllers and comes back well within the first.
constexpr double mute_leases = 1.0 / 2;
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
// Its reports come, and nothing shows that anything sent to it arrives. Each answer would move the time at
// which its lease is out, though none renews it: it never settled, and a new leader placed nothing for as
// long as it went on. Until that time moves, answers cost nothing; from then on only a question reaches it.
bool Leader::beyond_reach(const Machine& m) const {
    return !m.reconciled && m.reach.lost() && now() > m.renewed && !reconciliation_.behind(now());
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
    bool unreached = beyond_reach(*m);
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
            failure_detector_.booted(boots(*m));
        heard =
            state_.cluster.apply_heartbeat(r, via, now(), [this](const std::string& id) -> cluster::JobSpec {
                auto* e = state_.jobs.find(id);
                return e ? e->spec : nullptr;
            });
        for (auto& e : heard.ends) instances_.instance_ended(e);
        for (auto& [task, machine] : heard.found) instances_.instance_found(task, machine);
        if (auto* m = state_.cluster.find(r.machine); m && heard.fresh) {
            store_machine(*m);
            failure_detector_.heard_from(zone_of(*m), now());
            if (m->preemption_notice_until >= 0) handle_preemption_notice(*m);
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

void Leader::handle_preemption_notice(Machine& m) {
    std::vector<std::pair<protocol::TaskId, double>> stops;
    for (auto& [id, i] : m.tasks)
        if (i.spec && i.confirmed && !i.stop &&
            (i.spec->checkpoint_s > 0 || i.spec->kind == JobKind::service))
            stops.emplace_back(
                id, std::min(scheduler::grace_of(*i.spec), std::max(0.0, m.preemption_notice_until - now())));
    for (auto& [id, grace] : stops) {
        auto* e = state_.jobs.find(id.job);
        if (e && e->spec->kind == JobKind::gang)
            instances_.stop_active(id.job, *e, grace);
        else
            state_.cluster.stop(m, id, grace);
    }
    if (!stops.empty()) spdlog::info("machine {} has notice: {} tasks are moved", m.id, stops.size());
}

// How long ago it was rented, in nominal boot times of its type; 0: not known.
double Leader::boots(const Machine& m) const {
    for (auto& type : dependencies_.types)
        if (type.name == m.type && type.boot_s > 0) return (now() - m.created) / type.boot_s;
    return 0;
}

// Who would wait for a machine that is dead.
membership::EvictionCost Leader::eviction_cost(const Machine& m) const {
    if (m.tasks.empty()) return membership::EvictionCost::nothing;
    bool alone = std::all_of(m.tasks.begin(), m.tasks.end(), [](auto& t) {
        auto& i = t.second;
        return i.spec && i.spec->kind == JobKind::array && i.running_since >= 0;
    });
    return alone ? membership::EvictionCost::work : membership::EvictionCost::awaited;
}

void Leader::check_machines() {
    double t = now();
    std::vector<Machine*> machines;
    std::vector<membership::Observation> seen;
    for (auto& [id, m] : state_.cluster.machines()) {
        if (m.life != Machine::Life::up) continue;
        membership::Observation s{id,           m.route,      zone_of(m), reconciliation_.silence(m, t),
                                  m.last_heard, m.reconciled, m.known,    {}};
        // What runs there goes on until its worker's lease is out, and that is reported. What was sent there
        // and is not seen would wait for as long.
        if (m.reconciled && m.reach.lost() && !m.has_reported_instances())
            s.unreached = t - m.reach.shown_at() - dependencies_.settings.report_s;
        if (std::max(s.silent, s.unreached) > dependencies_.settings.report_s / 2)
            s.eviction_cost = eviction_cost(m);
        machines.push_back(&m);
        seen.push_back(s);
    }
    double asked_s = dependencies_.settings.report_s * dependencies_.settings.op.silence_reports;
    failure_detector_.look(
        seen,
        {reconciliation_.behind(t), commands_.last_answer_at() && t - *commands_.last_answer_at() < asked_s},
        t);
    if (auto& self_suspicion = failure_detector_.self_suspicion()) {
        auto elsewhere = dependencies_.heartbeats_seen_by_peers(self_suspicion->silent);
        failure_detector_.answered(elsewhere);
        if (failure_detector_.should_resign() && dependencies_.resign_leadership()) {
            spdlog::info("leader: {} of {} machines are silent, {} report to another controller: giving way",
                         self_suspicion->silent.size(), failure_detector_.up(), *elsewhere);
            authority_.resign(dependencies_.settings.lease_s);
            return;
        }
    }
    bool may = authority_.holds() && failure_detector_.may_evict();
    std::size_t suspected = 0;
    for (std::size_t k = 0; k < machines.size(); ++k) {
        auto& m = *machines[k];
        auto verdict = failure_detector_.judge(seen[k]);
        {
            std::lock_guard lock(state_.mutex);
            m.suspected = verdict != membership::Health::Alive || m.reach.lost();
            m.mute = m.reach.mute(t, dependencies_.settings.lease_s * mute_leases);
        }
        // Each grant to its relay would move the time at which its lease is out, and it never was.
        if (m.mute) delegations_.revoke(m.id);
        suspected += m.is_suspect();
        check_up(m, seen[k], verdict, may);
    }
    dependencies_.metrics.gauge("machines_suspected", static_cast<double>(suspected));
    for (auto& [id, m] : state_.cluster.machines()) {
        if (m.life == Machine::Life::marked_for_deletion) check_lease(m);
        if (m.life != Machine::Life::booting || !may || !failure_detector_.overdue(boots(m), zone_of(m), t))
            continue;
        std::lock_guard lock(state_.mutex);
        mark_for_deletion(m, "does not come up");
    }
    check_reconciled();
}

// Proof by time: the worker kills its tasks lease_s after it sent the last report that was answered. That
// report was sent before its answer; an answer to a delayed report counts too. A relay may have answered it,
// too.
bool Leader::check_lease(Machine& m) {
    const auto& s = dependencies_.settings;
    double renewed = delegations_.last_possible_renewal(m);
    bool over = now() > renewed + s.lease_s * (1 + 2 * election::drift) + s.report_s / 3;
    bool silent = now() - m.last_heard > s.lease_s || beyond_reach(m);
    if (over && silent && (!m.tasks.empty() || !m.reconciled)) {
        spdlog::info("machine {}: its lease is out", m.id);
        std::lock_guard lock(state_.mutex);
        for (auto& e : state_.cluster.expire_lease(m)) instances_.instance_ended(e);
        plan_soon();
    }
    return over;
}

void Leader::check_up(Machine& m, const membership::Observation& seen, membership::Health verdict, bool may) {
    double period = dependencies_.settings.report_s, t = now();
    bool due = m.reconciled ? failure_detector_.late(seen) && t - m.last_probe > period / 2
                            : t - m.last_probe > period / 3 &&
                                  t - m.created > period * CommandSender::first_probe_reports;
    if (due) commands_.probe(m);
    bool given_up = verdict == membership::Health::Dead;
    // Who has been heard within a lease has nothing to be proven gone: seldom worth the question, each tick.
    bool look = given_up || beyond_reach(m) || t - m.last_heard > dependencies_.settings.lease_s;
    bool lease_over = look && check_lease(m);
    // One that has reconciled is not given up while it is being asked: its answer may lie unread until the
    // time for it is up. One that has not is asked again and again, without a pause; it was waited for then
    // until its lease was out, and nothing placed meanwhile.
    bool asked_now = m.reconciled && m.probing && !lease_over;
    if (given_up && !asked_now && (may || (lease_over && authority_.holds()))) {
        std::lock_guard lock(state_.mutex);
        failure_detector_.evicted(seen, t);
        mark_for_deletion(m, failure_detector_.evidence(seen).c_str());
    } else if (may && m.preemption_notice_until >= 0 && m.tasks.empty() && m.reconciled) {
        std::lock_guard lock(state_.mutex);
        mark_for_deletion(m, "has notice and is empty");
    }
}

// A machine that is to be deleted is never used again. That is stored first, if the machine is, so that a
// later leader keeps to it.
void Leader::mark_for_deletion(Machine& m, const char* why) {
    if (m.life == Machine::Life::marked_for_deletion) return;
    spdlog::info("machine {} {}: it is to be deleted, {} tasks on it, last heard through {}", m.id, why,
                 m.tasks.size(), m.route.empty() ? dependencies_.settings.label : m.route);
    dependencies_.metrics.event("condemned");
    m.life = Machine::Life::marked_for_deletion;
    delegations_.revoke(m.id);  // no grant moves the time at which its lease is out
    if (!m.stored && !m.storing) {
        m.deletable = true;
        return;
    }
    store_.put(m.id);
}

// Up to a call's most machines each, and several calls at once: after a wave of losses, places wait for it.
void Leader::delete_marked_machines() {
    constexpr int most_calls = 4;
    while (removing_ < most_calls && authority_.holds() && now() >= remove_retry_) {
        std::vector<std::string> ids;
        for (auto& [id, m] : state_.cluster.machines())
            if (m.life == Machine::Life::marked_for_deletion && m.deletable && !m.deleting &&
                ids.size() < cloud::CloudClient::remove_most) {
                ids.push_back(id);
                m.deleting = true;
            }
        if (ids.empty()) return;
        ++removing_;
        dependencies_.cloud.remove(ids, guarded_([this, ids](bool ok) { deleted(ids, ok); }));
    }
}
void Leader::deleted(const std::vector<std::string>& ids, bool ok) {
    --removing_;
    if (!ok) {
        for (auto& id : ids)
            if (auto* m = state_.cluster.find(id)) m->deleting = false;
        remove_retry_ = now() + dependencies_.settings.report_s / 3;
        return;
    }
    {
        std::lock_guard lock(state_.mutex);
        for (auto& id : ids) {
            if (!state_.cluster.find(id)) continue;
            store_.remove(id);
            delegations_.revoke(id);
            reply_cache_.forget(id);
            // Proof: by the time of the answer the machine and everything on it are gone.
            for (auto& e : state_.cluster.removed(id)) instances_.instance_ended(e);
        }
    }
    start_replication_.replicate_changes();
    check_reconciled();
    plan_soon();
    delete_marked_machines();
}

// A machine is stored, and that confirmed, before the first `run` goes to it: whoever leads next must know
// where tasks may be.
void Leader::store_machine(Machine& m) {
    // What shows an earlier leader's token may be of a machine that was deleted meanwhile.
    if (!m.confirmed && m.token_seen > 0) return;
    if (m.stored || m.storing || m.life != Machine::Life::up || m.agent_epoch == 0) return;
    m.storing = true;
    store_.put(m.id);
}
std::optional<protocol::MachineRecord> Leader::record_of(const std::string& id) {
    auto* m = state_.cluster.find(id);
    if (!m) return std::nullopt;
    return protocol::MachineRecord{m->addr, m->type, m->zone, m->spot,
                                   m->life == Machine::Life::marked_for_deletion};
}
void Leader::machines_stored(const std::vector<machine_registry::MachineRegistry::Record>& records) {
    {
        std::lock_guard lock(state_.mutex);
        for (auto& [id, r] : records) {
            auto* m = state_.cluster.find(id);
            if (!m) continue;
            if (r.marked_for_deletion) m->deletable = true;
            if (m->stored) continue;
            m->stored = true;
            for (auto& [task, i] : m->tasks) i.ready = true;
            state_.cluster.schedule_flush(*m);
        }
    }
    commands_.flush_all();
    delete_marked_machines();
}

void Leader::list_hosts() {
    if (listing_ || !authority_.holds()) return;
    listing_ = true;
    last_list_ = now();
    dependencies_.cloud.hosts(guarded_([this](std::optional<std::vector<protocol::Host>> hosts) {
        listing_ = false;
        if (!hosts) return;
        listed_once_ = true;
        std::vector<std::string> to_probe;
        {
            std::lock_guard lock(state_.mutex);
            for (auto& h : *hosts) {
                // The list lags: what is known to be gone stays gone.
                if (state_.cluster.is_deleted(h.id)) continue;
                auto* known = state_.cluster.find(h.id);
                auto& m = known ? *known
                                : state_.cluster.add(h.id, h.addr, h.type, h.zone, h.spot,
                                                     Machine::Life::booting, now());
                if (!known) m.created = now() - h.age_s;
                if (h.state == protocol::HostState::failed && m.life != Machine::Life::marked_for_deletion) {
                    mark_for_deletion(m, "has failed");
                } else if (h.state == protocol::HostState::running && m.life == Machine::Life::booting) {
                    if (m.addr.empty()) m.addr = h.addr;
                    to_probe.push_back(h.id);
                }
            }
        }
        for (auto& id : to_probe)
            if (auto* m = state_.cluster.find(id)) commands_.probe(*m);
    }));
}

}  // namespace coralhitch::leader
