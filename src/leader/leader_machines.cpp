// The leader and the machines: reports, commands, settling, suspicion and fencing.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "leader/leader.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using kv::RequestPriority;
using kv::TxnResult;
using protocol::ExitCause;
using protocol::JobKind;

namespace {
constexpr double probe_timeout_reports = 0.33, direct_timeout_reports = 0.7;
constexpr double probe_sockets = 1.0 / 8;     // of all sockets
constexpr double answered_reports = 1.0 / 4;  // in which a worker shows the token that it was answered with
constexpr double sick_reports = 20;
// Half of a worker's lease is left then; it goes round all controllers and comes back well within the first.
constexpr double mute_leases = 1.0 / 2;
constexpr std::size_t flushes_at_once = 16;
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
    if (m) flush(*m);
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
    revoke(m->id);
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
        probe(*m);
        return refused(unreached ? relay::HeartbeatRejection::unreached
                                 : relay::HeartbeatRejection::stop_unsent);
    }
    // Its worker may still wait for it, but a copy that came late says nothing new of lease and route.
    if (heard.again)
        return {200, protocol::heartbeat_response(m->token, state_.cluster.answer(*m, now(), may)), false};
    record_route(*m, relay_label);
    if (!delegations_.delegated_to(m->id, relay_label))
        revoke(m->id);  // it has left the controller that heard it
    auto commands = state_.cluster.answer(*m, now(), may);
    m->renewed = m->reconciled ? now() : std::max(m->renewed, now());
    if (!m->reconciled) m->answered = now();
    bool quiet = commands.empty() && state_.cluster.quiet(*m);
    if (!relay_label.empty() && quiet)
        delegations_.delegate(m->id, relay_label);
    else
        revoke(m->id);
    return {200, protocol::heartbeat_response(m->token, commands), quiet};
}
void Leader::record_route(Machine& m, const std::string& route) {
    if (std::exchange(m.heartbeat_route_known, true)) m.reach.came(m.route == route, now());
    m.route = route;
    m.suspected = m.reach.lost();
    m.reach.reported(now());
    m.mute = false;
}
void Leader::revoke(const std::string& id) {
    auto until = delegations_.revoke(id);
    auto* m = state_.cluster.find(id);
    if (until && m) m->delegation_expiry = std::max(m->delegation_expiry, *until);
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
    auto to = delegations_.least(t, most);
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
    auto given_back = [this](const std::string& id, double until) {
        if (auto* m = state_.cluster.find(id)) m->delegation_expiry = std::max(m->delegation_expiry, until);
    };
    if (!delegations_.heard(q.label, q.incarnation, q.number, q.answered, given_back))
        return reply({503, {}, "application/msgpack"});
    std::string machine;
    for (auto& body : q.reports) a.answers.push_back(answer_heartbeat(body, q.label, machine));
    {
        std::lock_guard lock(state_.mutex);
        for (auto& h : q.heard) {
            auto* m = state_.cluster.find(h.machine);
            if (!m || !delegations_.delegated_to(h.machine, q.label)) continue;
            m->last_heard = std::max(m->last_heard, now() - static_cast<double>(h.age_ms) / 1000);
            m->reach.shown(now());
            m->reach.reported(now() - static_cast<double>(h.age_ms) / 1000);
            m->suspected = m->mute = false;
            failure_detector_.heard_from(zone_of(*m), now());
        }
    }
    flush_all();
    // Within the time for which this leader itself may renew leases, which its successor counts on, and which
    // ends early enough for tasks that are cancelled.
    double grant = std::max(0.0, std::min({s.report_s, authority_.renewal_after_expiry_s(),
                                           authority_.lease_renewal_deadline() - now()}));
    a.grant_ms = static_cast<std::uint64_t>(grant * 1000);
    a.recalled = delegations_.answer(q.label, now() + grant * (1 + 2 * election::drift));
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
        for (auto& e : heard.ends) handle_end(e);
        for (auto& [task, machine] : heard.found) handle_found(task, machine);
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
    replicate_changes();
    if (heard.ends.empty() && heard.found.empty()) return heard;
    flush_all();
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

void Leader::handle_found(const protocol::TaskId& task, const std::string& machine) {
    auto* e = state_.jobs.find(task.job);
    auto* m = state_.cluster.find(machine);
    auto it = m->tasks.find(task);
    if (!e || it == m->tasks.end()) return;  // of a job that is over: the cluster state stops it
    if (it->second.confirmed) locate(*e, task, *m, it->second.attempt);
    if (e->cancelled) state_.cluster.cancel(*m, task, authority_.lease_renewal_deadline());
    if (e->is_done(task.index)) state_.cluster.stop(*m, task, 0);
}

// The task is on this machine. Attempts are numbered in the order of their starts, and one starts when the
// one before is proven gone: what shows the older one came late, if it is of another agent epoch or machine
// by now. The newer one used to be stopped if it was heard second.
void Leader::locate(jobs::JobEntry& e, const protocol::TaskId& task, Machine& m, std::uint64_t attempt) {
    auto [a, fresh] = e.active.try_emplace(task.index, jobs::ActiveTask{m.id, attempt, zone_of(m)});
    if (fresh || a->second.machine == m.id) return;
    auto* other = state_.cluster.find(a->second.machine);
    if (m.confirmed && other && other->confirmed)
        spdlog::error("task {} is on {} and on {}", task.str(), a->second.machine, m.id);
    else  // one of them has not said anything yet: what may be on it was told by the leader before
        spdlog::info("task {} may be on {} and on {}", task.str(), a->second.machine, m.id);
    auto* older = &m;
    if (attempt > a->second.attempt) {
        older = other;
        a->second = {m.id, attempt, zone_of(m)};
    }
    if (auto old = older ? older->tasks.find(task) : m.tasks.end(); older && old != older->tasks.end()) {
        old->second.orphaned = true;
        ++e.orphans;
        state_.cluster.stop(*older, task, 0);
    }
}

void Leader::handle_end(const cluster::InstanceEnd& end) {
    auto* e = state_.jobs.find(end.task.job);
    if (!e) {
        state_.cluster.stored(end.task.job);  // the job is over and stored
        return;
    }
    spdlog::debug("task {} attempt {} left {}: reported {} cause {}", end.task.str(), end.attempt,
                  end.machine, end.reported, static_cast<int>(end.cause));
    if (end.orphaned) --e->orphans;
    auto a = e->active.find(end.task.index);
    // The place is free if the cluster state holds nothing there any more: an old attempt that is reported as
    // exited once more says nothing about the one that came after it.
    auto* there = state_.cluster.find(end.machine);
    bool ours = a != e->active.end() && a->second.machine == end.machine &&
                !(there && there->tasks.contains(end.task));
    if (ours) e->active.erase(a);
    auto& spec = *e->spec;
    bool gang = spec.kind == JobKind::gang;
    if (end.task.index >= spec.tasks) return;
    if (end.cause == ExitCause::done && spec.kind != JobKind::service) {
        // The tasks of a gang complete together: if one is done, all are.
        auto before = e->done_count;
        if (gang) {
            for (std::uint32_t i = 0; i < spec.tasks; ++i) e->mark_done(i);
        } else {
            e->mark_done(end.task.index);
        }
        team_activity_.done(spec.team, e->done_count - before);
        e->failures = 0;
        e->not_before = 0;
        if (auto* m = state_.cluster.find(end.machine)) m->error_jobs.clear();
        if (e->is_done(end.task.index) && !e->unstored.contains(end.task.index))
            state_.cluster.stored(end.task.job, {end.task.index});
        return;
    }
    if (end.cause == ExitCause::done) state_.cluster.stored(end.task.job, {end.task.index});
    if (!ours) return;
    if (end.started) team_activity_.stopped(spec.team);
    switch (end.cause) {
        case ExitCause::error:
            task_error(*e, end);
            break;
        case ExitCause::no_room:
        case ExitCause::busy:
            // The cluster state of this machine was wrong: let reports mend it first.
            if (auto* m = state_.cluster.find(end.machine))
                m->quarantined_until = now() + dependencies_.settings.report_s;
            break;
        case ExitCause::unknown:
            e->not_before = now() + dependencies_.settings.report_s;
            break;
        default:
            break;
    }
    // A gang that lost a task is stopped whole; its next attempt starts when all of the old one is gone.
    if (gang && !e->all_done()) stop_active(end.task.job, *e, scheduler::grace_of(spec));
}

void Leader::task_error(jobs::JobEntry& e, const cluster::InstanceEnd& end) {
    ++e.failures;
    e.failed_on.insert(end.machine);
    // The first failure is taken for the machine's: the task goes elsewhere at once. A job that fails on
    // several machines gets pauses that grow, up to a bound, and holds nobody else up.
    constexpr int most_doublings = 5;
    if (e.on_probation()) {
        int doublings = std::min(e.failures - jobs::JobEntry::patience - 1, most_doublings);
        e.not_before = now() + dependencies_.settings.report_s * std::pow(2.0, doublings);
        if (e.failed_on.size() > 8) e.failed_on.clear();
    }
    auto* m = state_.cluster.find(end.machine);
    if (!m) return;
    m->error_jobs.insert(end.task.job);
    if (e.on_probation()) return;  // says more about the job than about the machine
    if (m->error_jobs.size() < 2) {
        m->quarantined_until = now() + dependencies_.settings.report_s * 2;
        return;
    }
    spdlog::info("machine {} fails the tasks of {} jobs", m->id, m->error_jobs.size());
    dependencies_.metrics.increment(metrics::Metric::leader_machines_quarantined);
    m->quarantined_until = now() + dependencies_.settings.report_s * sick_reports;
    m->error_jobs.clear();
    if (m->tasks.empty()) mark_for_deletion(*m, "fails its tasks");
}

void Leader::stop_active(const std::string& id, jobs::JobEntry& e, double grace_s) {
    for (auto& [task, a] : e.active)
        if (auto* m = state_.cluster.find(a.machine)) state_.cluster.stop(*m, {id, task}, grace_s);
}

// A cancellation that this leader did not know when it was last complete was told after that.
void Leader::cancel_active(const std::string& id, jobs::JobEntry& e) {
    for (auto& [task, a] : e.active)
        if (auto* m = state_.cluster.find(a.machine))
            state_.cluster.cancel(*m, {id, task}, authority_.lease_renewal_deadline());
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
            stop_active(id.job, *e, grace);
        else
            state_.cluster.stop(m, id, grace);
    }
    if (!stops.empty()) spdlog::info("machine {} has notice: {} tasks are moved", m.id, stops.size());
}

