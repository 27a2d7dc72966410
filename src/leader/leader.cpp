#include "leader/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "kv/keys.hpp"

namespace coralhitch::leader {
namespace keys = kv::keys;

namespace {
// Ratios to the report period, unless named otherwise.
constexpr double tick_reports = 1.0 / 6;
// Changes of jobs come together, so that watching costs few requests under load. They are confirmed often
// enough that what an interruption leaves of the time for renewals is nearly all of it.
kv::ListWatch::Pace watch_pace(const config::Settings& s) {
    double confirm_s = std::min(s.report_s / 3, relay::renewal_s(s) / 8);
    return {s.lease_s / 2, s.report_s / 60, s.report_s / 10, confirm_s, s.report_s};
}
// What this controller knew before its claim; the rest of the evidence is read.
replication::ReplicaEvidence replica_evidence(const LeaderDependencies& dependencies, std::uint64_t version) {
    replication::ReplicaEvidence evidence;
    evidence.label = dependencies.settings.label;
    evidence.incarnation = dependencies.incarnation;
    evidence.version = version;
    evidence.chain = dependencies.election.chain();
    evidence.copy = &dependencies.copy;
    return evidence;
}
}  // namespace

Leader::Leader(LeaderDependencies context, std::uint64_t version, std::uint64_t seed)
    : dependencies_(std::move(context)),
      authority_(dependencies_.timers, dependencies_.settings, dependencies_.election, version,
                 [this] { return job_watch_.complete_at(); }),
      random_(seed),
      state_(version, dependencies_.types, dependencies_.settings.value_kb),
      failure_detector_({dependencies_.settings.report_s, dependencies_.settings.lease_s,
                         dependencies_.settings.op.silence_reports, dependencies_.settings.peers.size()}),
      reconciliation_(state_.cluster, dependencies_.settings.report_s),
      recovery_(part_context_, dependencies_.state, replica_evidence(dependencies_, version),
                {failure_detector_, reconciliation_, instances_, commands_, machine_store_, stale_keys_},
                {dependencies_.remembered, dependencies_.copy, dependencies_.suspected},
                {[this](const std::string& job_id, std::uint64_t job_version, const std::string& record) {
                     take_job(job_id, job_version, record);
                 },
                 [this](const failover::GetResult& stored) { stored_taken(stored); },
                 [this] {
                     last_audit_ = now();
                     read_ends();
                 },
                 [this] {
                     heartbeats_.handle_early();
                     tick();
                 },
                 [this] { plan_soon(); }}),
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
      attempts_(dependencies_.state, version, [this] { return authority_.begin_transaction(); }) {}

void Leader::stored_taken(const failover::GetResult& stored) {
    start_replication_.begin(stored.record_version, stored.inherits ? stored.record : std::nullopt);
    job_watch_.start(stored.jobs.revision, stored.jobs_listed_at);
}

void Leader::types_changed() {
    std::lock_guard lock(state_.mutex);
    state_.cluster.set_types(dependencies_.types);
}

void Leader::start() {
    guarded_.bind(weak_from_this());
    recovery_.start();
}
void Leader::stop() {
    authority_.end();
    log_team_activity();
    dependencies_.timers.cancel(tick_timer_);
    heartbeats_.stop();
}

// The lines of all leaders together tell what each team got; bench/teams.py adds them up.
void Leader::log_team_activity() {
    last_team_log_ = now();
    std::lock_guard lock(state_.mutex);
    if (auto text = team_activity_.tell(); !text.empty()) spdlog::info("teams: {}", text);
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
        if (e.cancelled) instances_.cancel_active(id, e);
        return true;
    } catch (const protocol::Malformed& x) {
        spdlog::error("job {}: {}", id, x.what());
        // Its tasks must go all the same.
        if (auto* e = state_.jobs.find(id); e && !e->cancelled && protocol::says_cancelled(value)) {
            state_.jobs.cancel(id, version);
            instances_.cancel_active(id, *e);
            return true;
        }
        return false;
    }
}

void Leader::jobs_changed() {
    plan_soon();
    read_ends();
    commands_.flush_all();
}

void Leader::cancelled(const std::string& id, std::uint64_t version) {
    {
        std::lock_guard lock(state_.mutex);
        auto* e = state_.jobs.find(id);
        if (e && e->cancelled) return;
        state_.jobs.cancel(id, version);
        if (!e) return;  // its record is not read yet
        instances_.cancel_active(id, *e);
    }
    commands_.flush_all();
}

std::optional<api::TaskCounts> Leader::counts(const std::string& id) {
    if (!recovery_.loaded()) return std::nullopt;
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
    if (!recovery_.loaded()) return out;
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
    spdlog::info("component=leader event=resigned reason=tokens_exhausted");
    authority_.resign(0);
    return true;
}

void Leader::tick() {
    if (authority_.ended()) return;
    tick_timer_ = dependencies_.timers.after(dependencies_.settings.report_s * tick_reports,
                                             guarded_([this] { tick(); }));
    absent_ends_.clear();
    heartbeats_.begin_tick();
    read_ends();
    reconciliation_.tick(now(), dependencies_.settings.report_s * tick_reports);
    if (supervisor_.check()) recovery_.check_reconciled();
    if (authority_.ended()) return;
    if (hand_over_tokens()) return;
    if (!authority_.holds()) return;
    attempts_.extend();
    store_progress();
    machine_store_.flush();
    start_replication_.replicate_changes();
    start_replication_.tick();
    deletion_.delete_marked();
    stale_keys_.remove_some();
    audit();
    if (now() - last_team_log_ > dependencies_.settings.lease_s) log_team_activity();
    hosts_.list_if_due();
    std::vector<std::string> names;
    for (auto& [name, r] : rentals_) names.push_back(name);
    for (auto& name : names) ask_rental(name);
    plan_soon();
    dependencies_.metrics.gauge("jobs", static_cast<double>(state_.jobs.all().size()));
    dependencies_.metrics.gauge(
        "awaiting", static_cast<double>(std::count_if(state_.jobs.all().begin(), state_.jobs.all().end(),
                                                      [](auto& j) { return j.second.awaiting(); })));
    dependencies_.metrics.gauge("machines", static_cast<double>(state_.cluster.machines().size()));
}

}  // namespace coralhitch::leader
