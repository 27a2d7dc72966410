#include "cluster/cluster_state.hpp"

#include <algorithm>
#include <limits>

namespace coralhitch::cluster {
using protocol::Command;
using protocol::CommandKind;
using protocol::ExitCause;
using protocol::TaskState;

protocol::Resources Machine::free() const {
    protocol::Resources room = total;
    for (auto& [id, t] : tasks)
        if (t.spec) room -= t.spec->request;
    return room;
}
bool Machine::has_orphaned_instance() const {
    return std::any_of(tasks.begin(), tasks.end(), [](auto& t) { return !t.second.spec; });
}

bool Machine::has_reported_instances() const {
    return std::any_of(tasks.begin(), tasks.end(), [](auto& t) { return t.second.seen; });
}

ClusterState::ClusterState(std::uint64_t version, const std::vector<protocol::MachineType>& types)
    : base_(version << token_bits), highest_token_(base_) {
    set_types(types);
}
void ClusterState::set_types(const std::vector<protocol::MachineType>& types) {
    for (auto& t : types) types_[t.name] = t;
    for (auto& p : pools_) know_type(p);
    for (auto& t : types)
        for (auto& z : t.zones)
            for (bool spot : {false, true}) pool_of(t.name, z, spot);
    for (auto& [id, m] : machines_) m.total = pools_[m.pool].total;
}
void ClusterState::know_type(protocol::Pool& p) const {
    auto it = types_.find(p.type);
    if (it == types_.end()) return;
    p.total = it->second.room;
    p.fetch_gb_per_s = it->second.fetch_gb_per_s;
}
std::size_t ClusterState::pool_of(const std::string& type, const std::string& zone, bool spot) {
    for (std::size_t p = 0; p < pools_.size(); ++p)
        if (pools_[p].spot == spot && pools_[p].zone == zone && pools_[p].type == type) return p;
    auto z = std::find(zones_.begin(), zones_.end(), zone);
    auto index = static_cast<std::size_t>(z - zones_.begin());
    if (z == zones_.end()) zones_.push_back(zone);
    pools_.push_back({type, zone, spot, index, {}, 0});
    know_type(pools_.back());
    return pools_.size() - 1;
}
std::uint32_t ClusterState::image(const std::string& name) {
    return images_.try_emplace(name, static_cast<std::uint32_t>(images_.size())).first->second;
}
// A machine caches the images used last, as many as fit. What it has dropped must not count as there: a task
// sent for it would fetch after all.
void ClusterState::used_image(Machine& m, const protocol::Job& job) {
    auto id = image(job.image);
    std::erase_if(m.cache, [&](auto& c) { return c.first == id; });
    m.cache.emplace_back(id, job.image_gb);
    trim_cache(m);
}
void ClusterState::recall_cache(Machine& m, std::vector<std::pair<std::uint32_t, double>> cache) {
    if (!m.cache.empty()) return;
    m.cache = std::move(cache);
    trim_cache(m);
}
void ClusterState::trim_cache(Machine& m) {
    auto type = types_.find(m.type);
    double left = type == types_.end() || type->second.cache_gb <= 0 ? std::numeric_limits<double>::max()
                                                                     : type->second.cache_gb;
    protocol::Images images;
    std::size_t kept = 0;
    for (auto c = m.cache.rbegin(); c != m.cache.rend() && (kept == 0 || left >= c->second); ++c, ++kept) {
        left -= c->second;
        images.push_back(c->first);
    }
    m.cache.erase(m.cache.begin(), m.cache.end() - static_cast<std::ptrdiff_t>(kept));
    std::sort(images.begin(), images.end());
    if (!m.images || *m.images != images)
        m.images = std::make_shared<const protocol::Images>(std::move(images));
}
void ClusterState::schedule_flush(Machine& m) {
    if (m.unsent) return;
    m.unsent = true;
    to_flush_.push_back(m.id);
}
void ClusterState::mark_dirty(Machine& m) {
    if (m.dirty) return;
    m.dirty = true;
    dirty_machines_.push_back(m.id);
}
std::vector<std::string> ClusterState::dirty_machines() {
    for (auto& id : dirty_machines_)
        if (auto* m = find(id)) m->dirty = false;
    return std::exchange(dirty_machines_, {});
}
Machine* ClusterState::find(std::string_view id) {
    auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}
Machine& ClusterState::add(const std::string& id, const std::string& addr, const std::string& type,
                           const std::string& zone, bool spot, Machine::Life life, double now) {
    if (auto* known = find(id)) return *known;
    auto it = machines_.try_emplace(id).first;
    auto& m = it->second;
    by_id_.emplace(it->first, &m);
    m.id = id;
    m.token = base_;
    m.created = m.last_heard = m.idle_since = m.renewed = now;
    m.reachability.record_renewable_heartbeat(now);
    m.reachability.record_reached(now);
    m.life = life;
    m.addr = addr;
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    m.pool = pool_of(type, zone, spot);
    m.total = pools_[m.pool].total;
    return m;
}

std::vector<InstanceEnd> ClusterState::terminate_all(Machine& m) {
    std::vector<InstanceEnd> ends;
    for (auto& [id, t] : m.tasks)
        if (t.confirmed)
            ends.push_back(
                {m.id, id, t.attempt, false, t.orphaned, ExitCause::none, false, t.running_since >= 0});
    m.tasks.clear();
    m.ended.clear();
    return ends;
}

HeartbeatOutcome ClusterState::apply_heartbeat(const protocol::Heartbeat& r, Via via, double now,
                                               const Lookup& lookup) {
    HeartbeatOutcome outcome;
    // A machine once deleted stays gone; what still arrives from it was under way.
    outcome.gone = is_deleted(r.machine);
    outcome.deposed = !outcome.gone && r.token >= base_ + tokens_per_leadership;
    outcome.gone |= !outcome.deposed && is_from_terminated_epoch(r, via);
    if (outcome.gone || outcome.deposed) return outcome;
    auto& m = add(r.machine, r.addr, r.type, r.zone, r.spot, Machine::Life::up, now);
    if (!is_newer(m, r, via)) {
        apply_older(m, r, via, outcome);
        return outcome;
    }
    m.unproven = false;
    m.confirmed |= sent_since_begin(r, via);
    outcome.fresh = outcome.current = true;
    // Of one that was known before it reconciled those who follow know what is on it, too.
    bool changed = r.agent_epoch > m.agent_epoch || (r.token >= base_ && !m.reconciled && !m.known);
    if (r.agent_epoch > m.agent_epoch && m.agent_epoch > 0) {
        // Proof: a worker that moves on to a new agent epoch has killed and forgotten all tasks of the old
        // one. Commands under way for the old agent epoch are refused by the worker.
        outcome.ends = terminate_all(m);
        m.heartbeat_sequence = 0;
    }
    apply_header(m, r, via, now);
    std::set<std::pair<protocol::TaskId, std::uint64_t>> shown_ended;
    std::set<protocol::TaskId> shown;
    for (auto& t : r.tasks) {
        if (t.state == TaskState::exited) {
            shown_ended.emplace(t.task, t.attempt);
            apply_exited(m, t, outcome);
        } else {
            shown.insert(t.task);
            changed |= apply_reported(m, t, now, lookup, outcome);
        }
    }
    terminate_unreported(m, shown, r.token, outcome);
    std::erase_if(m.ended, [&](auto& e) { return !shown_ended.contains(e.first) && e.second.stored; });
    if (!m.tasks.empty()) m.idle_since = now;
    if (changed || !outcome.ends.empty() || !outcome.found.empty()) mark_dirty(m);
    return outcome;
}

// The worker had heard of this leader when it sent it.
bool ClusterState::sent_since_begin(const protocol::Heartbeat& r, Via via) const {
    return via == Via::direct || r.token >= base_;
}
// The larger (agent epoch, sequence) is the newer one, an older one changes nothing. But a report from before
// this leader began may be of another life of the machine, which had come further; what the leader before
// told is not.
bool ClusterState::is_newer(const Machine& m, const protocol::Heartbeat& r, Via via) const {
    if (std::pair(r.agent_epoch, r.sequence) > std::pair(m.agent_epoch, m.sequence)) return true;
    bool asked = via == Via::direct;
    return !m.confirmed && !m.known && (r.token >= base_ || (asked && r.agent_epoch < m.agent_epoch));
}

// Reports, and copies of them, may come well over a lease late. A machine is stored before its first `run`,
// so tasks can't be on one that is not: it was deleted under an earlier leader. Nor is anything left of a
// agent epoch whose lease is out. Taken for true, such a report brought tasks back that ran elsewhere, and
// those were stopped. What the machine answers now counts. A report that may be from before this leader began
// tells of tasks only if an earlier leader may have started some, and nothing newer is known.
bool ClusterState::is_from_terminated_epoch(const protocol::Heartbeat& r, Via via) {
    bool asked = via == Via::direct;
    auto* known = find(r.machine);
    if (!asked && !r.tasks.empty() && (!known || !known->stored)) return true;
    bool old = !sent_since_begin(r, via) && !(known && known->confirmed);
    bool awaited = known && known->stored_before && !known->reconciled;
    if (old && !r.tasks.empty() && !awaited) return true;
    return known && (r.agent_epoch <= known->over || (known->unproven && !asked));
}

void ClusterState::apply_older(Machine& m, const protocol::Heartbeat& r, Via via,
                               HeartbeatOutcome& outcome) const {
    bool asked = via == Via::direct;
    // A direct answer may overtake a report; the worker still waits for the report's answer.
    bool overtaken = !asked && r.sequence > m.heartbeat_sequence;
    outcome.again = !asked && r.agent_epoch == m.agent_epoch && r.sequence == m.heartbeat_sequence;
    outcome.current = r.agent_epoch == m.agent_epoch && (asked || overtaken || outcome.again);
    if (overtaken && outcome.current) m.heartbeat_sequence = r.sequence;
}

// All that a newer report says of the machine itself.
void ClusterState::apply_header(Machine& m, const protocol::Heartbeat& r, Via via, double now) {
    if (std::pair(r.agent_epoch, r.sequence) < std::pair(m.agent_epoch, m.sequence)) m.heartbeat_sequence = 0;
    m.agent_epoch = r.agent_epoch;
    m.sequence = r.sequence;
    if (via == Via::heartbeat) m.heartbeat_sequence = r.sequence;
    m.token_seen = r.token;
    m.addr = r.addr;
    m.last_heard = now;
    m.suspected = false;
    m.silent_before = 0;
    if (m.life == Machine::Life::booting) m.life = Machine::Life::up;
    if (r.preemption_notice_s) {
        double until = now + *r.preemption_notice_s;  // a report that came late says too much
        m.preemption_notice_until =
            m.preemption_notice_until < 0 ? until : std::min(m.preemption_notice_until, until);
    } else {
        m.preemption_notice_until = -1;
    }
    // From a report under this leader's token on, the worker drops all commands of earlier leaders, so what
    // the report shows is all there is.
    if (r.token >= base_) m.reconciled = any_reconciled_ = true;
}

// Proof of exit: the worker says that this attempt has exited.
void ClusterState::apply_exited(Machine& m, const protocol::TaskStatus& t, HeartbeatOutcome& outcome) {
    auto key = std::pair(t.task, t.attempt);
    if (m.ended.contains(key)) return;
    ExitedTask e{t.attempt, 0, 0, 0, 0, false};
    bool started = false, orphaned = false;
    if (auto it = m.tasks.find(t.task); it != m.tasks.end() && it->second.attempt == t.attempt) {
        e.unacknowledged_run_token = it->second.unacknowledged_run_token;
        e.answer_sequence = it->second.answer_sequence;
        e.direct = it->second.direct;
        e.run_token = it->second.run_token;
        started = it->second.running_since >= 0;
        orphaned = it->second.orphaned;
        m.tasks.erase(it);
    }
    if (t.cause != ExitCause::done) e.stored = true;  // nothing to store for other ends
    m.ended.emplace(key, e);
    if (!e.stored) exited_by_job_[t.task.job].insert(m.id);
    outcome.ends.push_back({m.id, t.task, t.attempt, true, orphaned, t.cause, t.saved, started});
}

// Returns whether another attempt was on record. What a report from before this leader began shows is no
// evidence against what the leader before told: that holds all there is. Nor does it become a belief before
// the machine has confirmed it: as one, it made a gang that ran elsewhere by now stop when the next report
// did not show it.
bool ClusterState::apply_reported(Machine& m, const protocol::TaskStatus& t, double now, const Lookup& lookup,
                                  HeartbeatOutcome& outcome) {
    bool changed = false;
    auto it = m.tasks.find(t.task);
    bool on_record = it != m.tasks.end() && it->second.attempt == t.attempt;
    if (m.known && !m.confirmed && !on_record) return false;
    if (it == m.tasks.end()) {
        Instance i;
        i.spec = lookup(t.task.job);
        i.attempt = t.attempt;
        i.placed = now;
        i.confirmed = m.confirmed;
        it = m.tasks.emplace(t.task, std::move(i)).first;
        outcome.found.emplace_back(t.task, m.id);
    } else if (!on_record) {
        // Another attempt than the one on record is there; the one shown is what holds the place.
        it->second.attempt = t.attempt;
        changed = true;
    }
    auto& i = it->second;
    if (m.confirmed && !std::exchange(i.confirmed, true)) outcome.found.emplace_back(t.task, m.id);
    i.seen = i.shown = true;
    i.state = t.state;
    if (i.spec && t.state != TaskState::fetching && !std::exchange(i.image_noted, true))
        used_image(m, *i.spec);
    if (t.state != TaskState::fetching && t.state != TaskState::waiting && i.running_since < 0)
        i.running_since = now;
    return changed;
}

// What the report does not show, though it is on record.
void ClusterState::terminate_unreported(Machine& m, const std::set<protocol::TaskId>& shown,
                                        std::uint64_t token, HeartbeatOutcome& outcome) {
    for (auto it = m.tasks.begin(); it != m.tasks.end();) {
        auto& i = it->second;
        bool unsent = !i.seen && i.run_token == 0;
        i.shown = shown.contains(it->first);
        if (i.shown || (unsent && !i.stop)) {
            ++it;
            continue;
        }
        if (token > i.run_token) {
            // Proof: not on the machine, and every `run` for it went out under a token that the worker now
            // drops.
            if (i.confirmed)
                outcome.ends.push_back({m.id, it->first, i.attempt, false, i.orphaned, ExitCause::none, false,
                                        i.running_since >= 0});
            it = m.tasks.erase(it);
            continue;
        }
        // Not shown is no proof while a `run` may still arrive. One that is not wanted any more, or that was
        // there before, is fenced with a higher token; one that is wanted is sent again.
        if (i.stop || i.seen) raise_token(m, i.run_token);
        ++it;
    }
}

// `clear` makes the worker forget an attempt, so a `run` of it that arrives afterwards would start it again.
// An unanswered direct `run` may arrive minutes late: only a higher token, seen by the worker, stops it.
void ClusterState::fence_unacknowledged_runs(Machine& m) {
    for (auto& [key, e] : m.ended)
        if (e.stored && e.direct == 0) raise_token(m, e.unacknowledged_run_token);
}
void ClusterState::raise_token(Machine& m, std::uint64_t above) {
    if (m.token > above) return;
    m.token = above + 1;
    highest_token_ = std::max(highest_token_, m.token);
}

std::vector<Command> ClusterState::answer(Machine& m, double now, bool authority) {
    std::vector<Command> out;
    fence_unacknowledged_runs(m);
    bool ours = authority && m.reconciled && m.life == Machine::Life::up;
    // Not while a `run` is under way, which the higher token would stop, too.
    bool may_forget =
        ours && std::none_of(m.tasks.begin(), m.tasks.end(), [](auto& t) { return t.second.direct > 0; });
    auto forgets = [&](const ExitedTask& e) {
        // An earlier answer with this `run` is executed or dropped once a later report has come in.
        return e.stored && e.direct == 0 && m.token_seen > e.unacknowledged_run_token &&
               m.heartbeat_sequence > e.answer_sequence;
    };
    // A copy of a `run` that was answered may come late, too. From this answer on the worker drops it.
    if (may_forget)
        for (auto& [key, e] : m.ended)
            if (forgets(e)) raise_token(m, e.run_token);
    for (auto& [id, i] : m.tasks) {
        if (i.stop || !i.spec) {
            if (i.seen && (i.state != TaskState::saving || i.grace_s <= 0)) {
                out.push_back({CommandKind::stop, id, i.attempt, i.spec ? i.grace_s : 0});
                if (i.stop_sent < 0) i.stop_sent = now;
            }
        } else if (!i.seen && i.ready && ours && i.run_token > 0) {
            out.push_back({CommandKind::start, id, i.attempt, 0});
            i.run_token = m.token;
            i.answer_sequence = m.heartbeat_sequence;
        }
    }
    if (may_forget)
        for (auto& [key, e] : m.ended)
            if (forgets(e)) out.push_back({CommandKind::forget, key.first, key.second, 0});
    return out;
}

std::vector<Command> ClusterState::direct_now(Machine& m, double now, bool authority) {
    authority = authority && m.reconciled && m.life == Machine::Life::up;
    m.unsent = false;
    std::vector<Command> out;
    bool held_back = false;
    for (auto& [id, i] : m.tasks) {
        if (i.stop) {
            if (i.stop_sent >= 0) continue;
            out.push_back({CommandKind::stop, id, i.attempt, i.grace_s});
            i.stop_sent = now;
        } else if (i.spec && i.ready && i.told && !i.seen && i.run_token == 0) {
            if (!authority) {
                held_back = true;
                continue;
            }
            out.push_back({CommandKind::start, id, i.attempt, 0});
            i.run_token = m.token;
            ++i.direct;
        }
    }
    if (held_back) schedule_flush(m);
    return out;
}

bool ClusterState::quiet(const Machine& m) const {
    bool plain = m.life == Machine::Life::up && m.reconciled && m.stored && m.preemption_notice_until < 0 &&
                 !m.unsent && m.ended.empty() && m.token == m.token_seen;
    return plain && std::all_of(m.tasks.begin(), m.tasks.end(), [](auto& t) {
               auto& i = t.second;
               return i.seen && i.spec && !i.stop && i.direct == 0;
           });
}

void ClusterState::direct_done(Machine& m, const std::vector<Command>& commands, std::uint64_t token,
                               bool answered) {
    auto settle = [&](auto& x) {
        --x.direct;
        if (!answered) x.unacknowledged_run_token = std::max(x.unacknowledged_run_token, token);
    };
    for (auto& c : commands) {
        if (c.op != CommandKind::start) continue;
        if (auto it = m.tasks.find(c.task); it != m.tasks.end() && it->second.attempt == c.attempt)
            settle(it->second);
        else if (auto e = m.ended.find({c.task, c.attempt}); e != m.ended.end())
            settle(e->second);
    }
}

namespace {
// Takes the place of whatever was known of the task there.
Instance& new_instance(Machine& m, const protocol::TaskId& task, JobSpec spec, std::uint64_t attempt,
                       double now) {
    auto& i = m.tasks[task];
    i = Instance{};
    i.spec = std::move(spec);
    i.attempt = attempt;
    i.placed = now;
    return i;
}
}  // namespace

Instance& ClusterState::place(Machine& m, const protocol::TaskId& task, JobSpec spec, std::uint64_t attempt,
                              double now) {
    auto& i = new_instance(m, task, std::move(spec), attempt, now);
    i.ready = m.stored;
    i.told = !hold_starts_;
    m.idle_since = now;
    schedule_flush(m);
    mark_dirty(m);
    return i;
}
Instance& ClusterState::inherit(Machine& m, const protocol::TaskId& task, JobSpec spec, std::uint64_t attempt,
                                double now) {
    auto& i = new_instance(m, task, std::move(spec), attempt, now);
    i.seen = true;
    i.run_token = base_ - 1;  // of any `run` that may still be on its way
    return i;
}
void ClusterState::stop(Machine& m, const protocol::TaskId& task, double grace_s) {
    auto it = m.tasks.find(task);
    if (it == m.tasks.end()) return;
    auto& i = it->second;
    if (i.stop && i.grace_s <= grace_s) return;
    i.stop = true;
    i.grace_s = grace_s;
    i.stop_sent = -1;
    schedule_flush(m);
    if (!i.seen) raise_token(m, i.run_token);
}
void ClusterState::cancel(Machine& m, const protocol::TaskId& task, double lease_renewal_deadline) {
    if (auto it = m.tasks.find(task); it != m.tasks.end())
        it->second.lease_renewal_deadline =
            std::min(it->second.lease_renewal_deadline, lease_renewal_deadline);
    stop(m, task, 0);
}
bool ClusterState::renewable(const Machine& m, double now) const {
    return std::none_of(m.tasks.begin(), m.tasks.end(), [&](auto& t) {
        auto& i = t.second;
        return i.stop && !i.shown && now > i.lease_renewal_deadline;
    });
}
void ClusterState::stored(const std::string& job, const std::set<std::uint32_t>& tasks) {
    auto at = exited_by_job_.find(job);
    if (at == exited_by_job_.end()) return;
    for (auto& id : at->second)
        if (auto* m = find(id))
            for (auto& [key, e] : m->ended)
                if (key.first.job == job && (tasks.empty() || tasks.contains(key.first.index)))
                    e.stored = true;
    if (tasks.empty()) exited_by_job_.erase(at);
}
std::vector<InstanceEnd> ClusterState::removed(const std::string& id) {
    auto it = machines_.find(id);
    if (it == machines_.end()) return {};
    auto ends = terminate_all(it->second);
    if (!it->second.dirty) dirty_machines_.push_back(id);
    by_id_.erase(it->first);
    machines_.erase(it);
    deleted_machines_.insert(id);
    return ends;
}
std::vector<InstanceEnd> ClusterState::expire_lease(Machine& m) {
    auto ends = terminate_all(m);
    m.reconciled = true;
    m.over = std::max(m.over, m.agent_epoch);
    m.unproven = m.agent_epoch == 0;
    mark_dirty(m);
    return ends;
}

}  // namespace coralhitch::cluster