void Leader::flush_all() {
    std::vector<std::string> ids;
    {
        std::lock_guard lock(state_.mutex);
        ids = state_.cluster.to_flush();
    }
    bool idle = flushing_.empty();
    for (auto& id : ids) {
        revoke(id);
        flushing_.push_back(std::move(id));
    }
    if (idle) flush_some();
}
// A few at a time: a plan may start a thousand tasks, and to send them all in one go took so long that the
// lease ran out meanwhile.
void Leader::flush_some() {
    for (std::size_t k = 0; k < flushes_at_once && !flushing_.empty(); ++k) {
        auto* m = state_.cluster.find(flushing_.front());
        flushing_.pop_front();
        if (m) flush(*m);
    }
    if (!flushing_.empty()) dependencies_.timers.after(0, guarded_([this] { flush_some(); }));
}
void Leader::flush(Machine& m) {
    std::vector<protocol::Command> commands;
    {
        std::lock_guard lock(state_.mutex);
        if (m.agent_epoch == 0) {
            m.unsent = false;
            return;
        }
        commands = state_.cluster.direct_now(m, now(), authority_.holds());
    }
    if (!commands.empty()) send_direct(m, std::move(commands));
}
// Asks for a report, and makes the worker take this leader's token. Only some at a time: a failover asks
// hundreds, which must fit into the sockets and the processor's share.
void Leader::probe(Machine& m) {
    if (m.addr.empty()) return;
    m.last_probe = now();
    if (m.probing) return;
    m.probing = true;
    to_probe_.push_back(m.id);
    probe_soon();
}
void Leader::probe_soon() {
    if (std::exchange(probes_armed_, true)) return;
    dependencies_.timers.after(0, guarded_([this] {
                                   probes_armed_ = false;
                                   send_probes();
                               }));
}
// A few in each turn of the loop: a new leader of 5,000 machines that asked an eighth of its sockets' worth
// of them in one go lost its lease over it, and so did the next.
void Leader::send_probes() {
    auto most = static_cast<std::size_t>(std::max(1.0, dependencies_.settings.sockets * probe_sockets));
    bool waits = false;
    std::size_t left = to_probe_.size();
    for (std::size_t k = 0; k < flushes_at_once && probing_ < most && left > 0; --left) {
        auto* m = state_.cluster.find(to_probe_.front());
        to_probe_.pop_front();
        if (!m) continue;
        // It has been heard meanwhile, or was answered and will say so in its next report, half a second
        // later: of the machines that a new leader must hear, the reports of most lie waiting when it begins.
        double since = m->reconciled ? m->last_heard : m->answered;
        if (since >= 0 &&
            now() - since < dependencies_.settings.report_s * (m->reconciled ? 1.0 / 2 : answered_reports)) {
            m->probing = false;
            continue;
        }
        // While questions took all of a small share, reports that would have reconciled as many lay unread.
        if (!m->reconciled && !asks_.has(now())) {
            to_probe_.push_back(m->id);
            waits = true;
            continue;
        }
        if (!m->reconciled) asks_.take(now());
        m->last_probe = now();
        if (m->asked < 0) m->asked = now();
        ++probing_;
        ++k;
        send_direct(*m, {});
    }
    if (waits && left == 0) {
        if (!std::exchange(asks_armed_, true))
            dependencies_.timers.after(asks_.seconds_until_available(now()), guarded_([this] {
                                           asks_armed_ = false;
                                           probe_soon();
                                       }));
    } else if (probing_ < most && !to_probe_.empty()) {
        probe_soon();
    }
}
void Leader::send_direct(Machine& m, std::vector<protocol::Command> commands) {
    auto token = m.token;
    std::string id = m.id;
    bool probe = commands.empty();
    // Most workers are in their first agent epoch still: a good guess saves the question.
    auto agent_epoch = std::max<std::uint64_t>(1, m.agent_epoch);
    auto body = protocol::direct_commands(token, agent_epoch, commands);
    double timeout =
        dependencies_.settings.report_s * (probe ? probe_timeout_reports : direct_timeout_reports);
    dependencies_.http.send(
        m.addr, {"POST", std::string(protocol::paths::commands), body}, timeout,
        guarded_([this, id, token, commands, probe, sent = now()](std::optional<http::Response> r) {
            if (r) reconciliation_.answered(now() - sent, now());
            if (probe) {
                --probing_;
                if (auto* m = state_.cluster.find(id)) m->probing = false;
            }
            answered(id, commands, token, r);
            if (probe && !to_probe_.empty()) probe_soon();
        }));
}
void Leader::answered(const std::string& id, const std::vector<protocol::Command>& commands,
                      std::uint64_t token, const std::optional<http::Response>& r) {
    bool executed = r && r->status == 200, refused = r && (r->status == 409 || r->status == 400);
    bool first_session = false;
    if (executed || refused) direct_heard_ = now();
    if (executed || refused) try {
            auto report = reader_.read(r->body);
            auto* before = state_.cluster.find(id);
            first_session = before && before->agent_epoch < report.agent_epoch;
            if (report.machine == id) apply_heartbeat(report, cluster::Via::direct);
            // What a relay would go on answering may not be the last word any more.
            if (auto* m = state_.cluster.find(id); m && !state_.cluster.quiet(*m)) revoke(id);
        } catch (const protocol::Malformed& x) {
            spdlog::info("machine {}: {}", id, x.what());
        }
    std::lock_guard lock(state_.mutex);
    auto* m = state_.cluster.find(id);
    if (!m) return;
    if (executed || refused)
        m->reach.shown(now());
    else
        m->reach.ignored(now());
    state_.cluster.direct_done(*m, commands, token, executed || refused);
    // A 409 told the agent epoch: ask again at once, so that the machine settles.
    if (refused && first_session && !m->reconciled)
        dependencies_.timers.after(0, guarded_([this, id] {
                                       if (auto* again = state_.cluster.find(id)) probe(*again);
                                   }));
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
    failure_detector_.look(seen,
                           {reconciliation_.behind(t), direct_heard_ >= 0 && t - direct_heard_ < asked_s}, t);
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
        if (m.mute) revoke(m.id);
        suspected += m.is_suspect();
        check_up(m, seen[k], verdict, may);
    }
    dependencies_.metrics.set(metrics::Metric::leader_suspected_machines, static_cast<double>(suspected));
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
    double renewed = std::max(delegations_.renewed(m.id, m.renewed), m.delegation_expiry);
    bool over = now() > renewed + s.lease_s * (1 + 2 * election::drift) + s.report_s / 3;
    bool silent = now() - m.last_heard > s.lease_s || beyond_reach(m);
    if (over && silent && (!m.tasks.empty() || !m.reconciled)) {
        spdlog::info("machine {}: its lease is out", m.id);
        std::lock_guard lock(state_.mutex);
        for (auto& e : state_.cluster.expire_lease(m)) handle_end(e);
        plan_soon();
    }
    return over;
}

