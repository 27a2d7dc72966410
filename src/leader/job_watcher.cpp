#include "leader/job_watcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"
#include "relay/worker_lease.hpp"

namespace coralhitch::leader {
namespace keys = kv::keys;
using kv::RequestPriority;

namespace {
constexpr double audit_interval_leases = 4;

// Returns the timing of the watch. Its interval collects changes, so that watching costs few requests under
// load. Leases may be renewed only for a limited time after the watch was last confirmed to be complete. It
// is confirmed often enough that nearly all of that time is left when the connection to the store is
// interrupted.
kv::ListWatch::Timing watch_pace(const config::Settings& settings) {
    double confirm_s = std::min(settings.heartbeat_interval_s / 3, relay::renewal_window_s(settings) / 8);
    return {settings.lease_s / 2, settings.heartbeat_interval_s / 60, settings.heartbeat_interval_s / 10,
            confirm_s, settings.heartbeat_interval_s};
}
std::string id_of(const std::string& key) {
    return key.substr(keys::jobs.size());
}
}  // namespace

JobWatcher::JobWatcher(const PartContext& context, kv::KvClient& kv, JobStore& store, Callbacks callbacks)
    : LeaderPart(context),
      kv_(kv),
      store_(store),
      callbacks_(std::move(callbacks)),
      watch_(context.timers, kv, keys::jobs, watch_pace(context.settings),
             {[this](const std::vector<protocol::Event>& events, std::uint64_t complete_revision) {
                  apply_changes(events, complete_revision);
              },
              [this](const kv::ListResult& all) { apply_list(all); }}) {}

void JobWatcher::start(std::uint64_t revision, double listed_at) {
    last_audit_ = timers_.now();
    watch_.start(revision, listed_at);
}

void JobWatcher::apply_changes(const std::vector<protocol::Event>& events, std::uint64_t complete_revision) {
    if (authority_.ended()) return;
    const event_loop::WorkScope work(timers_, "job_changes", events.size());
    bool any_new = false;
    {
        std::lock_guard lock(state_.mutex);
        const jobs::JobTable::Batch batch(state_.jobs);
        for (auto& event : events)
            if (event.value) any_new |= apply_record(id_of(event.key), event.version, *event.value);
        state_.jobs.forget_ended_before(complete_revision);
    }
    if (any_new) callbacks_.jobs_changed();
}

void JobWatcher::apply_list(const kv::ListResult& all) {
    if (authority_.ended()) return;
    const event_loop::WorkScope work(timers_, "job_list", all.entries.size());
    {
        std::lock_guard lock(state_.mutex);
        const jobs::JobTable::Batch batch(state_.jobs);
        for (auto& entry : all.entries) apply_record(id_of(entry.key), entry.version, entry.value);
    }
    callbacks_.jobs_changed();
}

bool JobWatcher::apply_record(const std::string& id, std::uint64_t version, const std::string& value) {
    if (state_.jobs.has_version(id, version)) return false;
    try {
        auto record = protocol::parse_job_record(value);
        if (!state_.jobs.put(id, version, std::move(record))) return false;
        auto& job = *state_.jobs.find(id);
        job.image = state_.cluster.image_number(job.spec->image);
        spdlog::debug("component=leader event=job_loaded job={} class={} tasks={} awaits={} cancelled={}", id,
                      job.spec->job_class, job.spec->tasks, job.unfinished_dependencies.size(),
                      job.cancelled);
        if (job.cancelled) callbacks_.cancel_active(id, job);
        return true;
    } catch (const protocol::Malformed& error) {
        return handle_malformed_record(id, version, value, error.what());
    }
}

// Logs a malformed record. If the record says that the job is cancelled, cancels it: its tasks must be
// stopped even though the rest of the record can't be read. Returns whether it did.
bool JobWatcher::handle_malformed_record(const std::string& id, std::uint64_t version,
                                         const std::string& value, const char* error) {
    spdlog::error("component=leader event=malformed_job_record job={} error=\"{}\"", id, error);
    auto* job = state_.jobs.find(id);
    if (!job || job->cancelled || !protocol::is_cancelled_record(value)) return false;
    state_.jobs.cancel(id, version);
    callbacks_.cancel_active(id, *job);
    return true;
}

bool JobWatcher::apply_cancellation(const std::string& id, std::uint64_t version) {
    std::lock_guard lock(state_.mutex);
    auto* job = state_.jobs.find(id);
    if (job && job->cancelled) return false;
    state_.jobs.cancel(id, version);
    if (!job) return false;  // the job's record has not been read yet
    callbacks_.cancel_active(id, *job);
    return true;
}

// A job that the watch missed would never run, although its user was told that it is accepted, and nothing
// else would show that it is missing. The audit therefore compares the job table with all stored jobs.
void JobWatcher::audit() {
    if (auditing_ || !authority_.holds() ||
        timers_.now() - last_audit_ < settings_.lease_s * audit_interval_leases)
        return;
    auditing_ = true;
    state_.jobs.set_list_in_progress(true);
    last_audit_ = timers_.now();
    kv_.list(keys::jobs, RequestPriority::background, guarded_([this](const kv::ListResult& stored) {
                 auditing_ = false;
                 state_.jobs.set_list_in_progress(false);
                 if (stored.ok()) compare(stored);
             }));
}

void JobWatcher::compare(const kv::ListResult& stored) {
    const event_loop::WorkScope work(timers_, "job_audit", stored.entries.size());
    std::set<std::string> ids;
    auto unknown = apply_unknown(stored, ids);
    std::size_t not_stored = 0;
    // If a job of the table is not stored any more, its end may have been stored by a transaction of this
    // leader whose answer was lost.
    for (auto& [id, job] : state_.jobs.entries()) {
        if (ids.contains(id) || job.version > stored.revision || job.write_in_flight) continue;
        ++not_stored;
        store_.read_final_record(id);
    }
    if (unknown + not_stored == 0) return;
    spdlog::info("component=leader event=job_audit unknown={} not_stored={}", unknown, not_stored);
    callbacks_.request_plan();
}

// Applies the listed records that the job table does not have in this version. Adds the ids of all listed
// jobs to `ids`. Returns the number of records that were applied.
std::size_t JobWatcher::apply_unknown(const kv::ListResult& stored, std::set<std::string>& ids) {
    std::lock_guard lock(state_.mutex);
    const jobs::JobTable::Batch batch(state_.jobs);
    std::size_t unknown = 0;
    for (auto& entry : stored.entries) {
        auto id = id_of(entry.key);
        if (!state_.jobs.has_version(id, entry.version)) {
            ++unknown;
            apply_record(id, entry.version, entry.value);
        }
        ids.insert(std::move(id));
    }
    return unknown;
}

}  // namespace coralhitch::leader
