#include "leader/job_store.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"

namespace coralhitch::leader {
namespace keys = kv::keys;
using kv::RequestPriority;
using kv::TxnResult;
using protocol::JobState;

namespace {
// Times in heartbeat periods. A job's progress is written at most once in its interval, so that tasks which
// end together are stored together.
constexpr double store_delay_heartbeat_periods = 1.0 / 60;
constexpr double progress_interval_heartbeat_periods = 1.0 / 6;
constexpr double retry_delay_heartbeat_periods = 1.0 / 10, rejected_retry_delay_heartbeat_periods = 1.0 / 2;
// Several transactions with ends of done jobs may be in flight, so a lost answer delays only the jobs of its
// own transaction.
constexpr int max_done_in_flight = 4;
constexpr int max_cancelled_in_flight = 1;
constexpr std::size_t changes_per_end = 2;  // the final record is put, the live one removed
// One transaction has at most as many changes as the key-value store's write limit allows in this many
// seconds.
constexpr double write_quota_per_transaction_s = 0.2;
// Time, in leases, after which the end of a cancelled job is no longer written at background priority.
constexpr double max_cancelled_delay_leases = 2;
}  // namespace

JobStore::JobStore(const PartContext& context, kv::KvClient& kv, StaleKeyRemover& stale_keys,
                   metrics::Metrics& metrics, Callbacks callbacks)
    : LeaderPart(context),
      kv_(kv),
      stale_keys_(stale_keys),
      metrics_(metrics),
      callbacks_(std::move(callbacks)) {}

// Ends of jobs come by the hundred. When `store_due` ran with each heartbeat, its loop over all jobs took a
// fifth of the processor time while a thousand jobs were live.
void JobStore::request_store() {
    if (std::exchange(store_requested_, true)) return;
    timers_.after(settings_.heartbeat_interval_s * store_delay_heartbeat_periods, guarded_([this] {
                      store_requested_ = false;
                      store_due();
                  }));
}

void JobStore::store_due() {
    if (!authority_.holds()) return;
    const event_loop::WorkScope work(timers_, "job_ends", state_.jobs.entries().size());
    auto due = state_.jobs.pending_writes(now(), callbacks_.placement_allowed());
    metrics_.set(metrics::Metric::leader_unstored_job_ends, static_cast<double>(due.done_jobs.size()));
    metrics_.set(metrics::Metric::leader_cancelled_jobs_to_remove,
                 static_cast<double>(due.cancelled_jobs.size()));
    store_ends(due.done_jobs, JobState::done);
    for (auto& id : due.progress) write_progress(id, *state_.jobs.find(id));
    store_ends(due.cancelled_jobs, JobState::cancelled);
}

std::size_t JobStore::max_ends_per_transaction() const {
    auto changes = std::min(static_cast<std::size_t>(settings_.kv_write_rps * write_quota_per_transaction_s),
                            kv_.limits().txn_ops());
    return std::max<std::size_t>(1, changes / changes_per_end);
}

// Writes the ends of these jobs, oldest first, in as many transactions as may be in flight. Ends that do not
// fit wait here and go together in the next transactions. Waiting here has no deadline, whereas a request
// that waits too long in the KvClient's queue is refused and would start again behind younger ones.
//
// Users wait for the ends of done jobs. The end of a cancelled job can wait: the live record already gives
// users the same answer, and every version of the software reads that record as cancelled. Such ends are
// written one transaction at a time at background priority, unless they have waited for so long that the job
// table would grow.
void JobStore::store_ends(const Ids& ids, JobState state) {
    bool done = state == JobState::done;
    int max_in_flight = done ? max_done_in_flight : max_cancelled_in_flight;
    auto max_ends = max_ends_per_transaction();
    for (std::size_t first = 0; first < ids.size(); first += max_ends) {
        if (ends_in_flight(state) >= max_in_flight) {
            ends_deferred_ = true;
            return;
        }
        auto begin = ids.begin() + static_cast<std::ptrdiff_t>(first);
        auto end = ids.begin() + static_cast<std::ptrdiff_t>(std::min(ids.size(), first + max_ends));
        double waited_s = now() - *state_.jobs.find(*begin)->storable_since;
        bool overdue = waited_s > settings_.lease_s * max_cancelled_delay_leases;
        write_ends({begin, end}, state,
                   done || overdue ? RequestPriority::write : RequestPriority::background);
    }
}

void JobStore::write_ends(const Ids& ids, JobState state, RequestPriority priority) {
    auto transaction = authority_.fenced_transaction();
    for (auto& id : ids) {
        auto& job = *state_.jobs.find(id);
        job.write_in_flight = true;
        transaction.conditions.push_back({keys::job(id), job.version});  // fails if cancelled meanwhile
        transaction.changes.push_back(
            {keys::final(id), protocol::stored(protocol::FinalRecord{state, job.spec->tasks}), 0});
        transaction.changes.push_back({keys::job(id), std::nullopt, 0});
    }
    ++ends_in_flight(state);
    kv_.txn(std::move(transaction), priority, guarded_([this, ids, state](const TxnResult& result) {
                --ends_in_flight(state);
                handle_ends_result(ids, state, result);
                bool committed = result.status == TxnResult::Status::committed;
                if (std::exchange(ends_deferred_, false) || !committed) request_store();
            }));
}

// Handles the result of a transaction that stores the ends of these jobs. The transaction fails for all of
// them if one was cancelled meanwhile, or if its end was stored by a transaction whose answer was lost. Only
// the records of the jobs that failed are read. The ends of the others are written again at once without
// them.
void JobStore::handle_ends_result(const Ids& ids, JobState state, const TxnResult& result) {
    using Status = TxnResult::Status;
    auto failed_on = [&](const std::string& id) { return result.failed_on(keys::job(id)); };
    bool any_failed = std::any_of(ids.begin(), ids.end(), failed_on);
    for (auto& id : ids) {
        auto* job = state_.jobs.find(id);
        if (!job) continue;
        if (result.status == Status::committed) {
            spdlog::debug("component=leader event=job_end_stored job={} tasks_done={} delay_s={:.2f}", id,
                          job->done_count, now() - job->storable_since.value_or(now()));
            handle_end_stored(id, result.revision, state);
        } else if (failed_on(id) || result.status == Status::unknown) {
            // Some controller has cancelled the job, or its end was stored by a transaction whose answer was
            // lost. The record tells which. Writing again without reading would cost the changes of the whole
            // transaction.
            read_job_record(id);
        } else if (any_failed) {
            job->write_in_flight = false;
        } else {
            handle_write_failure(id, result);
        }
    }
}

// Ends a job whose final record is stored. Requests a plan if other jobs depend on it, so that the next stage
// of a pipeline does not wait for the next heartbeat.
void JobStore::handle_end_stored(const std::string& id, std::uint64_t revision, JobState state) {
    bool awaited = state_.jobs.dependencies().has_dependents(id);
    {
        std::lock_guard lock(state_.mutex);
        state_.cluster.record_outcome_stored(id);
        // The job's progress blocks are no longer needed. They are removed at background priority.
        if (auto* job = state_.jobs.find(id))
            for (auto& [block, version] : job->block_versions) stale_keys_.add(keys::progress_of(id, block));
        state_.jobs.erase(id, revision);
        state_.jobs.apply_outcome(id, state, timers_.unix_time());
    }
    // The end of a cancelled job can be stored only after the ends of its dependents, so the ends of its
    // dependencies may be storable now.
    if (state == JobState::cancelled) request_store();
    if (awaited) callbacks_.request_plan();
}

JobStore::ProgressWrite JobStore::next_progress(const jobs::JobEntry& job) const {
    ProgressWrite next;
    auto& limits = kv_.limits();
    for (auto task : job.unstored_tasks) {
        auto block = state_.jobs.progress_layout().block_of(job.done.size(), task, limits.value_bytes());
        if (!next.blocks.contains(block) && next.blocks.size() >= limits.txn_ops()) continue;
        next.blocks.insert(block);
        next.tasks.insert(task);
    }
    return next;
}

void JobStore::write_progress(const std::string& id, jobs::JobEntry& job) {
    job.write_in_flight = true;
    auto transaction = authority_.fenced_transaction();
    transaction.conditions.push_back({keys::job(id), job.version});
    auto written = next_progress(job);
    for (auto& block : written.blocks) {
        // A block is always written as a whole. A write whose answer was lost may be executed after newer
        // ones. It would remove the progress that they added, of tasks that agents have been told to forget.
        // The condition on the block's version makes such a write fail.
        auto stored = job.block_versions.find(block);
        auto key = keys::progress_of(id, block);
        transaction.conditions.push_back({key, stored == job.block_versions.end() ? 0 : stored->second});
        transaction.changes.push_back(
            {std::move(key),
             state_.jobs.progress_layout().encode(job.done, block, kv_.limits().value_bytes()), 0});
    }
    kv_.txn(std::move(transaction), RequestPriority::write,
            guarded_([this, id, written](const TxnResult& result) {
                if (result.status != TxnResult::Status::committed) return handle_write_failure(id, result);
                handle_progress_stored(id, written, result.revision);
            }));
}

void JobStore::handle_progress_stored(const std::string& id, const ProgressWrite& written,
                                      std::uint64_t revision) {
    std::lock_guard lock(state_.mutex);
    auto* job = state_.jobs.find(id);
    if (!job) return;
    job->write_in_flight = false;
    job->write_retry_at = now() + settings_.heartbeat_interval_s * progress_interval_heartbeat_periods;
    for (auto task : written.tasks) job->unstored_tasks.erase(task);
    for (auto& block : written.blocks) job->block_versions[block] = revision;
    state_.cluster.record_outcome_stored(id, written.tasks);
}

void JobStore::handle_write_failure(const std::string& id, const TxnResult& result) {
    std::lock_guard lock(state_.mutex);
    auto* job = state_.jobs.find(id);
    if (!job) return;
    job->write_in_flight = false;
    // A transaction that was rejected as too large is split into smaller ones the next time. If that is not
    // possible, the longer delay avoids a busy loop.
    bool rejected = result.status == TxnResult::Status::rejected;
    job->write_retry_at =
        now() + settings_.heartbeat_interval_s *
                    (rejected ? rejected_retry_delay_heartbeat_periods : retry_delay_heartbeat_periods);
    if (result.status != TxnResult::Status::conflict) return;
    if (result.failed_on(keys::job(id))) return read_job_record(id);
    // An earlier write of this block was executed although its answer was lost. If that is so for several
    // blocks, each retry finds the next one.
    auto progress = keys::progress_of(id, "");
    for (auto& key : result.failed)
        if (key.starts_with(progress)) {
            job->write_in_flight = true;
            return read_block_version(id, key.substr(progress.size()));
        }
}

// Reads the live record of a job when this leader does not know its present content or whether it still
// exists. Applies the record, or reads the final record if there is no live one.
void JobStore::read_job_record(const std::string& id) {
    state_.jobs.find(id)->write_in_flight = true;
    kv_.get(keys::job(id), RequestPriority::write, guarded_([this, id](kv::GetResult result) {
                std::lock_guard lock(state_.mutex);
                auto* job = state_.jobs.find(id);
                if (!job) return;
                job->write_in_flight = false;
                request_store();
                if (!result.ok())
                    job->write_retry_at =
                        now() + settings_.heartbeat_interval_s * retry_delay_heartbeat_periods;
                else if (result.entry)
                    callbacks_.apply_record(id, result.entry->version, result.entry->value);
                else
                    read_final_record(id);
            }));
}

void JobStore::read_block_version(const std::string& id, const std::string& block) {
    kv_.get(keys::progress_of(id, block), RequestPriority::write,
            guarded_([this, id, block](kv::GetResult result) {
                auto* job = state_.jobs.find(id);
                if (!job) return;
                job->write_in_flight = false;
                if (result.ok() && result.entry)
                    job->block_versions[block] = result.entry->version;
                else if (result.ok())
                    job->block_versions.erase(block);
            }));
}

// Only a leader removes the key of a live record, and this is the only leader, so a transaction whose answer
// was lost must have been executed. The final record tells which one: the job may have been done, or it may
// have been cancelled in between.
void JobStore::read_final_record(const std::string& id) {
    state_.jobs.find(id)->write_in_flight = true;
    kv_.get(keys::final(id), RequestPriority::write, guarded_([this, id](kv::GetResult result) {
                auto* job = state_.jobs.find(id);
                if (!job) return;
                job->write_in_flight = false;
                job->write_retry_at = now() + settings_.heartbeat_interval_s * retry_delay_heartbeat_periods;
                if (!result.entry) return;
                try {
                    auto state = protocol::parse_final_record(result.entry->value).state;
                    handle_end_stored(id, job->version, state);
                } catch (const protocol::Malformed& error) {
                    spdlog::error("component=leader event=malformed_final_record job={} error=\"{}\"", id,
                                  error.what());
                }
            }));
}

}  // namespace coralhitch::leader
