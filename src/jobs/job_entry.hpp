// What the leader knows of one live job and of its tasks.
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

// A task instance on a machine that is not proven terminated.
struct ActiveTask {
    std::string machine;  // its id
    protocol::AttemptNumber attempt;
    std::size_t zone_index = 0;  // in the cluster state
};

// Times are seconds of the injected steady clock unless they are marked as unix time. Not thread-safe: the
// leader's lock covers the job table and its entries.
struct JobEntry {
    // A job submitted with a mistake fails wherever it runs. After more than this many failures in a row it
    // is treated as crash-looping: one task or gang at a time, with a growing backoff. Otherwise all of its
    // tasks would be on machines again after each backoff.
    static constexpr int crash_loop_threshold = 2;
    static constexpr double no_deadline = std::numeric_limits<double>::infinity();

    // The job as submitted. Shared with plans that run on another thread.
    std::shared_ptr<const protocol::Job> spec;
    std::uint64_t version = 0;  // of its live record in the key-value store
    std::uint32_t image = 0;    // index of its image in the cluster state
    double submitted_at = 0;    // unix time
    // Unix time from which it could start: its submission, or the moment when this leader saw its last
    // dependency done. For a job whose dependencies were done under a previous leader, its submission.
    double ready_at = 0;
    // By its user, or because a direct or transitive dependency was cancelled. Never reset.
    bool cancelled = false;
    std::set<std::string> unfinished_dependencies;  // dependencies that are not known to be done

    // The highest priority of the job itself and of all its direct and transitive dependents.
    protocol::Priority priority = protocol::Priority::low;
    // Unix time by which it must be done so that it and all its dependents meet their deadlines.
    double due_at = no_deadline;

    std::vector<bool> done;                      // by task index
    std::uint32_t done_count = 0;                // of the tasks in `done`
    std::uint32_t first_unfinished_task = 0;     // all tasks before it are done
    std::map<std::uint32_t, ActiveTask> active;  // by task index
    // Instances of its tasks beside those in `active` that are not proven terminated; none of the job's tasks
    // may start while there are any.
    int orphaned_instances = 0;

    std::set<std::uint32_t> unstored_tasks;               // done, but their progress is not stored yet
    std::map<std::string, std::uint64_t> block_versions;  // of its stored progress blocks, by block name
    bool write_in_flight = false;                         // a write about this job awaits its answer
    double write_retry_at = 0;                            // no new write before this time
    std::optional<double> storable_since;                 // when its end could first be stored

    double backoff_until = 0;         // no task of it starts before this time
    int consecutive_failures = 0;     // since a task of it last completed
    std::set<std::string> failed_on;  // ids of machines on which tasks of it failed

    // Whether dependencies keep it from starting.
    [[nodiscard]] bool is_blocked() const { return !unfinished_dependencies.empty(); }
    [[nodiscard]] bool is_crash_looping() const { return consecutive_failures > crash_loop_threshold; }
    [[nodiscard]] bool all_done() const { return done_count == done.size(); }
    [[nodiscard]] bool is_done(std::uint32_t task) const { return done[task]; }
    // Records that a task is done, as its stored progress says. False if that was known, or there is no such
    // task.
    bool restore_done(std::size_t task);
    // Records that a task is done, and that this must be stored. False as above.
    bool mark_done(std::uint32_t task);

    // A task is pending if it is not done and has no active instance.
    // The first pending tasks by index, at most `limit`.
    [[nodiscard]] std::vector<std::uint32_t> pending_tasks(std::size_t limit);
    [[nodiscard]] bool has_pending_tasks() const;
    // Tasks that are not done, active or pending.
    [[nodiscard]] std::size_t unfinished_count() const { return done.size() - done_count; }

  private:
    std::size_t active_unfinished_count() const;
};

}  // namespace coralhitch::jobs
