// The leader's table of live jobs: their state, their dependencies, and what is still to be stored about
// them.
//
// The key-value store is the authority on which jobs are live; the table is a copy of it, built by listing
// and kept up by a watch. Records may arrive repeatedly and in any order, so each carries the version at
// which it was stored and an older one is ignored.
//
// Not thread-safe: the leader changes the table under its lock, since the planner reads it from another
// thread.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dependency_graph.hpp"
#include "jobs/job_entry.hpp"
#include "jobs/progress_layout.hpp"
#include "protocol/model.hpp"

namespace coralhitch::jobs {

// Ids of the jobs about which something can be stored now, in the order in which it is to be stored: first
// the ends of done jobs, which users wait for, then progress, then the ends of cancelled jobs, which change
// no answer to users. Ends are sorted by age, the oldest first.
struct PendingWrites {
    std::vector<std::string> done_jobs, progress, cancelled_jobs;
};

class JobTable {
  public:
    // `value_kb`: the configured limit of a stored value, in KiB.
    explicit JobTable(double value_kb) : progress_layout_(value_kb) {}

    // Null if the job is not live. Valid until the job is erased.
    [[nodiscard]] JobEntry* find(const std::string& id);
    [[nodiscard]] std::map<std::string, JobEntry>& entries() { return jobs_; }
    [[nodiscard]] const DependencyGraph& dependencies() const { return dependencies_; }
    [[nodiscard]] const ProgressLayout& progress_layout() const { return progress_layout_; }

    // Whether the job's record at this version, or a newer one, has been applied.
    [[nodiscard]] bool has_version(const std::string& id, std::uint64_t version) const;
    // Applies a live record that was stored at `version`. False if it is older than what is known, or of a
    // job that has ended.
    bool put(const std::string& id, std::uint64_t version, protocol::JobRecord record);
    // Applies a stored progress block; `block` is the name in its key. Ignored if the job is not live. Throws
    // std::invalid_argument if the name is not understood.
    void put_progress(const std::string& id, const std::string& block, const std::vector<bool>& bits,
                      std::uint64_t version);

    // Removes a job whose end was stored at this revision.
    void erase(const std::string& id, std::uint64_t revision);
    // Applies how a job ended, as the key-value store says. A dependent of a done job may start once it has
    // no other unfinished dependency; all direct and transitive dependents of a cancelled job are cancelled.
    // `ended_at`: unix time of the end if it was just now, otherwise empty.
    void apply_outcome(const std::string& id, protocol::JobState state, std::optional<double> ended_at);
    // The job's live record says that it is cancelled, since this version. For a job that is not in the table
    // this is kept until its record arrives: cancellations are announced to a new leader before it has read
    // the jobs.
    void cancel(const std::string& id, std::uint64_t version);

    // All changes up to this revision have been applied. Forgets jobs that ended before it, since no older
    // record of them can arrive any more, except from a list that is being read.
    void forget_ended_before(std::uint64_t revision);
    // While a list is being read, nothing is forgotten.
    void set_list_in_progress(bool in_progress) { list_in_progress_ = in_progress; }

    // What can be stored at `now`. Marks the jobs whose ends can be stored with the time when that was first
    // so. `may_remove_cancelled`: no machine known from a previous leader may still hold a task of a
    // cancelled job that is not in the table.
    PendingWrites pending_writes(double now, bool may_remove_cancelled);

  private:
    void link_dependencies(const std::string& id, JobEntry& job);
    void propagate_urgency(const std::string& id);
    void cancel_dependents(const std::string& id);
    bool can_store_end(const std::string& id, const JobEntry& job, bool may_remove_cancelled) const;

    ProgressLayout progress_layout_;
    std::map<std::string, JobEntry> jobs_;
    DependencyGraph dependencies_;
    bool list_in_progress_ = false;
    // Cancellations of jobs whose records have not arrived, with the version that says so.
    std::unordered_map<std::string, std::uint64_t> early_cancellations_;
    // Jobs that have ended, with the revision at which their end was stored.
    std::unordered_map<std::string, std::uint64_t> ended_revisions_;
};

}  // namespace coralhitch::jobs
