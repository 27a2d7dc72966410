// Reads live jobs from the key-value store. Many reads share one request, and no result is older than the
// call of `read`.
//
// LiveJobs keeps a copy of the live jobs as of one revision of the store. Each read is answered after a
// request that was sent after the call of `read`: a watch that does not wait returns all changes since that
// revision, or an empty list. Reads that arrive while a request is in flight are answered by the next
// request.
//
// A job is cancelled if any of its direct or transitive dependencies is cancelled. LiveJobs derives this from
// the stored records, without waiting for a leader to store it for each dependent. Otherwise, while there is
// no leader or the key-value store takes no writes, users would be told for longer than the platform allows
// that such a job is still queued.
//
// All functions and callbacks run on the event loop's thread.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "jobs/dependency_graph.hpp"
#include "kv/kv_client.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

// Job that has been accepted and has no final record yet.
struct LiveJob {
    std::uint64_t version = 0;              // version of its live record
    bool cancelled = false;                 // true if the job or one of its dependencies is cancelled
    std::vector<std::string> dependencies;  // ids of the direct dependencies that are not known to be done
};

// Copy of the live jobs that is brought up to date before each answer. The constructor's references must
// outlive it.
class LiveJobs {
  public:
    // Result of a read of one job.
    struct ReadResult {
        bool ok = false;              // false if the key-value store did not answer; the rest is empty then
        std::optional<LiveJob> live;  // empty if the job is not live
        // True if outcomes that are not known decide whether the job is cancelled. The caller reads those of
        // `unresolved_dependencies_of`, passes them to `apply_outcome` and reads the job again.
        bool undecided = false;
    };
    using ReadCallback = std::function<void(ReadResult)>;
    // Receives the final record of a job as it is stored. The call comes before the answers to the reads
    // whose request found that the job had ended.
    using FinalRecordCallback = std::function<void(const std::string& id, const std::string& record)>;

    // Final records are requested only if `on_final_record` is given.
    LiveJobs(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
             FinalRecordCallback on_final_record = {});
    // Reads a job and calls `done` once the key-value store has answered or failed to.
    void read(const std::string& id, ReadCallback done);
    // Applies the outcome of an ended job, which never changes, to its dependents. Has no effect unless the
    // outcome is unresolved.
    void apply_outcome(const std::string& id, protocol::JobState state);
    // Returns the jobs that depend, directly or transitively, on an outcome that is not known, and that are
    // not cancelled otherwise.
    [[nodiscard]] std::unordered_set<std::string> undecided_jobs();
    // Returns the direct or transitive dependencies of these jobs that are not live and whose outcome decides
    // whether one of the jobs is cancelled.
    [[nodiscard]] std::vector<std::string> unresolved_dependencies_of(const std::vector<std::string>& ids);
    // Sends a request if the last one was sent more than half an agent lease ago, so that the store still
    // keeps the changes since the revision of the copy. Must be called regularly. Does nothing before the
    // first read.
    void refresh_if_stale();

    // Returns a job as of the last answer of the key-value store, null if it was not live then. The pointer
    // is valid until the next answer. A cancelled job stays cancelled.
    [[nodiscard]] const LiveJob* cached(const std::string& id) const;
    [[nodiscard]] std::size_t size() const { return jobs_.size(); }
    // Returns the number of calls of `read` since the process began.
    [[nodiscard]] std::uint64_t read_count() const { return read_count_; }
    // Returns the number of requests sent since the process began. A list counts as one request, whatever its
    // number of pages.
    [[nodiscard]] std::uint64_t request_count() const { return request_count_; }
    // Returns how many dependencies between jobs were examined since the process began.
    [[nodiscard]] std::uint64_t dependency_steps() const { return dependency_steps_; }

  private:
    // Read that waits for an answer of the key-value store.
    struct PendingRead {
        std::string id;
        ReadCallback done;
    };
    using Batch = std::vector<PendingRead>;
    void send_request();
    void schedule_request();
    void read_all(Batch batch);
    void read_changes(Batch batch);
    void read_final_records(Batch batch, std::uint64_t since);
    void answer(const Batch& batch, bool ok);

    void apply_entry(const std::string& key, std::uint64_t version, const std::string* value);
    void remove(const std::string& id);
    void cancel_dependents(const std::string& id);

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    FinalRecordCallback on_final_record_;
    std::unordered_map<std::string, LiveJob> jobs_;
    jobs::DependencyGraph dependencies_;
    std::uint64_t revision_ = 0;  // revision of the copy; 0 if all jobs must be listed first
    std::uint64_t read_count_ = 0, request_count_ = 0, dependency_steps_ = 0;
    Batch pending_reads_;
    bool request_in_flight_ = false, request_scheduled_ = false;
    std::optional<double> last_request_at_;    // steady seconds
    std::size_t removed_by_last_changes_ = 0;  // jobs that the last watch response removed
};

}  // namespace coralhitch::api
