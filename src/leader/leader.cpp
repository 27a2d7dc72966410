#include "leader/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "kv/keys.hpp"

namespace coralhitch::leader {
namespace keys = kv::keys;
using cluster::Machine;
using kv::RequestPriority;

namespace {
// Ratios to the report period, unless named otherwise.
constexpr double tick_reports = 1.0 / 6;
// Changes of jobs come together, so that watching costs few requests under load. They are confirmed often
// enough that what an interruption leaves of the time for renewals is nearly all of it.
kv::ListWatch::Pace watch_pace(const config::Settings& s) {
    double confirm_s = std::min(s.report_s / 3, relay::renewal_s(s) / 8);
    return {s.lease_s / 2, s.report_s / 60, s.report_s / 10, confirm_s, s.report_s};
}
// As many questions as the processor's share answers in so many report periods.
double asked_at_once(const config::Settings& s, double reports) {
    return std::max(1.0, config::questions_per_s(s) * s.report_s * reports);
}
}  // namespace

Leader::Leader(LeaderDependencies context, std::uint64_t version, std::uint64_t seed)
    : dependencies_(std::move(context)),
      authority_(dependencies_.timers, dependencies_.settings, dependencies_.election, version,
                 [this] { return job_watch_.complete_at(); }),
      random_(seed),
      state_(version, dependencies_.types, dependencies_.settings.value_kb),
      store_(dependencies_.timers, dependencies_.state, dependencies_.settings,
             {[this](const std::string& id) { return record_of(id); },
              [this] { return authority_.begin_transaction(); },
              [this](const std::vector<machine_registry::MachineRegistry::Record>& r) {
                  if (!authority_.ended()) machines_stored(r);
              }}),
      job_watch_(dependencies_.timers, dependencies_.state, keys::jobs, watch_pace(dependencies_.settings),
                 {[this](const std::vector<protocol::Event>& events, std::uint64_t reconciled) {
                      if (authority_.ended()) return;
                      bool news = false;
                      {
                          std::lock_guard lock(state_.mutex);
                          for (auto& e : events)
                              if (e.value)
                                  news |= take_job(e.key.substr(keys::jobs.size()), e.version, *e.value);
                          state_.jobs.seen_revision(reconciled);
                      }
                      if (news) jobs_changed();
                  },
                  [this](const kv::ListResult& all) {
                      if (authority_.ended()) return;
                      {
                          std::lock_guard lock(state_.mutex);
                          for (auto& e : all.entries)
                              take_job(e.key.substr(keys::jobs.size()), e.version, e.value);
                      }
                      jobs_changed();
                  }}),
      attempts_(dependencies_.state, version, [this] { return authority_.begin_transaction(); }),
      asks_(config::questions_per_s(dependencies_.settings),
            asked_at_once(dependencies_.settings, ask_reports)),
      failure_detector_({dependencies_.settings.report_s, dependencies_.settings.lease_s,
                         dependencies_.settings.op.silence_reports, dependencies_.settings.peers.size()}),
      reconciliation_(state_.cluster, dependencies_.settings.report_s),
      steps_(dependencies_.timers),
      loader_(dependencies_.timers, dependencies_.state, dependencies_.settings, steps_,
              {dependencies_.settings.label,
               dependencies_.incarnation,
               version,
               {},
               dependencies_.election.chain(),
               false,
               {},
               &dependencies_.copy},
              [this](const failover::GetResult& found) {
                  if (authority_.ended()) return;
                  take_all(found);
                  if (dependencies_.settings.op.standby)
                      replication_.start(found.record_version, found.inherits ? found.record : std::nullopt);
                  job_watch_.start(found.jobs.revision, found.jobs_listed_at);
                  loaded();
              }),
      replication_(dependencies_.timers, dependencies_.http, dependencies_.settings, dependencies_.state,
                   version,
                   {[this](const std::string& id) { return row_of(id); },
                    [this] {
                        std::vector<std::string> ids;
                        for (auto& [id, m] : state_.cluster.machines()) ids.push_back(id);
                        return ids;
                    },
                    [this] { return authority_.begin_transaction(); }, dependencies_.peer,
                    [this] {
                        if (!authority_.ended()) release_starts();
                    }}) {
    if (dependencies_.settings.op.standby) state_.cluster.hold_starts();
}

void Leader::start() {
    guarded_.bind(weak_from_this());
    loader_.start();
}
void Leader::stop() {
    authority_.end();
    log_team_activity();
    dependencies_.timers.cancel(tick_timer_);
    for (auto& report : early_.take()) report.reply({503, "{}"});
}

void Leader::take_all(const failover::GetResult& found) {
    std::lock_guard lock(state_.mutex);
    std::set<std::string> live;
    for (auto& e : found.jobs.entries) {
        auto id = e.key.substr(keys::jobs.size());
        take_job(id, e.version, e.value);
        live.insert(std::move(id));
    }
    for (auto& e : found.progress.entries) {
        auto rest = e.key.substr(keys::progress.size());
        auto slash = rest.find('/');
        auto id = rest.substr(0, slash);
        if (!state_.jobs.find(id)) {
            // Left over from a job that is over. One whose record can't be read is live and may be known to
            // other versions.
            if (!live.contains(id)) keys_to_drop_.insert(e.key);
            continue;
        }
        try {
            state_.jobs.put_progress(id, slash == std::string::npos ? "" : rest.substr(slash + 1),
                                     protocol::parse_bits(e.value), e.version);
        } catch (const std::exception& x) {
            spdlog::error("progress {}: {}", e.key, x.what());
        }
    }
    for (auto& [id, r] : store_.load(found.machines)) {
        auto& m = state_.cluster.add(
            id, r.addr, r.type, r.zone, r.spot,
            r.marked_for_deletion ? Machine::Life::marked_for_deletion : Machine::Life::up, now());
        m.stored = m.stored_before = true;
        reconciliation_.expect(id);
        if (found.inherits) inherit(id, m);
        m.deletable = r.marked_for_deletion;
        if (auto it = dependencies_.suspected.find(id); it != dependencies_.suspected.end() && m.known)
            m.silent_before = it->second;
        failure_detector_.heard_from(zone_of(m), now() - m.silent_before);
        // The leader before may have gone on renewing leases for a while.
        m.renewed = now() + authority_.renewal_after_expiry_s();
    }
}

// The row says all that may be on the machine: see docs/standby.md. It is not used before it has reconciled.
void Leader::inherit(const std::string& id, Machine& m) {
    auto it = dependencies_.copy.rows.find(id);
    // The leader before told all machines that were stored when it came to lead, and each one before the
    // first `run` to it: of what it never told, or told to be gone, nothing is left.
    m.known = it == dependencies_.copy.rows.end() || it->second.known;
    if (it == dependencies_.copy.rows.end() || !m.known) return;
    m.agent_epoch = it->second.agent_epoch;
    m.sequence = it->second.sequence;
    for (auto& t : it->second.tasks) {
        protocol::TaskId task{t.job, t.index};
        auto* e = state_.jobs.find(t.job);
        state_.cluster.inherit(m, task, e ? e->spec : nullptr, t.attempt, now());
        handle_found(task, id);
    }
}
std::optional<protocol::PeerMachineRow> Leader::row_of(const std::string& id) const {
    auto it = state_.cluster.machines().find(id);
    if (it == state_.cluster.machines().end()) return protocol::PeerMachineRow{id, false, true, 0, 0, {}};
    auto& m = it->second;
    if (m.life == Machine::Life::booting) return std::nullopt;
    protocol::PeerMachineRow row{id, m.known || m.reconciled, false, m.agent_epoch, m.sequence, {}};
    for (auto& [task, i] : m.tasks) row.tasks.push_back({task.job, task.index, i.attempt});
    return row;
}
// The lines of all leaders together tell what each team got; bench/teams.py adds them up.
void Leader::log_team_activity() {
    last_team_log_ = now();
    std::lock_guard lock(state_.mutex);
    if (auto text = team_activity_.tell(); !text.empty()) spdlog::info("teams: {}", text);
}
void Leader::replicate_changes() {
    std::vector<std::string> ids;
    {
        std::lock_guard lock(state_.mutex);
        ids = state_.cluster.dirty_machines();
    }
    if (dependencies_.settings.op.standby)
        for (auto& id : ids) replication_.changed(id);
}
void Leader::release_starts() {
    {
        std::lock_guard lock(state_.mutex);
        for (; !held_.empty() && replication_.told(held_.front().mark); held_.pop_front()) {
            auto* m = state_.cluster.find(held_.front().machine);
            if (!m) continue;
            auto i = m->tasks.find(held_.front().task);
            if (i == m->tasks.end()) continue;
            i->second.told = true;
            state_.cluster.schedule_flush(*m);
        }
    }
    flush_all();
}

std::map<std::string, double> Leader::suspected() const {
    std::map<std::string, double> out;
    for (auto& [id, m] : state_.cluster.machines())
        if (m.life == Machine::Life::up &&
            (m.suspected || (!m.reconciled && now() - m.last_heard > dependencies_.settings.report_s / 2)))
            out.emplace(id, now() - m.last_heard + m.silent_before);
    return out;
}
protocol::PeerImages Leader::images() const {
    protocol::PeerImages out;
    out.names.resize(state_.cluster.images().size());
    out.sizes.resize(out.names.size());
    for (auto& [name, id] : state_.cluster.images()) out.names[id] = name;
    for (auto& [id, m] : state_.cluster.machines()) {
        if (m.cache.empty()) continue;
        protocol::PeerMachineImages row{id, {}};
        for (auto& [image, gb] : m.cache) {
            row.images.push_back(image);
            out.sizes[image] = gb;
        }
        out.machines.push_back(std::move(row));
    }
    return out;
}
// Reports show only the images of what is on a machine now. A new leader that knew no others sent tasks to
// fetch them all over.
void Leader::recall_images() {
    std::lock_guard lock(state_.mutex);
    auto& told = dependencies_.remembered;
    std::vector<std::uint32_t> ids;
    for (auto& name : told.names) ids.push_back(state_.cluster.image(name));
    for (auto& row : told.machines) {
        auto* m = state_.cluster.find(row.machine);
        if (!m) continue;
        std::vector<std::pair<std::uint32_t, double>> cache;
        for (auto k : row.images)
            if (k < ids.size() && k < told.sizes.size()) cache.emplace_back(ids[k], told.sizes[k]);
        state_.cluster.recall_cache(*m, std::move(cache));
    }
}

void Leader::loaded() {
    loaded_ = true;
    last_audit_ = now();
    recall_images();
    auto known = std::count_if(state_.cluster.machines().begin(), state_.cluster.machines().end(),
                               [](auto& m) { return m.second.known; });
    steps_.over("loaded", std::to_string(state_.jobs.all().size()) + " jobs and " +
                              std::to_string(state_.cluster.machines().size()) + " machines, " +
                              std::to_string(known) + " of them known");
    read_ends();
    // With some of them placing can begin. Of the rest most reports lie waiting or come within a period: a
    // question costs three times as much as a report that is passed on. Those of which nothing is known hold
    // up all placing.
    double at_once = asked_at_once(dependencies_.settings, ask_reports);
    auto stride =
        static_cast<std::size_t>(static_cast<double>(state_.cluster.machines().size()) / at_once) + 1;
    std::size_t n = 0;
    for (auto& [id, m] : state_.cluster.machines())
        if (n++ % stride == 0) probe(m);
    dependencies_.timers.after(dependencies_.settings.report_s * ask_reports, guarded_([this] {
                                   for (bool known : {false, true})
                                       for (auto& [id, m] : state_.cluster.machines())
                                           if (!m.reconciled && m.known == known) probe(m);
                               }));
    apply_early_heartbeats();
    tick();
}
void Leader::apply_early_heartbeats() {
    constexpr std::size_t at_once = 16;
    for (std::size_t k = 0; k < at_once; ++k) {
        auto report = early_.next(now());
        if (!report) break;
        handle_heartbeat(std::move(*report));
    }
    if (!early_.empty()) dependencies_.timers.after(0, guarded_([this] { apply_early_heartbeats(); }));
}

// Whether it was news.
bool Leader::take_job(const std::string& id, std::uint64_t version, const std::string& value) {
    if (state_.jobs.knows(id, version)) return false;
    try {
        auto record = protocol::parse_job_record(value);
        if (!state_.jobs.put(id, version, std::move(record))) return false;
        auto& e = *state_.jobs.find(id);
        e.image = state_.cluster.image(e.spec->image);
        spdlog::debug("job {} of class {}: {} tasks, awaits {}, cancelled {}", id, e.spec->cls, e.spec->tasks,
                      e.awaits.size(), e.cancelled);
        if (e.cancelled) cancel_active(id, e);
        return true;
    } catch (const protocol::Malformed& x) {
        spdlog::error("job {}: {}", id, x.what());
        // Its tasks must go all the same.
        if (auto* e = state_.jobs.find(id); e && !e->cancelled && protocol::says_cancelled(value)) {
            state_.jobs.cancel(id, version);
            cancel_active(id, *e);
            return true;
        }
        return false;
    }
}

void Leader::jobs_changed() {
    plan_soon();
    read_ends();
    flush_all();
}

void Leader::cancelled(const std::string& id, std::uint64_t version) {
    {
        std::lock_guard lock(state_.mutex);
        auto* e = state_.jobs.find(id);
        if (e && e->cancelled) return;
        state_.jobs.cancel(id, version);
        if (!e) return;  // its record is not read yet
        cancel_active(id, *e);
    }
    flush_all();
}

std::optional<api::TaskCounts> Leader::counts(const std::string& id) {
    if (!loaded_) return std::nullopt;
    auto* e = state_.jobs.find(id);
    return e ? std::optional(count(id, *e)) : std::nullopt;
}
api::TaskCounts Leader::count(const std::string& id, const jobs::JobEntry& e) {
    api::TaskCounts c{e.done_count, 0};
    for (auto& [task, a] : e.active) {
        auto* m = state_.cluster.find(a.machine);
        if (!m) continue;
        auto it = m->tasks.find({id, task});
        if (it != m->tasks.end() && it->second.running_since >= 0) ++c.running;
    }
    return c;
}

std::vector<protocol::PeerCount> Leader::all_counts() {
    std::vector<protocol::PeerCount> out;
    if (!loaded_) return out;
    for (auto& [id, e] : state_.jobs.all()) {
        auto c = count(id, e);
        if (c.done + c.running > 0)
            out.push_back({id, c.done, c.running});  // none is what is taken for unknown
    }
    return out;
}

// A later leadership's tokens begin above all of this one's.
bool Leader::hand_over_tokens() {
    if (!state_.cluster.tokens_run_out()) return false;
    spdlog::info(
        "leader: a machine's token was raised so often that the next leadership's are near: resigning");
    authority_.resign(0);
    return true;
}

void Leader::tick() {
    if (authority_.ended()) return;
    tick_timer_ = dependencies_.timers.after(dependencies_.settings.report_s * tick_reports,
                                             guarded_([this] { tick(); }));
    absent_ends_.clear();
    moved_ = 0;
    read_ends();
    reconciliation_.tick(now(), dependencies_.settings.report_s * tick_reports);
    check_machines();
    if (authority_.ended()) return;
    if (hand_over_tokens()) return;
    if (!authority_.holds()) return;
    attempts_.extend();
    store_progress();
    store_.flush();
    replicate_changes();
    replication_.tick();
    delete_marked_machines();
    drop_keys();
    audit();
    if (now() - last_team_log_ > dependencies_.settings.lease_s) log_team_activity();
    if (now() - last_list_ > dependencies_.settings.list_lag_s) list_hosts();
    std::vector<std::string> names;
    for (auto& [name, r] : rentals_) names.push_back(name);
    for (auto& name : names) ask_rental(name);
    plan_soon();
    dependencies_.metrics.set(metrics::Metric::leader_jobs, static_cast<double>(state_.jobs.all().size()));
    dependencies_.metrics.set(
        metrics::Metric::leader_jobs_with_pending_dependencies,
        static_cast<double>(std::count_if(state_.jobs.all().begin(), state_.jobs.all().end(),
                                          [](auto& j) { return j.second.awaiting(); })));
    dependencies_.metrics.set(metrics::Metric::leader_machines,
                              static_cast<double>(state_.cluster.machines().size()));
}

}  // namespace coralhitch::leader
