// The leader's state of one live job and of its tasks.
#pragma once
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::jobs {

// A task instance on a machine, without evidence that it has terminated.
struct ActiveTask {
    std::string machine;  // id of the machine
    protocol::AttemptNumber attempt;
    std::size_t zone_index = 0;  // in the cluster state
};

// State of one live job. Times are seconds of the injected steady clock unless they are marked as Unix time.
// Not thread-safe: the leader's lock covers the job table and its entries.
struct JobEntry {
    // After more than this many consecutive failures, a job is treated as crash-looping: only one of its
    // tasks (or its gang) starts at a time, with a growing backoff. A job submitted with a mistake fails on
    // every machine, and without this limit all of its tasks would occupy machines again after each backoff.
    static constexpr int crash_loop_threshold = 2;
    static constexpr double no_deadline = std::numeric_limits<double>::infinity();

    // The job as submitted. Shared with plans that run on another thread.
    std::shared_ptr<const protocol::Job> spec;
    std::uint64_t version = 0;  // version of its live record in the key-value store
    std::uint32_t image = 0;    // index of its image in the cluster state
    double submitted_at = 0;    // Unix time
    // Unix time from which the job could start: the time of its submission, or the time at which its last
    // dependency was done if this leader observed that. For a job whose dependencies were done under a
    // previous leader, it is the time of the submission.
    double ready_at = 0;
    // Set if the user cancelled the job, or if a direct or transitive dependency was cancelled. Never reset.
    bool cancelled = false;
    std::set<std::string> unfinished_dependencies;  // ids of dependencies that are not known to be done

    // The highest priority of the job itself and of all its direct and transitive dependents.
    protocol::Priority priority = protocol::Priority::low;
    // Unix time by which the job must be done so that it and all its dependents meet their deadlines.
    double due_at = no_deadline;

    std::vector<bool> done;                      // by task index
    std::uint32_t done_count = 0;                // number of tasks set in `done`
    std::uint32_t first_unfinished_task = 0;     // all tasks before it are done
    std::map<std::uint32_t, ActiveTask> active;  // by task index
    // All instances in `active` were asked to stop because the gang has lost a task.
    bool active_instances_stopped = false;
    // Number of instances of the job's tasks that are not in `active` and have no evidence that they have
    // terminated. While there are any, no task of the job may start.
    int orphaned_instances = 0;

    std::set<std::uint32_t> unstored_tasks;  // tasks that are done but not stored as done yet
    std::map<std::string, std::uint64_t>
        block_versions;                    // versions of its stored progress blocks, by block name
    bool write_in_flight = false;          // a write about this job awaits its answer
    double write_retry_at = 0;             // no write about this job starts before this time
    std::optional<double> storable_since;  // time from which its end could be stored

    double backoff_until = 0;         // no task of the job starts before this time
    int consecutive_failures = 0;     // failures since a task of the job last completed
    std::set<std::string> failed_on;  // ids of the machines on which tasks of the job failed

    // Returns whether the job may not start yet because a dependency is not known to be done.
    [[nodiscard]] bool is_blocked() const { return !unfinished_dependencies.empty(); }
    [[nodiscard]] bool is_crash_looping() const { return consecutive_failures > crash_loop_threshold; }
    [[nodiscard]] bool all_done() const { return done_count == done.size(); }
    [[nodiscard]] bool is_done(std::uint32_t task) const { return done[task]; }
    // Records that a task is done according to the stored progress. Returns false, and changes nothing, if
    // the task was known to be done or does not exist.
    bool restore_done(std::size_t task);
    // Records that a task is done, and that this must be stored. Returns false, and changes nothing, if the
    // task was known to be done or does not exist.
    bool mark_done(std::uint32_t task);

    // Returns the indices of at most `limit` pending tasks, the lowest first. A task is pending if it is not
    // done and has no active instance.
    [[nodiscard]] std::vector<std::uint32_t> pending_tasks(std::size_t limit);
    // Returns whether any task is pending, as `pending_tasks` defines it.
    [[nodiscard]] bool has_pending_tasks() const;
    // Returns the number of tasks that are not done, whether active or pending.
    [[nodiscard]] std::size_t unfinished_count() const { return done.size() - done_count; }

  private:
    std::size_t active_unfinished_count() const;
};

}  // namespace coralhitch::jobs
