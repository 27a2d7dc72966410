#include "api/live_jobs.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"

namespace coralhitch::api {
namespace keys = kv::keys;

namespace {
// Minimum interval between two requests. Reads that arrive within it share the next request.
constexpr double min_interval_heartbeat_periods = 1.0 / 20;
// Age of the last request after which `refresh_if_stale` sends another one. The number of changes in this
// time is far below the number of changes that the key-value store keeps.
constexpr double refresh_interval_leases = 0.5;
// If at least this many jobs have ended between two requests, all their final records are read with one
// request.
constexpr std::size_t min_ends_for_bulk_read = 2;
}  // namespace

LiveJobs::LiveJobs(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                   FinalRecordCallback on_final_record)
    : timers_(timers), kv_(kv), settings_(settings), on_final_record_(std::move(on_final_record)) {}

const LiveJob* LiveJobs::cached(const std::string& id) const {
    auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

void LiveJobs::read(const std::string& id, ReadCallback done) {
    ++read_count_;
    pending_reads_.push_back({id, std::move(done)});
    schedule_request();
}

void LiveJobs::refresh_if_stale() {
    if (!last_request_at_ || timers_.now() - *last_request_at_ < settings_.lease_s * refresh_interval_leases)
        return;
    if (!request_in_flight_) send_request();
}

void LiveJobs::schedule_request() {
    if (request_in_flight_ || request_scheduled_ || pending_reads_.empty()) return;
    double wait_s = last_request_at_
                        ? *last_request_at_ +
                              settings_.heartbeat_interval_s * min_interval_heartbeat_periods - timers_.now()
                        : 0;
    if (wait_s <= 0) return send_request();
    request_scheduled_ = true;
    timers_.after(wait_s, [this] {
        request_scheduled_ = false;
        if (!request_in_flight_) send_request();
    });
}

void LiveJobs::send_request() {
    request_in_flight_ = true;
    last_request_at_ = timers_.now();
    ++request_count_;
    // The response answers only reads that arrived before the request is sent. For later reads it would be
    // stale.
    auto batch = std::exchange(pending_reads_, {});
    if (revision_ == 0)
        read_all(std::move(batch));
    else
        read_changes(std::move(batch));
}

void LiveJobs::read_all(Batch batch) {
    kv_.list(keys::jobs, kv::RequestPriority::read,
             [this, batch = std::move(batch)](const kv::ListResult& result) mutable {
                 if (result.ok()) {
                     jobs_.clear();
                     dependencies_.clear();
                     for (auto& entry : result.entries) apply_entry(entry.key, entry.version, &entry.value);
                     revision_ = result.revision;
                 }
                 answer(batch, result.ok());
             });
}

void LiveJobs::read_changes(Batch batch) {
    kv_.watch(keys::jobs, revision_, 0, [this, batch = std::move(batch)](kv::WatchResult result) mutable {
        if (result.compacted()) {
            revision_ = 0;
            return read_all(std::move(batch));
        }
        if (!result.ok()) return answer(batch, false);
        const event_loop::WorkScope work(timers_, "live_job_changes", result.events.events.size());
        removed_by_last_changes_ = 0;
        for (auto& event : result.events.events)
            apply_entry(event.key, event.version, event.value ? &*event.value : nullptr);
        auto since = std::exchange(revision_, std::max(revision_, result.events.revision));
        if (removed_by_last_changes_ < min_ends_for_bulk_read || !on_final_record_)
            return answer(batch, true);
        read_final_records(std::move(batch), since);
    });
}

// Reads the final records of all jobs removed since a revision with one request. The transaction that removes
// a live record stores the final record, so the final records in question were all written since that
// revision. Reading them one by one took most of the remaining requests when many jobs ended together. If
// this request fails, each final record is read when a query needs it.
void LiveJobs::read_final_records(Batch batch, std::uint64_t since) {
    ++request_count_;
    kv_.watch(keys::finals, since, 0, [this, batch = std::move(batch)](kv::WatchResult result) mutable {
        for (auto& event : result.events.events)
            if (event.value) on_final_record_(event.key.substr(keys::finals.size()), *event.value);
        answer(batch, true);
    });
}

void LiveJobs::answer(const Batch& batch, bool ok) {
    const event_loop::WorkScope work(timers_, "job_reads", batch.size());
    request_in_flight_ = false;
    const auto undecided = undecided_jobs();
    for (auto& read : batch) {
        auto* job = cached(read.id);
        if (!ok || !job)
            read.done({ok, {}, false});
        else
            read.done({true, *job, undecided.contains(read.id)});
    }
    schedule_request();
}

// Applies a listed entry or a change to the copy. `value` is the live record, null if it was removed.
void LiveJobs::apply_entry(const std::string& key, std::uint64_t version, const std::string* value) {
    auto id = key.substr(keys::jobs.size());
    auto previous = jobs_.find(id);
    // A list takes several requests. Its last pages may be newer than the changes that the next watch
    // returns.
    if (previous != jobs_.end() && previous->second.version > version) return;
    if (!value) return remove(id);
    LiveJob job{version, false, {}};
    try {
        auto record = protocol::parse_live_record(*value);
        job.cancelled = record.cancelled;
        job.dependencies = std::move(record.dependencies);
    } catch (const protocol::Malformed& error) {
        spdlog::error("component=api event=unreadable_job_record job={} error=\"{}\"", id, error.what());
        // A controller of another version may have written the record. The job counts as live all the same:
        // if it were treated as unknown, requests that name it would be refused permanently.
        job.cancelled = protocol::is_cancelled_record(*value);
    }
    if (previous != jobs_.end()) {
        // Only a cancellation writes a live record again.
        job.cancelled = job.cancelled || previous->second.cancelled;
        dependencies_.remove(id, previous->second.dependencies);
    }
    dependencies_.add(id, job.dependencies, [&](auto& dependency) { return jobs_.contains(dependency); });
    for (auto& dependency : job.dependencies)
        if (auto* live = cached(dependency)) job.cancelled = job.cancelled || live->cancelled;
    bool cancelled = job.cancelled;
    jobs_.insert_or_assign(id, std::move(job));
    if (cancelled) cancel_dependents(id);
}

void LiveJobs::remove(const std::string& id) {
    auto found = jobs_.find(id);
    if (found == jobs_.end()) return;
    ++removed_by_last_changes_;
    dependencies_.remove(id, found->second.dependencies);
    jobs_.erase(found);
    dependencies_.mark_unresolved(id);
}

void LiveJobs::cancel_dependents(const std::string& id) {
    dependencies_.visit_dependents(id, [&](auto& dependent) {
        ++dependency_steps_;
        return !std::exchange(jobs_.at(dependent).cancelled, true);
    });
}

void LiveJobs::apply_outcome(const std::string& id, protocol::JobState state) {
    if (!dependencies_.unresolved().contains(id)) return;
    if (state == protocol::JobState::cancelled) cancel_dependents(id);
    for (auto& dependent : dependencies_.resolve(id)) std::erase(jobs_.at(dependent).dependencies, id);
}

// Computed once for all reads of a batch: a search for each read takes time that grows with the square of a
// pipeline whose jobs are all queried.
std::unordered_set<std::string> LiveJobs::undecided_jobs() {
    std::unordered_set<std::string> undecided;
    for (auto& id : dependencies_.unresolved())
        dependencies_.visit_dependents(id, [&](auto& dependent) {
            ++dependency_steps_;
            return !jobs_.at(dependent).cancelled && undecided.insert(dependent).second;
        });
    return undecided;
}

std::vector<std::string> LiveJobs::unresolved_dependencies_of(const std::vector<std::string>& ids) {
    std::vector<std::string> stack = ids, unresolved;
    std::unordered_set<std::string> visited(ids.begin(), ids.end());
    while (!dependencies_.unresolved().empty() && !stack.empty()) {
        auto* job = cached(std::exchange(stack.back(), {}));
        stack.pop_back();
        if (!job || job->cancelled) continue;
        for (auto& dependency : job->dependencies) {
            ++dependency_steps_;
            if (!visited.insert(dependency).second) continue;
            if (dependencies_.unresolved().contains(dependency))
                unresolved.push_back(dependency);
            else
                stack.push_back(dependency);
        }
    }
    return unresolved;
}

}  // namespace coralhitch::api
