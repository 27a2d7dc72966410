#include "daemon/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "state/keys.hpp"

namespace coralhitch::daemon {
namespace keys = state::keys;
using fleet::Machine;
using state::Committed;
using state::Rank;
using wire::Cause;
using wire::JobState;
using wire::Kind;

namespace {
// Twice the drift that clocks may show, on top of what a proof by time waits for.
constexpr double drift = 0.001;
// Ratios to the report period, unless named otherwise.
constexpr double tick_reports = 1.0 / 6;
constexpr double plan_gap_reports = 1.0 / 12;
constexpr double probe_reports = 1.27;
constexpr double probe_timeout_reports = 0.4, direct_timeout_reports = 0.7;
constexpr double probe_sockets = 1.0 / 8;  // of all sockets
// Above this share of silent machines the leader doubts itself first.
constexpr double suspect_share = 1.0 / 3;
// How long a worker takes to turn to another controller: its timeout, a pause and a report.
constexpr double turn_reports = 2;
constexpr double capacity_reports = 1.0 / 2;
constexpr double refused_reports = 10;
constexpr double sick_reports = 20;
constexpr double overdue_boots = 3;
constexpr double dark_reports = 2, dark_leases = 4;
constexpr std::size_t tasks_per_plan = 64;
}  // namespace

double Leader::keep_alive_s(const config::Settings& s, double ttl) {
    // A cancelled task that a cut-off leader keeps alive must still be gone in time: its worker's lease runs
    // out lease_s after the last answer, which is at most this long after the authority, itself at most a TTL
    // after the cancellation was told.
    return std::max(0.0, s.cancel_s - s.lease_s * (1 + drift) - ttl - s.report_s);
}

Leader::Leader(Context context, std::uint64_t version, std::uint64_t seed)
    : c_(std::move(context)),
      version_(version),
      random_(seed),
      keep_alive_(keep_alive_s(c_.settings, c_.election.ttl())),
      picture_(version, c_.types),
      table_(c_.settings.value_kb),
      store_(c_.timers, c_.state, c_.settings,
             {[this](const std::string& id) { return record_of(id); },
              [this] { return authority() ? std::optional(leader_txn()) : std::nullopt; },
              [this](const std::vector<MachineStore::Record>& r) {
                  if (!stopped_) machines_stored(r);
              }}) {}

void Leader::start() {
    started_ = now();
    load();
}
void Leader::stop() {
    stopped_ = true;
    c_.timers.cancel(tick_timer_);
    for (auto& [r, reply] : early_) reply({503, "{}"});
    early_.clear();
}

wire::Txn Leader::leader_txn() const {
    wire::Txn t;
    // A transaction that arrives late, when another controller leads, fails here.
    t.conditions.push_back({keys::leader, version_});
    return t;
}

// --- Taking over ---------------------------------------------------------------------------------------

void Leader::retry_load() {
    c_.timers.after(c_.settings.report_s / 10, guarded([this] { load(); }));
}
void Leader::load() {
    c_.state.list(keys::jobs, Rank::write, guarded([this](state::Listed jobs) {
                      if (!jobs.ok) return retry_load();
                      c_.state.list(keys::progress, Rank::write,
                                    guarded([this, jobs](state::Listed progress) {
                                        if (!progress.ok) return retry_load();
                                        c_.state.list(keys::machines, Rank::write,
                                                      guarded([this, jobs, progress](state::Listed machines) {
                                                          if (!machines.ok) return retry_load();
                                                          take_all(jobs, progress, machines);
                                                          watch_jobs(jobs.revision);
                                                          loaded();
                                                      }));
                                    }));
                  }));
}

void Leader::take_all(const state::Listed& jobs, const state::Listed& progress,
                      const state::Listed& machines) {
    std::lock_guard lock(mutex_);
    for (auto& e : jobs.entries) take_job(e.key.substr(keys::jobs.size()), e.version, e.value);
    for (auto& e : progress.entries) {
        auto rest = e.key.substr(keys::progress.size());
        auto slash = rest.find('/');
        auto id = rest.substr(0, slash);
        if (!table_.find(id)) {
            keys_to_drop_.insert(e.key);  // left over from a job that is over
            continue;
        }
        try {
            table_.put_progress(id, std::stoul(rest.substr(slash + 1)), wire::parse_bits(e.value));
        } catch (const std::exception& x) {
            spdlog::error("progress {}: {}", e.key, x.what());
        }
    }
    for (auto& [id, r] : store_.load(machines)) {
        auto& m = picture_.add(id, r.addr, r.type, r.zone, r.spot,
                               r.condemned ? Machine::Life::condemned : Machine::Life::up, now());
        m.stored = true;
        m.deletable = r.condemned;
        heard_from(zone_of(m));
        // The leader before may have gone on renewing leases for a while.
        m.renewed = now() + keep_alive_;
    }
}

void Leader::loaded() {
    loaded_ = true;
    spdlog::info("leader: loaded {} jobs and {} machines", table_.all().size(), picture_.machines().size());
    for (auto& [id, m] : picture_.machines()) probe(m);
    for (auto& [r, reply] : std::exchange(early_, {})) hello(std::move(r), std::move(reply));
    tick();
}

void Leader::take_job(const std::string& id, std::uint64_t version, const std::string& value) {
    try {
        auto record = wire::parse_job_record(value);
        bool cancelled = record.cancelled;
        if (!table_.put(id, version, std::move(record))) return;
        if (cancelled) stop_active(id, *table_.find(id), 0);
    } catch (const wire::Malformed& x) {
        spdlog::error("job {}: {}", id, x.what());
    }
}

void Leader::watch_jobs(std::uint64_t since) {
    c_.state.watch(
        keys::jobs, since, c_.settings.lease_s / 2, guarded([this, since](state::Watched w) {
            if (w.status == state::Watched::Status::too_old) return reread_jobs();
            if (w.status == state::Watched::Status::failed) {
                c_.timers.after(c_.settings.report_s / 10, guarded([this, since] { watch_jobs(since); }));
                return;
            }
            auto next = std::max(since, w.events.revision);
            {
                std::lock_guard lock(mutex_);
                for (auto& e : w.events.events)
                    if (e.value) take_job(e.key.substr(keys::jobs.size()), e.version, *e.value);
                table_.seen_revision(next);
            }
            if (!w.events.events.empty()) plan_soon();
            flush_all();
            // A short pause lets changes come together, so that watching costs few requests under load.
            c_.timers.after(c_.settings.report_s / 60, guarded([this, next] { watch_jobs(next); }));
        }));
}
void Leader::reread_jobs() {
    c_.state.list(keys::jobs, Rank::write, guarded([this](state::Listed l) {
                      if (!l.ok) {
                          c_.timers.after(c_.settings.report_s / 5, guarded([this] { reread_jobs(); }));
                          return;
                      }
                      {
                          std::lock_guard lock(mutex_);
                          for (auto& e : l.entries)
                              take_job(e.key.substr(keys::jobs.size()), e.version, e.value);
                      }
                      plan_soon();
                      watch_jobs(l.revision);
                  }));
}

void Leader::cancelled(const std::string& id, std::uint64_t version) {
    {
        std::lock_guard lock(mutex_);
        auto* e = table_.find(id);
        if (!e || e->cancelled) return;
        e->cancelled = true;
        e->version = std::max(e->version, version);
        stop_active(id, *e, 0);
    }
    flush_all();
}

std::optional<api::TaskCounts> Leader::counts(const std::string& id) {
    if (!loaded_) return std::nullopt;
    auto* e = table_.find(id);
    if (!e) return std::nullopt;
    api::TaskCounts c{e->done_count, 0};
    for (auto& [task, a] : e->active) {
        auto* m = picture_.find(a.machine);
        if (!m) continue;
        auto it = m->tasks.find({id, task});
        if (it != m->tasks.end() && it->second.running_since >= 0) ++c.running;
    }
    return c;
}

std::vector<wire::PeerCount> Leader::all_counts() {
    std::vector<wire::PeerCount> out;
    if (!loaded_) return out;
    for (auto& [id, e] : table_.all())
        if (auto c = counts(id)) out.push_back({id, c->done, c->running});
    return out;
}

bool Leader::all_settled() const {
    return std::all_of(picture_.machines().begin(), picture_.machines().end(),
                       [](auto& m) { return m.second.settled || !m.second.stored; });
}

// --- Machines ------------------------------------------------------------------------------------------

void Leader::hello(wire::Report report, http::Reply reply) {
    if (!loaded_) {
        early_.emplace_back(std::move(report), std::move(reply));
        return;
    }
    // Without authority the workers' leases are renewed for a bounded time, and nothing new is commanded.
    bool may = authority();
    if (!may && now() > c_.election.authority_until() + keep_alive_) return reply({503, "{}"});
    bool current = hear(report, fleet::Via::hello).current;
    if (stopped_) return reply({503, "{}"});
    std::vector<wire::Command> commands;
    std::uint64_t token = 0;
    {
        std::lock_guard lock(mutex_);
        auto* m = picture_.find(report.machine);
        // Never a 200 that the worker would drop: a later leader's token, a machine that is deleted.
        if (!current || !m) return reply({503, "{}"});
        commands = picture_.answer(*m, now(), may);
        token = m->token;
        m->renewed = m->settled ? now() : std::max(m->renewed, now());
    }
    reply({200, wire::report_answer(token, commands)});
    if (auto* m = picture_.find(report.machine)) flush(*m);
}

fleet::Heard Leader::hear(const wire::Report& r, fleet::Via via) {
    fleet::Heard heard;
    {
        std::lock_guard lock(mutex_);
        heard = picture_.hear(r, via, now(), [this](const std::string& id) -> fleet::Spec {
            auto* e = table_.find(id);
            return e ? e->spec : nullptr;
        });
        for (auto& e : heard.ends) handle_end(e);
        for (auto& [task, machine] : heard.found) handle_found(task, machine);
        if (auto* m = picture_.find(r.machine); m && heard.fresh) {
            store_machine(*m);
            heard_from(zone_of(*m));
            if (m->notice_until >= 0) heed_notice(*m);
        }
    }
    if (heard.deposed) {
        spdlog::info("leader: machine {} has seen the token of a later leader", r.machine);
        // Not from within what the worker's message set off: this object would be gone before it is done.
        auto version = r.token >> fleet::Picture::token_bits;
        c_.timers.after(0, guarded([this, version] { c_.election.deposed(version); }));
        return heard;
    }
    settled_check();
    if (heard.ends.empty() && heard.found.empty()) return heard;
    flush_all();
    if (loaded_) store_progress();
    plan_soon();
    return heard;
}

void Leader::settled_check() {
    if (was_settled_ || !all_settled()) return;
    was_settled_ = true;
    spdlog::info("leader: all machines settled after {:.1f} s", now() - started_);
    plan_soon();
}
void Leader::types_changed() {
    std::lock_guard lock(mutex_);
    picture_.set_types(c_.types);
}

void Leader::handle_found(const wire::TaskId& task, const std::string& machine) {
    auto* e = table_.find(task.job);
    auto* m = picture_.find(machine);
    auto it = m->tasks.find(task);
    if (!e || it == m->tasks.end()) return;  // of a job that is over: the picture stops it
    auto& i = it->second;
    auto [a, fresh] = e->active.try_emplace(task.index, jobs::Active{machine, i.attempt, zone_of(*m)});
    if (!fresh && a->second.machine != machine) {
        spdlog::error("task {} is on {} and on {}", task.str(), a->second.machine, machine);
        i.stray = true;
        ++e->strays;
        picture_.stop(*m, task, 0);
    } else if (e->cancelled || e->is_done(task.index)) {
        picture_.stop(*m, task, 0);
    }
}

void Leader::handle_end(const fleet::End& end) {
    auto* e = table_.find(end.task.job);
    if (!e) {
        picture_.stored(end.task.job);  // the job is over and stored
        return;
    }
    spdlog::debug("task {} attempt {} left {}: reported {} cause {}", end.task.str(), end.attempt,
                  end.machine, end.reported, static_cast<int>(end.cause));
    if (end.stray) --e->strays;
    auto a = e->active.find(end.task.index);
    // The place is free if the picture holds nothing there any more: an old attempt that is reported as
    // exited once more says nothing about the one that came after it.
    auto* there = picture_.find(end.machine);
    bool ours = a != e->active.end() && a->second.machine == end.machine &&
                !(there && there->tasks.contains(end.task));
    if (ours) e->active.erase(a);
    auto& spec = *e->spec;
    bool gang = spec.kind == Kind::gang;
    if (end.task.index >= spec.tasks) return;
    if (end.cause == Cause::done && spec.kind != Kind::service) {
        // The tasks of a gang complete together: if one is done, all are.
        if (gang) {
            for (std::uint32_t i = 0; i < spec.tasks; ++i) e->mark_done(i);
        } else {
            e->mark_done(end.task.index);
        }
        e->failures = 0;
        if (auto* m = picture_.find(end.machine)) m->error_jobs.clear();
        if (e->is_done(end.task.index) && !e->unstored.contains(end.task.index))
            picture_.stored(end.task.job, {end.task.index});
        return;
    }
    if (end.cause == Cause::done) picture_.stored(end.task.job, {end.task.index});
    if (!ours) return;
    switch (end.cause) {
        case Cause::error:
            task_error(*e, end);
            break;
        case Cause::no_room:
        case Cause::busy:
            // The picture of this machine was wrong: let reports mend it first.
            if (auto* m = picture_.find(end.machine)) m->avoid_until = now() + c_.settings.report_s;
            break;
        case Cause::unknown:
            e->not_before = now() + c_.settings.report_s;
            break;
        default:
            break;
    }
    // A gang that lost a task is stopped whole; its next attempt starts when all of the old one is gone.
    if (gang && !e->all_done()) stop_active(end.task.job, *e, placement::grace_of(spec));
}

void Leader::task_error(jobs::Entry& e, const fleet::End& end) {
    ++e.failures;
    e.failed_on.insert(end.machine);
    // The first failure is taken for the machine's: the task goes elsewhere at once. A job that fails on
    // several machines gets pauses that grow, up to a bound, and holds nobody else up.
    constexpr int patience = 2, most_doublings = 5;
    if (e.failures > patience) {
        int doublings = std::min(e.failures - patience - 1, most_doublings);
        e.not_before = now() + c_.settings.report_s * std::pow(2.0, doublings);
        if (e.failed_on.size() > 8) e.failed_on.clear();
    }
    auto* m = picture_.find(end.machine);
    if (!m) return;
    m->error_jobs.insert(end.task.job);
    if (e.failures > patience) return;  // says more about the job than about the machine
    if (m->error_jobs.size() < 2) {
        m->avoid_until = now() + c_.settings.report_s * 2;
        return;
    }
    spdlog::info("machine {} fails the tasks of {} jobs", m->id, m->error_jobs.size());
    c_.metrics.event("sick_machine");
    m->avoid_until = now() + c_.settings.report_s * sick_reports;
    m->error_jobs.clear();
    if (m->tasks.empty()) condemn(*m, "fails its tasks");
}

void Leader::stop_active(const std::string& id, jobs::Entry& e, double grace_s) {
    for (auto& [task, a] : e.active)
        if (auto* m = picture_.find(a.machine)) picture_.stop(*m, {id, task}, grace_s);
}

void Leader::heed_notice(Machine& m) {
    std::vector<std::pair<wire::TaskId, double>> stops;
    for (auto& [id, i] : m.tasks)
        if (i.spec && !i.stop && (i.spec->checkpoint_s > 0 || i.spec->kind == Kind::service))
            stops.emplace_back(id,
                               std::min(placement::grace_of(*i.spec), std::max(0.0, m.notice_until - now())));
    for (auto& [id, grace] : stops) {
        auto* e = table_.find(id.job);
        if (e && e->spec->kind == Kind::gang)
            stop_active(id.job, *e, grace);
        else
            picture_.stop(m, id, grace);
    }
    if (!stops.empty()) spdlog::info("machine {} has notice: {} tasks are moved", m.id, stops.size());
}

void Leader::flush_all() {
    std::vector<std::string> ids;
    {
        std::lock_guard lock(mutex_);
        ids = picture_.to_flush();
    }
    for (auto& id : ids)
        if (auto* m = picture_.find(id)) flush(*m);
}
void Leader::flush(Machine& m) {
    std::vector<wire::Command> commands;
    {
        std::lock_guard lock(mutex_);
        if (m.session == 0) {
            m.unsent = false;
            return;
        }
        commands = picture_.direct_now(m, now(), authority());
    }
    if (!commands.empty()) send_direct(m, std::move(commands));
}
// Asks for a report, and makes the worker take this leader's token. Only some at a time: a takeover asks
// hundreds, which must fit into the sockets and the processor's share.
void Leader::probe(Machine& m) {
    if (m.addr.empty()) return;
    m.last_probe = now();
    if (m.probing) return;
    m.probing = true;
    to_probe_.push_back(m.id);
    send_probes();
}
void Leader::send_probes() {
    auto most = static_cast<std::size_t>(std::max(1.0, c_.settings.sockets * probe_sockets));
    while (probing_ < most && !to_probe_.empty()) {
        auto id = std::move(to_probe_.front());
        to_probe_.pop_front();
        auto* m = picture_.find(id);
        if (!m) continue;
        m->last_probe = now();
        ++probing_;
        send_direct(*m, {});
    }
}
void Leader::send_direct(Machine& m, std::vector<wire::Command> commands) {
    auto token = m.token;
    std::string id = m.id;
    bool probe = commands.empty();
    // Most workers are in their first session still: a good guess saves the question.
    auto session = std::max<std::uint64_t>(1, m.session);
    auto body = wire::direct_commands(token, session, commands);
    double timeout = c_.settings.report_s * (probe ? probe_timeout_reports : direct_timeout_reports);
    c_.http.send(m.addr, {"POST", std::string(wire::paths::commands), body}, timeout,
                 guarded([this, id, token, commands, probe](std::optional<http::Response> r) {
                     if (probe) {
                         --probing_;
                         if (auto* m = picture_.find(id)) m->probing = false;
                     }
                     answered(id, commands, token, r);
                     if (probe) send_probes();
                 }));
}
void Leader::answered(const std::string& id, const std::vector<wire::Command>& commands, std::uint64_t token,
                      const std::optional<http::Response>& r) {
    bool executed = r && r->status == 200, refused = r && (r->status == 409 || r->status == 400);
    bool first_session = false;
    if (executed || refused) try {
            auto report = wire::parse_report(r->body);
            auto* before = picture_.find(id);
            first_session = before && before->session < report.session;
            if (report.machine == id) hear(report, fleet::Via::direct);
        } catch (const wire::Malformed& x) {
            spdlog::info("machine {}: {}", id, x.what());
        }
    std::lock_guard lock(mutex_);
    auto* m = picture_.find(id);
    if (!m) return;
    picture_.direct_done(*m, commands, token, executed || refused);
    // A 409 told the session: ask again at once, so that the machine settles.
    if (refused && first_session && !m->settled)
        c_.timers.after(0, guarded([this, id] {
                            if (auto* again = picture_.find(id)) probe(*again);
                        }));
}

void Leader::heard_from(std::size_t zone) {
    if (zone_heard_.size() <= zone) zone_heard_.resize(zone + 1, -1);
    zone_heard_[zone] = now();
}
// Nothing is heard from a zone where machines were up: it is cut off, rather than its machines all dead. For
// a bounded time, since a zone of few machines may really lose them all.
bool Leader::dark(std::size_t zone) const {
    if (zone >= zone_heard_.size() || zone_heard_[zone] < 0) return false;
    double silent = now() - zone_heard_[zone];
    return silent > c_.settings.report_s * dark_reports && silent < c_.settings.lease_s * dark_leases;
}

void Leader::check_machines() {
    const auto& s = c_.settings;
    double t = now();
    while (!fenced_.empty() && t - fenced_.front() > s.lease_s) fenced_.pop_front();
    // Those fenced a moment ago count as silent still. Otherwise a leader that is cut off from the workers
    // would delete the fleet one by one, each time seeing only a few silent machines.
    std::size_t up = fenced_.size();
    std::set<std::string> silent_ids;
    double longest = 0;
    for (auto& [id, m] : picture_.machines()) {
        if (m.life != Machine::Life::up) continue;
        ++up;
        double silent = t - m.last_heard;
        if (silent > s.report_s * probe_reports) silent_ids.insert(id);
        longest = std::max(longest, silent);
    }
    std::size_t late = silent_ids.size() + fenced_.size();
    bool fence = authority();
    double wait = s.report_s * s.op.silence_reports;
    // Nothing is placed while a machine is unsettled, and one that is well answers a direct command at once.
    double unsettled_wait = std::min(wait, s.report_s * probe_reports);
    if (static_cast<double>(late) > static_cast<double>(up) * suspect_share) {
        // Many silent at once: this controller may be cut off from them. Workers that get no answer turn to
        // the other controllers, so these know: if they hear machines, one of them should lead; if they hear
        // none after the time a worker takes to turn to them, the machines are gone.
        auto elsewhere = c_.heard_elsewhere(silent_ids);
        if (elsewhere && *elsewhere * 2 >= silent_ids.size() && *elsewhere > 0 && longest > wait &&
            c_.give_way()) {
            spdlog::info("leader: {} of {} machines are silent, {} report to another controller: giving way",
                         late, up, *elsewhere);
            c_.election.resign(s.lease_s);
            return;
        }
        wait += s.report_s * turn_reports;
        unsettled_wait = wait;
        fence = fence && elsewhere && *elsewhere * 2 < silent_ids.size();
    }
    std::vector<std::string> ids;
    for (auto& [id, m] : picture_.machines()) ids.push_back(id);
    for (auto& id : ids) {
        auto* m = picture_.find(id);
        if (m) check_machine(*m, fence, m->settled ? wait : unsettled_wait);
    }
}

void Leader::check_machine(Machine& m, bool fence, double wait) {
    const auto& s = c_.settings;
    double t = now(), silent = t - m.last_heard;
    if (m.life == Machine::Life::booting) {
        double boot = 0;
        for (auto& type : c_.types)
            if (type.name == m.type) boot = type.boot_s;
        // In a zone that is cut off it may be up, and is needed as soon as the cut ends.
        if (fence && boot > 0 && t - m.created > boot * overdue_boots && !dark(zone_of(m))) {
            std::lock_guard lock(mutex_);
            condemn(m, "does not come up");
        }
        return;
    }
    bool due = m.settled ? silent > s.report_s * probe_reports && t - m.last_probe > s.report_s / 2
                         : t - m.last_probe > s.report_s / 3;
    if (due) probe(m);
    // Proof by time: the worker kills its tasks lease_s after it sent the last report that was answered. That
    // report was sent before its answer; an answer to a delayed report counts too.
    bool lease_over = t > m.renewed + s.lease_s * (1 + 2 * drift) + s.report_s / 3;
    if (lease_over && silent > s.lease_s && (!m.tasks.empty() || !m.settled)) {
        spdlog::info("machine {}: its lease is out", m.id);
        std::lock_guard lock(mutex_);
        for (auto& e : picture_.lease_out(m)) handle_end(e);
        plan_soon();
    }
    if (m.life != Machine::Life::up) return;
    if (silent > wait && (fence || (lease_over && authority()))) {
        std::lock_guard lock(mutex_);
        fenced_.push_back(t);
        condemn(m, "is silent");
    } else if (fence && m.notice_until >= 0 && m.tasks.empty() && m.settled) {
        std::lock_guard lock(mutex_);
        condemn(m, "has notice and is empty");
    }
}

// A machine that is to be deleted is never used again. That is stored first, if the machine is, so that a
// later leader keeps to it.
void Leader::condemn(Machine& m, const char* why) {
    if (m.life == Machine::Life::condemned) return;
    spdlog::info("machine {} {}: it is to be deleted, {} tasks on it", m.id, why, m.tasks.size());
    c_.metrics.event("condemned");
    m.life = Machine::Life::condemned;
    if (!m.stored && !m.storing) {
        m.deletable = true;
        return;
    }
    store_.put(m.id);
}

// Up to a call's most machines each, and several calls at once: after a wave of losses, places wait for it.
void Leader::delete_condemned() {
    constexpr int most_calls = 4;
    while (removing_ < most_calls && authority() && now() >= remove_retry_) {
        std::vector<std::string> ids;
        for (auto& [id, m] : picture_.machines())
            if (m.life == Machine::Life::condemned && m.deletable && !m.deleting &&
                ids.size() < cloud::Client::remove_most) {
                ids.push_back(id);
                m.deleting = true;
            }
        if (ids.empty()) return;
        ++removing_;
        c_.cloud.remove(ids, guarded([this, ids](bool ok) { deleted(ids, ok); }));
    }
}
void Leader::deleted(const std::vector<std::string>& ids, bool ok) {
    --removing_;
    if (!ok) {
        for (auto& id : ids)
            if (auto* m = picture_.find(id)) m->deleting = false;
        remove_retry_ = now() + c_.settings.report_s / 3;
        return;
    }
    {
        std::lock_guard lock(mutex_);
        for (auto& id : ids) {
            if (!picture_.find(id)) continue;
            store_.remove(id);
            // Proof: by the time of the answer the machine and everything on it are gone.
            for (auto& e : picture_.removed(id)) handle_end(e);
        }
    }
    settled_check();
    plan_soon();
    delete_condemned();
}

void Leader::drop_keys() {
    if (dropping_ || keys_to_drop_.empty() || !authority()) return;
    auto t = leader_txn();
    for (auto& k : keys_to_drop_) {
        if (t.changes.size() >= c_.settings.txn_ops) break;
        t.changes.push_back({k, std::nullopt, 0});
    }
    std::vector<std::string> dropped;
    for (auto& ch : t.changes) dropped.push_back(ch.key);
    dropping_ = true;
    c_.state.txn(std::move(t), Rank::background, guarded([this, dropped](Committed c) {
                     dropping_ = false;
                     if (c.status == Committed::Status::committed)
                         for (auto& k : dropped) keys_to_drop_.erase(k);
                 }));
}

// A machine is stored, and that confirmed, before the first `run` goes to it: whoever leads next must know
// where tasks may be.
void Leader::store_machine(Machine& m) {
    if (m.stored || m.storing || m.life != Machine::Life::up || m.session == 0) return;
    m.storing = true;
    store_.put(m.id);
}
std::optional<wire::MachineRecord> Leader::record_of(const std::string& id) {
    auto* m = picture_.find(id);
    if (!m) return std::nullopt;
    return wire::MachineRecord{m->addr, m->type, m->zone, m->spot, m->life == Machine::Life::condemned};
}
void Leader::machines_stored(const std::vector<MachineStore::Record>& records) {
    {
        std::lock_guard lock(mutex_);
        for (auto& [id, r] : records) {
            auto* m = picture_.find(id);
            if (!m) continue;
            if (r.condemned) m->deletable = true;
            if (m->stored) continue;
            m->stored = true;
            for (auto& [task, i] : m->tasks) i.ready = true;
            picture_.flush_later(*m);
        }
    }
    flush_all();
    delete_condemned();
}

void Leader::list_hosts() {
    if (listing_ || !authority()) return;
    listing_ = true;
    last_list_ = now();
    c_.cloud.hosts(guarded([this](std::optional<std::vector<wire::Host>> hosts) {
        listing_ = false;
        if (!hosts) return;
        listed_once_ = true;
        std::vector<std::string> to_probe;
        {
            std::lock_guard lock(mutex_);
            for (auto& h : *hosts) {
                // The list lags: what is known to be gone stays gone.
                if (picture_.is_gone(h.id)) continue;
                auto* known = picture_.find(h.id);
                auto& m =
                    known ? *known
                          : picture_.add(h.id, h.addr, h.type, h.zone, h.spot, Machine::Life::booting, now());
                if (!known) m.created = now() - h.age_s;
                if (h.state == wire::HostState::failed && m.life != Machine::Life::condemned) {
                    condemn(m, "has failed");
                } else if (h.state == wire::HostState::running && m.life == Machine::Life::booting) {
                    if (m.addr.empty()) m.addr = h.addr;
                    to_probe.push_back(h.id);
                }
            }
        }
        for (auto& id : to_probe)
            if (auto* m = picture_.find(id)) probe(*m);
    }));
}

// --- Jobs ----------------------------------------------------------------------------------------------

void Leader::store_progress() {
    if (!authority()) return;
    bool settled = all_settled();
    std::vector<std::pair<std::string, JobState>> over;
    std::vector<std::string> dirty;
    for (auto& [id, e] : table_.all()) {
        if (e.writing || now() < e.retry_at) continue;
        if (e.cancelled) {
            // Its key stays until its tasks are proven gone: a later leader must know to stop them.
            if (settled && e.active.empty() && e.strays == 0) over.emplace_back(id, JobState::cancelled);
        } else if (e.all_done()) {
            over.emplace_back(id, JobState::done);
        } else if (!e.unstored.empty()) {
            dirty.push_back(id);
        }
    }
    for (auto& [id, state] : over) finish(id, *table_.find(id), state);
    for (auto& id : dirty) store_blocks(id, *table_.find(id));
}

void Leader::finish(const std::string& id, jobs::Entry& e, JobState state) {
    e.writing = true;
    auto t = leader_txn();
    t.conditions.push_back({keys::job(id), e.version});  // fails if it was cancelled meanwhile
    t.changes.push_back({keys::final(id), wire::stored(wire::FinalRecord{state, e.spec->tasks}), 0});
    t.changes.push_back({keys::job(id), std::nullopt, 0});
    for (auto b : e.blocks) {
        auto key = keys::progress_of(id, b);
        if (t.changes.size() < c_.settings.txn_ops)
            t.changes.push_back({key, std::nullopt, 0});
        else
            keys_to_drop_.insert(key);
    }
    c_.state.txn(std::move(t), Rank::write, guarded([this, id](Committed c) {
                     if (c.status != Committed::Status::committed) return stored_failed(id, c);
                     std::lock_guard lock(mutex_);
                     if (auto* e = table_.find(id))
                         spdlog::debug("job {} is over after {} tasks", id, e->done_count);
                     picture_.stored(id);
                     table_.erase(id, c.revision);
                 }));
}

void Leader::store_blocks(const std::string& id, jobs::Entry& e) {
    e.writing = true;
    auto t = leader_txn();
    t.conditions.push_back({keys::job(id), e.version});
    std::set<std::uint32_t> tasks;
    std::set<std::size_t> blocks;
    for (auto task : e.unstored) {
        auto b = task / table_.block_tasks();
        if (!blocks.contains(b) && blocks.size() >= c_.settings.txn_ops) continue;
        blocks.insert(b);
        tasks.insert(task);
    }
    for (auto b : blocks) t.changes.push_back({keys::progress_of(id, b), table_.block_value(e, b), 0});
    c_.state.txn(std::move(t), Rank::write, guarded([this, id, tasks, blocks](Committed c) {
                     if (c.status != Committed::Status::committed) return stored_failed(id, c);
                     std::lock_guard lock(mutex_);
                     auto* e = table_.find(id);
                     if (!e) return;
                     e->writing = false;
                     e->retry_at =
                         now() + c_.settings.report_s / 6;  // tasks that end together are stored together
                     for (auto task : tasks) e->unstored.erase(task);
                     e->blocks.insert(blocks.begin(), blocks.end());
                     picture_.stored(id, tasks);
                 }));
}

void Leader::stored_failed(const std::string& id, const Committed& c) {
    std::lock_guard lock(mutex_);
    auto* e = table_.find(id);
    if (!e) return;
    e->writing = false;
    e->retry_at = now() + c_.settings.report_s / 10;
    if (c.status != Committed::Status::conflict || !c.failed_on(keys::job(id))) return;
    // Cancelled by some controller, or stored by a transaction whose answer was lost: read, then decide.
    e->writing = true;
    c_.state.get(keys::job(id), Rank::write, guarded([this, id](state::Found f) {
                     std::lock_guard lock(mutex_);
                     auto* e = table_.find(id);
                     if (!e) return;
                     e->writing = false;
                     if (!f.ok) {
                         e->retry_at = now() + c_.settings.report_s / 10;
                     } else if (f.entry) {
                         take_job(id, f.entry->version, f.entry->value);
                     } else {
                         // Only a leader removes the key, and only this one leads: the lost transaction was
                         // executed.
                         picture_.stored(id);
                         table_.erase(id, e->version);
                     }
                 }));
}

// --- Plans ---------------------------------------------------------------------------------------------

void Leader::tick() {
    if (stopped_) return;
    tick_timer_ = c_.timers.after(c_.settings.report_s * tick_reports, guarded([this] { tick(); }));
    check_machines();
    if (stopped_) return;
    if (!authority()) return;
    store_progress();
    store_.flush();
    delete_condemned();
    drop_keys();
    if (now() - last_list_ > c_.settings.list_lag_s / 2) list_hosts();
    std::vector<std::string> names;
    for (auto& [name, r] : rentals_) names.push_back(name);
    for (auto& name : names) ask_rental(name);
    plan_soon();
    c_.metrics.gauge("jobs", static_cast<double>(table_.all().size()));
    c_.metrics.gauge("machines", static_cast<double>(picture_.machines().size()));
}

void Leader::plan_soon() {
    if (plan_wanted_ || stopped_) return;
    plan_wanted_ = true;
    double gap = c_.settings.report_s * plan_gap_reports;
    double wait = std::max(0.0, last_plan_ + gap - now());
    c_.timers.after(wait, guarded([this] {
                        plan_wanted_ = false;
                        plan();
                    }));
}

void Leader::plan() {
    // A new leader can't know what unsettled machines hold, so neither a task, a quota nor a zone is safe.
    if (planning_ || !loaded_ || !authority() || !all_settled()) return;
    planning_ = true;
    last_plan_ = now();
    auto plan = std::make_shared<Plan>();
    plan->with_capacity =
        now() - last_capacity_ > c_.settings.report_s * capacity_reports && !c_.types.empty();
    if (plan->with_capacity) {
        last_capacity_ = now();
        plan->fleet = rentals();
    }
    auto seed = random_();
    auto done = guarded([this, plan] {
        planning_ = false;
        apply(*plan);
    });
    c_.planner.submit([self = shared_from_this(), plan, seed, done]() -> loop::Task {
        std::mt19937_64 random(seed);
        {
            std::lock_guard lock(self->mutex_);
            plan->in = self->snapshot();
        }
        plan->out = placement::plan(plan->in, self->c_.settings, random);
        if (plan->with_capacity) {
            {
                std::lock_guard lock(self->mutex_);
                self->fill_capacity(*plan);
            }
            plan->capacity = capacity::plan(plan->fleet, self->c_.settings);
        }
        return done;
    });
}

std::size_t Leader::zone_of(const Machine& m) const {
    return picture_.pools()[m.pool].zone_index;
}
placement::ZoneCounts Leader::zones_of(const jobs::Entry& e) const {
    placement::ZoneCounts zones(picture_.zones());
    for (auto& [task, a] : e.active) ++zones[a.zone];
    return zones;
}
std::map<std::string, wire::Room> Leader::team_used() {
    std::map<std::string, wire::Room> used;
    for (auto& [id, m] : picture_.machines())
        for (auto& [task, i] : m.tasks)
            if (i.spec) used[i.spec->team] += i.spec->need;
    return used;
}

placement::Input Leader::snapshot() {
    placement::Input in;
    in.now = now();
    in.pools = picture_.pools();
    in.zones = picture_.zones();
    in.machines.reserve(picture_.machines().size());
    in.jobs.reserve(table_.all().size());
    std::unordered_map<const wire::Job*, std::size_t> job_index;
    for (auto& [id, e] : table_.all()) {
        placement::JobView j;
        j.spec = e.spec;
        j.submitted = e.submitted;
        j.startable = !e.cancelled && !e.all_done() && now() >= e.not_before && e.strays == 0;
        if (j.startable) j.waiting = e.waiting(e.spec->kind == Kind::gang ? e.spec->tasks : tasks_per_plan);
        j.open = e.done.size() - e.done_count;
        j.zones = zones_of(e);
        j.active = static_cast<int>(e.active.size());
        j.failed_on = e.failed_on;
        j.image = picture_.image(e.spec->image);
        job_index[e.spec.get()] = in.jobs.size();
        in.jobs.push_back(std::move(j));
    }
    in.team_used = team_used();
    for (auto& [id, m] : picture_.machines()) {
        placement::MachineView v;
        v.id = id;
        v.pool = m.pool;
        v.usable = m.usable(in.now) && !m.has_unknown();
        v.draining = m.draining;
        v.free = m.free();
        v.tasks = static_cast<int>(m.tasks.size());
        v.images = m.images;
        for (auto& [task, i] : m.tasks) {
            auto it = job_index.find(i.spec.get());
            if (it == job_index.end()) continue;
            if (i.spec->kind == Kind::service) ++v.services;
            if (i.state == wire::TaskState::fetching && !i.stop) {
                auto image = in.jobs[it->second].image;
                bool there = m.images && std::binary_search(m.images->begin(), m.images->end(), image);
                if (!there) v.coming.push_back(image);
            }
            in.instances.push_back({it->second, in.machines.size(), task.index,
                                    i.stop || i.state == wire::TaskState::saving, i.placed, i.running_since});
        }
        in.machines.push_back(std::move(v));
    }
    return in;
}

// What was asked for and is not up yet counts as booting.
capacity::Input Leader::rentals() const {
    capacity::Input in;
    in.types = c_.types;
    in.pools = picture_.pools();
    in.zones = picture_.zones();
    for (std::size_t z = 0; z < in.zones; ++z) in.dark.push_back(dark(z));
    for (auto& [name, r] : rentals_)
        for (int k = 0; k < r.count; ++k) {
            capacity::MachineView v;
            v.id = name;
            v.pool = r.pool;
            v.booting = true;
            in.machines.push_back(std::move(v));
        }
    for (auto& [pool, until] : refused_)
        if (until > now()) in.refused.insert(pool);
    return in;
}
void Leader::fill_capacity(Plan& p) {
    auto& in = p.fleet;
    for (auto& v : p.in.machines) {
        auto* m = picture_.find(v.id);
        if (!m || m->life == Machine::Life::condemned || m->notice_until >= 0) continue;
        bool booting = m->life == Machine::Life::booting;
        if (!booting && !v.usable) continue;
        // With what the plan has just decided to start.
        capacity::MachineView c;
        c.id = v.id;
        c.pool = v.pool;
        c.booting = booting;
        c.free = v.free;
        c.empty = m->tasks.empty() && v.tasks == 0;
        c.draining = v.draining;
        c.tasks = v.tasks;
        c.services = v.services;
        c.idle_for = now() - (booting ? m->created : m->idle_since);
        in.machines.push_back(std::move(c));
    }
    for (auto& u : p.out.unplaced) {
        auto& j = p.in.jobs[u.job];
        in.needs.push_back({j.spec.get(), u.count, j.zones});
    }
}

bool Leader::may_start(jobs::Entry& e, std::uint32_t task, Machine& m, const placement::ZoneCounts& zones) {
    auto& spec = *e.spec;
    return !e.cancelled && e.strays == 0 && !e.is_done(task) && !e.active.contains(task) && m.usable(now()) &&
           !m.has_unknown() && !m.tasks.contains({spec.id, task}) && m.free().holds(spec.need) &&
           placement::type_allowed(spec, m.type, m.zone, m.spot) &&
           placement::zone_allowed(spec, zones, zone_of(m));
}

// Every start is checked again: since the snapshot, reports and cancellations have come in.
void Leader::apply_starts(Plan& p) {
    auto used = team_used();
    auto& starts = p.out.starts;
    for (std::size_t k = 0; k < starts.size();) {
        auto job = starts[k].job;
        auto& id = p.in.jobs[job].spec->id;
        bool gang = p.in.jobs[job].spec->kind == Kind::gang;
        std::size_t end = k + 1;
        if (gang)
            while (end < starts.size() && starts[end].job == job) ++end;
        auto* e = table_.find(id);
        auto team = std::find_if(c_.settings.teams.begin(), c_.settings.teams.end(),
                                 [&](auto& t) { return e && t.name == e->spec->team; });
        std::vector<std::pair<Machine*, std::uint32_t>> placed;
        bool ok = e && team != c_.settings.teams.end() && (!gang || e->active.empty());
        auto zones = ok ? zones_of(*e) : placement::ZoneCounts{};
        auto attempt = picture_.base_token() + ++attempts_;
        for (std::size_t i = k; ok && i < end; ++i) {
            auto* m = picture_.find(p.in.machines[starts[i].machine].id);
            auto task = starts[i].task;
            ok = m && may_start(*e, task, *m, zones) &&
                 placement::team_allows(*team, used[e->spec->team], e->spec->need);
            if (!ok) break;
            used[e->spec->team] += e->spec->need;
            picture_.place(*m, {id, task}, e->spec, attempt, now());
            e->active[task] = {m->id, attempt, zone_of(*m)};
            ++zones[zone_of(*m)];
            placed.emplace_back(m, task);
        }
        if (ok) {
            for (auto& [m, task] : placed) {
                spdlog::debug("task {}/{} attempt {} goes to {}", id, task, attempt, m->id);
            }
        } else {
            // Nothing was sent yet: all tasks of a gang or none.
            for (auto& [m, task] : placed) {
                m->tasks.erase({id, task});
                e->active.erase(task);
                used[e->spec->team] -= e->spec->need;
            }
        }
        k = end;
    }
}

void Leader::apply(Plan& p) {
    if (!authority()) return;
    std::array<std::size_t, 3> missing{};
    for (auto& u : p.out.unplaced) missing[static_cast<std::size_t>(p.in.jobs[u.job].spec->kind)] += u.count;
    c_.metrics.plan_took(now() - last_plan_);
    if (spdlog::should_log(spdlog::level::debug)) {
        std::size_t usable = 0, whole = 0;
        wire::Room free;
        for (auto& m : p.in.machines) {
            if (!m.usable) continue;
            ++usable;
            free += m.free;
            whole += m.tasks == 0;
        }
        spdlog::debug(
            "plan: {} starts, {} stops, no place for {} array, {} gang, {} service tasks; of {} machines {} "
            "usable, {} empty, {} CPUs and {} GPUs free",
            p.out.starts.size(), p.out.stops.size(), missing[0], missing[1], missing[2], p.in.machines.size(),
            usable, whole, free.cpus, free.gpus);
    }
    {
        std::lock_guard lock(mutex_);
        if (!all_settled()) return;
        apply_starts(p);
        for (auto& s : p.out.stops) {
            auto& i = p.in.instances[s.instance];
            auto& spec = *p.in.jobs[i.job].spec;
            auto* m = picture_.find(p.in.machines[i.machine].id);
            if (!m || !m->tasks.contains({spec.id, i.task})) continue;
            spdlog::debug("task {}/{} is stopped for {}", spec.id, i.task, p.in.jobs[s.for_job].spec->id);
            picture_.stop(*m, {spec.id, i.task}, placement::grace_of(spec));
        }
        if (p.with_capacity)
            for (auto& [id, m] : picture_.machines()) m.draining = p.capacity.drains.contains(id);
        for (auto& id : p.capacity.returns) {
            auto* m = picture_.find(id);
            if (m && m->tasks.empty() && (m->settled || m->life == Machine::Life::booting))
                condemn(*m, "is surplus");
        }
    }
    flush_all();
    auto& n = p.out.counts;
    c_.metrics.drawn("tasks", static_cast<double>(n.tasks));
    c_.metrics.drawn("draws", static_cast<double>(n.draws));
    c_.metrics.drawn("redraws", static_cast<double>(n.redraws));
    c_.metrics.drawn("fallbacks", static_cast<double>(n.fallbacks));
    c_.metrics.drawn("packed", static_cast<double>(n.packed));
    c_.metrics.drawn("preempted", static_cast<double>(n.preempted));
    // What an earlier leader rented last is in no report yet; the list may show it.
    if (p.with_capacity && listed_once_)
        for (auto& r : p.capacity.rents)
            for (int left = r.count; left > 0; left -= cloud::Client::rent_most)
                rent({r.pool, std::min(left, cloud::Client::rent_most)});
}

void Leader::rent(const capacity::Rent& r) {
    // Names are never used again, by any controller: the version belongs to this leadership alone.
    std::string name = "r-" + std::to_string(version_) + "-" + std::to_string(++rentals_made_);
    auto& pool = picture_.pools()[r.pool];
    rentals_[name] = {r.pool, r.count, false};
    spdlog::info("renting {} {} {} in {} as {}", r.count, pool.spot ? "spot" : "ordinary", pool.type,
                 pool.zone, name);
    ask_rental(name);
}
// Asked again under the same name until it is answered, so that nothing is rented twice.
void Leader::ask_rental(const std::string& name) {
    auto& r = rentals_.at(name);
    if (r.asking || !authority()) return;
    r.asking = true;
    auto& pool = picture_.pools()[r.pool];
    c_.cloud.rent(name, pool.type, pool.zone, pool.spot, r.count, guarded([this, name](cloud::Rented out) {
                      auto it = rentals_.find(name);
                      if (it == rentals_.end()) return;
                      auto& r = it->second;
                      r.asking = false;
                      if (out.status == cloud::Rented::Status::failed) return;  // the next tick asks again
                      if (static_cast<int>(out.machines.size()) < r.count)
                          refused_[r.pool] = now() + c_.settings.report_s * refused_reports;
                      {
                          std::lock_guard lock(mutex_);
                          auto pool = picture_.pools()[r.pool];
                          for (auto& id : out.machines)
                              if (!picture_.is_gone(id))
                                  picture_.add(id, "", pool.type, pool.zone, pool.spot,
                                               Machine::Life::booting, now());
                      }
                      rentals_.erase(it);
                  }));
}

}  // namespace coralhitch::daemon
