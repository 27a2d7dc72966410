#include "jobs/job_table.hpp"

#include <algorithm>
#include <utility>

#include "jobs/urgency_propagation.hpp"

namespace coralhitch::jobs {
using protocol::JobState;

JobEntry* JobTable::find(const std::string& id) {
    auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

bool JobTable::has_version(const std::string& id, std::uint64_t version) const {
    if (auto ended = ended_revisions_.find(id); ended != ended_revisions_.end() && version <= ended->second)
        return true;
    auto found = jobs_.find(id);
    return found != jobs_.end() && version <= found->second.version;
}

bool JobTable::put(const std::string& id, std::uint64_t version, protocol::JobRecord record) {
    if (has_version(id, version)) return false;
    auto [position, inserted] = jobs_.try_emplace(id);
    auto& job = position->second;
    job.version = version;
    // Never reset, because a dependent of a cancelled job may be known to be cancelled before its own record
    // shows it.
    job.cancelled = job.cancelled || record.cancelled;
    if (auto early = early_cancellations_.extract(id)) {
        job.cancelled = true;
        job.version = std::max(version, early.mapped());
    }
    if (!inserted) {
        if (job.cancelled) cancel_dependents(id);
        return true;
    }
    job.submitted_at = job.ready_at = record.submitted;
    job.done.resize(record.job.tasks);
    job.priority = record.job.priority;
    if (record.job.deadline_s) job.due_at = job.submitted_at + *record.job.deadline_s;
    job.unfinished_dependencies.insert(record.job.dependencies.begin(), record.job.dependencies.end());
    job.spec = std::make_shared<const protocol::Job>(std::move(record.job));
    link_dependencies(id, job);
    return true;
}

// A new leader reads the jobs in any order, so dependents of this job may be in the table already.
void JobTable::link_dependencies(const std::string& id, JobEntry& job) {
    dependencies_.add(id, job.unfinished_dependencies,
                      [&](auto& dependency) { return jobs_.contains(dependency); });
    for (auto& dependency : job.unfinished_dependencies)
        if (auto* found = find(dependency)) job.cancelled = job.cancelled || found->cancelled;
    inherit_from_dependents(id, job);
    changed_urgency_.push_back(id);
    if (open_batches_ == 0) propagate_urgency();
    if (job.cancelled) cancel_dependents(id);
}

void JobTable::inherit_from_dependents(const std::string& id, JobEntry& job) {
    for (auto& dependent : dependencies_.direct_dependents(id)) {
        ++dependency_steps_;
        inherit_urgency(job, jobs_.at(dependent));
    }
}

void JobTable::propagate_urgency() {
    dependency_steps_ += jobs::propagate_urgency(jobs_, std::exchange(changed_urgency_, {}));
}

void JobTable::cancel(const std::string& id, std::uint64_t version) {
    if (auto* job = find(id)) {
        job->cancelled = true;
        job->version = std::max(job->version, version);
    } else if (!has_version(id, version)) {
        early_cancellations_[id] = version;
    }
    cancel_dependents(id);
}

void JobTable::cancel_dependents(const std::string& id) {
    dependencies_.visit_dependents(id, [&](auto& dependent) {
        ++dependency_steps_;
        return !std::exchange(jobs_.at(dependent).cancelled, true);
    });
}

void JobTable::apply_outcome(const std::string& id, JobState state, std::optional<double> ended_at) {
    if (state == JobState::cancelled) cancel_dependents(id);
    for (auto& dependent : dependencies_.resolve(id)) {
        // The dependents of a cancelled job stay blocked: they never start.
        if (state != JobState::done) continue;
        auto& job = jobs_.at(dependent);
        job.unfinished_dependencies.erase(id);
        if (ended_at) job.ready_at = std::max(job.ready_at, *ended_at);
    }
}

void JobTable::put_progress(const std::string& id, const std::string& block, const std::vector<bool>& bits,
                            std::uint64_t version) {
    auto first = progress_layout_.first_task(block);
    auto* job = find(id);
    if (!job) return;
    job->block_versions[block] = version;
    for (std::size_t i = 0; i < bits.size(); ++i)
        if (bits[i]) job->restore_done(first + i);
}

void JobTable::erase(const std::string& id, std::uint64_t revision) {
    if (auto found = jobs_.find(id); found != jobs_.end()) {
        dependencies_.remove(id, found->second.unfinished_dependencies);
        jobs_.erase(found);
    }
    ended_revisions_[id] = revision;
    dependencies_.mark_unresolved(id);
}

void JobTable::forget_ended_before(std::uint64_t revision) {
    if (list_in_progress_) return;
    std::erase_if(ended_revisions_, [&](auto& ended) { return ended.second < revision; });
    std::erase_if(early_cancellations_, [&](auto& early) { return early.second <= revision; });
}

// Returns whether the end of a job can be stored, which removes its live record.
//
// The live record of a cancelled job stays until there is evidence that all its tasks have terminated.
// Otherwise a later leader would not know that it must stop them. The record also stays while the job has
// dependents, because a later leader must be able to derive their cancellation from live jobs.
bool JobTable::can_store_end(const std::string& id, const JobEntry& job, bool may_remove_cancelled) const {
    if (!job.cancelled) return job.all_done();
    return may_remove_cancelled && job.active.empty() && job.orphaned_instances == 0 &&
           !dependencies_.has_dependents(id);
}

PendingWrites JobTable::pending_writes(double now, bool may_remove_cancelled) {
    PendingWrites pending;
    for (auto& [id, job] : jobs_) {
        bool end_storable = can_store_end(id, job, may_remove_cancelled);
        if (!end_storable)
            job.storable_since.reset();
        else if (!job.storable_since)
            job.storable_since = now;
        if (job.write_in_flight || now < job.write_retry_at) continue;
        if (end_storable)
            (job.cancelled ? pending.cancelled_jobs : pending.done_jobs).push_back(id);
        else if (!job.cancelled && !job.unstored_tasks.empty())
            pending.progress.push_back(id);
    }
    // Sorted by the age of the end and not by name, so that an end whose write was rejected keeps its
    // position.
    auto older = [&](auto& a, auto& b) { return jobs_.at(a).storable_since < jobs_.at(b).storable_since; };
    for (auto* ids : {&pending.done_jobs, &pending.cancelled_jobs})
        std::stable_sort(ids->begin(), ids->end(), older);
    return pending;
}

}  // namespace coralhitch::jobs
