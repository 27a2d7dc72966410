// Keeps the leader's job table equal to the live jobs in the key-value store. Watches the jobs' records,
// applies cancellations that other controllers announce, and periodically compares the table with all stored
// jobs.
//
// JobWatcher owns the watch and the audit. It changes the job table. The tasks of a cancelled job are stopped
// through a callback.
//
// Runs on the event loop's thread. Takes LeaderState::mutex itself, except where a function says otherwise.
#pragma once
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kv/kv_client.hpp"
#include "kv/list_watch.hpp"
#include "leader/job_store.hpp"
#include "leader/leader_part.hpp"
#include "protocol/kv_api.hpp"

namespace coralhitch::leader {

// Watches the records of live jobs and audits the job table against them.
class JobWatcher : private LeaderPart {
  public:
    // Callbacks to other parts of the leader.
    struct Callbacks {
        // Stops all tasks of a job that was cancelled. Called with LeaderState::mutex held.
        std::function<void(const std::string& id, jobs::JobEntry& job)> cancel_active;
        // Called without the mutex after the watch has changed the job table.
        std::function<void()> jobs_changed;
        std::function<void()> request_plan;
    };
    JobWatcher(const PartContext& context, kv::KvClient& kv, JobStore& store, Callbacks callbacks);

    // Starts to watch for changes that follow a list of the jobs. `revision` is the revision of that list,
    // and `listed_at` the time at which its reading began, steady seconds.
    void start(std::uint64_t revision, double listed_at);
    // Returns the time, in steady seconds, such that all changes committed before it are in the job table.
    // Returns nothing before `start`.
    [[nodiscard]] std::optional<double> complete_until() const { return watch_.complete_until(); }

    // Applies a job's stored record of this version. Returns whether it changed the job table. A malformed
    // record is logged, and has an effect only if it says that the job is cancelled. The caller holds the
    // mutex.
    bool apply_record(const std::string& id, std::uint64_t version, const std::string& value);
    // Applies a cancellation that the job's record contains since this version. Returns whether that may have
    // stopped tasks, so that commands are due.
    [[nodiscard]] bool apply_cancellation(const std::string& id, std::uint64_t version);
    // Starts to compare the job table with all stored jobs, if the last audit is long enough ago and the
    // leader has the authority to act. Called each tick.
    void audit();

  private:
    void apply_changes(const std::vector<protocol::Event>& events, std::uint64_t complete_revision);
    void apply_list(const kv::ListResult& all);
    bool handle_malformed_record(const std::string& id, std::uint64_t version, const std::string& value,
                                 const char* error);
    void compare(const kv::ListResult& stored);
    [[nodiscard]] std::size_t apply_unknown(const kv::ListResult& stored, std::set<std::string>& ids);

    kv::KvClient& kv_;
    JobStore& store_;
    Callbacks callbacks_;
    bool auditing_ = false;
    double last_audit_ = 0;  // start of the last audit, or of the watch before the first one; steady seconds
    kv::ListWatch watch_;
};

}  // namespace coralhitch::leader
