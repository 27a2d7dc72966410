// Which jobs are live, as the key-value store says at the time of each read; many reads share one request.
//
// A copy of the live jobs is kept at some revision. A read is answered only after a request to the key-value
// store that was sent after the read came in: a watch that does not wait returns all changes since that
// revision, or shows that there are none. Reads that come while a request is in flight go with the next one.
//
// A job is cancelled with any of its direct or transitive dependencies. That is derived here from what is
// stored, without waiting for a leader to store it for each dependent: while there is no leader, or the
// key-value store takes no writes, users must not be told for longer than the platform allows that such a job
// is still queued.
//
// All functions and callbacks run on the event loop's thread.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "jobs/dependency_graph.hpp"
#include "kv/kv_client.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

struct LiveJob {
    std::uint64_t version = 0;              // of its live record
    bool cancelled = false;                 // itself, or through a dependency
    std::vector<std::string> dependencies;  // those not known to be done
};

class LiveJobs {
  public:
    struct ReadResult {
        bool ok = false;              // false: the key-value store did not answer, and nothing is known
        std::optional<LiveJob> live;  // empty if the job is not live
        // Direct or transitive dependencies that are not live and whose outcome decides whether this job is
        // cancelled. They are to be reported with `apply_outcome`, and the job read again.
        std::vector<std::string> unresolved_dependencies;
    };
    using ReadCallback = std::function<void(ReadResult)>;
    // A final record, as stored. Called before the reads are answered that brought it.
    using FinalRecordCallback = std::function<void(const std::string& id, const std::string& record)>;

    // Without `on_final_record`, final records are not requested.
    LiveJobs(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
             FinalRecordCallback on_final_record = {});
    void read(const std::string& id, ReadCallback done);
    // How a job ended, which never changes.
    void apply_outcome(const std::string& id, protocol::JobState state);
    // To be called regularly: sends a request if none was sent for long, so that the revision does not become
    // too old to be watched from.
    void refresh_if_stale();

    // As of the last answer; null if the job was not live then. A cancelled job stays cancelled.
    [[nodiscard]] const LiveJob* cached(const std::string& id) const;
    [[nodiscard]] std::size_t size() const { return jobs_.size(); }
    // Reads, and requests sent for them, so far.
    [[nodiscard]] std::uint64_t read_count() const { return read_count_; }
    [[nodiscard]] std::uint64_t request_count() const { return request_count_; }

  private:
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
    void answer(Batch batch, bool ok);

    void apply_entry(const std::string& key, std::uint64_t version, const std::string* value);
    void remove(const std::string& id);
    void cancel_dependents(const std::string& id);
    std::vector<std::string> unresolved_dependencies_of(const std::string& id) const;

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    FinalRecordCallback on_final_record_;
    std::unordered_map<std::string, LiveJob> jobs_;
    jobs::DependencyGraph dependencies_;
    std::uint64_t revision_ = 0;  // of the copy; 0: all jobs must be listed first
    std::uint64_t read_count_ = 0, request_count_ = 0;
    Batch pending_reads_;
    bool request_in_flight_ = false, request_scheduled_ = false;
    std::optional<double> last_request_at_;  // steady seconds
    std::size_t removed_by_last_changes_ = 0;
};

}  // namespace coralhitch::api
