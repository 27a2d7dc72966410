// The leader's table of live jobs.
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

// Ids of the jobs about which something can be stored now. The lists are in the order in which they are to be
// stored: first the ends of done jobs, which users wait for, then progress, then the ends of cancelled jobs,
// which do not change any answer to users. Ends are sorted by age, the oldest first.
struct PendingWrites {
    std::vector<std::string> done_jobs, progress, cancelled_jobs;
};

// Holds the state of all live jobs, their dependencies, and which writes about them are pending.
//
// The key-value store is the authority on which jobs are live. The table is a copy of it, built from a list
// of the store and updated by a watch. Records may arrive repeatedly and in any order, so each one carries
// the version at which it was stored, and older versions are ignored.
//
// Not thread-safe: the leader changes the table under its lock, since the planner reads it from another
// thread.
class JobTable {
  public:
    // Delays the propagation of urgency between jobs (priorities and due times) until the object is
    // destroyed. Jobs that are added together then cost one pass over all of them instead of one pass each.
    class Batch {
      public:
        explicit Batch(JobTable& table) : table_(table) { ++table_.open_batches_; }
        ~Batch() {
            if (--table_.open_batches_ == 0) table_.propagate_urgency();
        }
        Batch(const Batch&) = delete;
        Batch& operator=(const Batch&) = delete;

      private:
        JobTable& table_;
    };

    // Creates an empty table. `value_kb` is the configured size limit of a stored value, in KiB.
    explicit JobTable(double value_kb) : progress_layout_(value_kb) {}

    // Returns the entry of a live job, or null if the job is not live. The pointer is valid until the job is
    // erased.
    [[nodiscard]] JobEntry* find(const std::string& id);
    [[nodiscard]] std::map<std::string, JobEntry>& entries() { return jobs_; }
    [[nodiscard]] const DependencyGraph& dependencies() const { return dependencies_; }
    [[nodiscard]] const ProgressLayout& progress_layout() const { return progress_layout_; }

    // Returns how many dependencies between jobs were examined since the table was created, to propagate
    // urgencies and cancellations.
    [[nodiscard]] std::uint64_t dependency_steps() const { return dependency_steps_; }

    // Returns whether this version of the job's record, or a newer one, has been applied, or the job has
    // ended at this version or later.
    [[nodiscard]] bool has_version(const std::string& id, std::uint64_t version) const;
    // Applies a live record that was stored at `version`. Returns false, and changes nothing, if
    // `has_version` is true for it.
    bool put(const std::string& id, std::uint64_t version, protocol::JobRecord record);
    // Applies a stored progress block; `block` is the name in its key. Does nothing if the job is not live.
    // Throws std::invalid_argument if the name is malformed.
    void put_progress(const std::string& id, const std::string& block, const std::vector<bool>& bits,
                      std::uint64_t version);

    // Removes a job whose end was stored at this revision. Its outcome stays unresolved until
    // `apply_outcome`.
    void erase(const std::string& id, std::uint64_t revision);
    // Applies the outcome of a job that has ended, according to the key-value store. A dependent of a done
    // job may start once it has no other unfinished dependency. All direct and transitive dependents of a
    // cancelled job are cancelled. `ended_at` is the Unix time of the end if the job has ended just now,
    // otherwise empty.
    void apply_outcome(const std::string& id, protocol::JobState state, std::optional<double> ended_at);
    // Marks a job, and all its direct and transitive dependents, as cancelled: its live record states this
    // since `version`. If the job is not in the table, the cancellation is kept until the job's record
    // arrives, because cancellations are announced to a new leader before it has read the jobs.
    void cancel(const std::string& id, std::uint64_t version);

    // To be called when all changes up to this revision have been applied. Drops what is remembered about
    // jobs that ended before it: older records of them can arrive only from a list that is being read, so
    // while a list is in progress nothing is dropped. Also drops the cancellations up to this revision that
    // `cancel` has kept for jobs that are not in the table.
    void forget_ended_before(std::uint64_t revision);
    // Sets whether a list of the key-value store is being read.
    void set_list_in_progress(bool in_progress) { list_in_progress_ = in_progress; }

    // Returns the writes that can be made at `now`, without those in flight or in backoff. Updates
    // `JobEntry::storable_since`. `may_remove_cancelled` states that no machine known from a previous leader
    // can still hold a task of a cancelled job that is not in the table. The ends of cancelled jobs are
    // listed only if it is true.
    PendingWrites pending_writes(double now, bool may_remove_cancelled);

  private:
    void link_dependencies(const std::string& id, JobEntry& job);
    void inherit_from_dependents(const std::string& id, JobEntry& job);
    void propagate_urgency();
    void cancel_dependents(const std::string& id);
    bool can_store_end(const std::string& id, const JobEntry& job, bool may_remove_cancelled) const;

    ProgressLayout progress_layout_;
    std::map<std::string, JobEntry> jobs_;
    DependencyGraph dependencies_;
    bool list_in_progress_ = false;
    int open_batches_ = 0;
    std::vector<std::string> changed_urgency_;  // ids of the jobs that have not propagated their urgency
    std::uint64_t dependency_steps_ = 0;
    // Cancelled jobs whose records have not arrived, with the version since which they are cancelled.
    std::unordered_map<std::string, std::uint64_t> early_cancellations_;
    // Jobs that have ended, with the revision at which their end was stored.
    std::unordered_map<std::string, std::uint64_t> ended_revisions_;
};

}  // namespace coralhitch::jobs