void Leader::check_up(Machine& m, const membership::Observation& seen, membership::Health verdict, bool may) {
    double period = dependencies_.settings.report_s, t = now();
    bool due = m.reconciled ? failure_detector_.late(seen) && t - m.last_probe > period / 2
                            : t - m.last_probe > period / 3 && t - m.created > period * ask_reports;
    if (due) probe(m);
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
    dependencies_.metrics.increment(metrics::Metric::leader_machines_marked_for_deletion);
    m.life = Machine::Life::marked_for_deletion;
    revoke(m.id);  // no grant moves the time at which its lease is out
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
            revoke(id);
            reply_cache_.forget(id);
            // Proof: by the time of the answer the machine and everything on it are gone.
            for (auto& e : state_.cluster.removed(id)) handle_end(e);
        }
    }
    replicate_changes();
    check_reconciled();
    plan_soon();
    delete_marked_machines();
}

void Leader::drop_keys() {
    if (dropping_ || keys_to_drop_.empty() || !authority_.holds()) return;
    auto t = authority_.fenced_transaction();
    for (auto& k : keys_to_drop_) {
        if (t.changes.size() >= dependencies_.state.limits().txn_ops()) break;
        t.changes.push_back({k, std::nullopt, 0});
    }
    std::vector<std::string> dropped;
    for (auto& ch : t.changes) dropped.push_back(ch.key);
    dropping_ = true;
    dependencies_.state.txn(std::move(t), RequestPriority::background, guarded_([this, dropped](TxnResult c) {
                                dropping_ = false;
                                if (c.status == TxnResult::Status::committed)
                                    for (auto& k : dropped) keys_to_drop_.erase(k);
                            }));
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
    flush_all();
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
            if (auto* m = state_.cluster.find(id)) probe(*m);
    }));
}

}  // namespace coralhitch::leader
