// Keeps the leader's job table equal to the live jobs at the key-value store: follows their records, takes in
// cancellations that other controllers report, and compares the table with all stored jobs now and then.
//
// Owns the watch and the audit. Changes the job table; what a cancelled job has on machines is stopped
// through a callback. Used by the event loop's thread alone.
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

// Follows the records of live jobs and audits the job table against them.
class JobWatcher : private LeaderPart {
  public:
    struct Callbacks {
        // Stops all tasks of a job that was cancelled. Called with the state's mutex held.
        std::function<void(const std::string& id, jobs::JobEntry& job)> cancel_active;
        // The watch brought something new.
        std::function<void()> jobs_changed;
        std::function<void()> request_plan;
    };
    JobWatcher(const PartContext& context, kv::KvClient& kv, JobStore& store, Callbacks callbacks);

    // Follows all changes after a list of the jobs: of that revision, read from that steady time on.
    void start(std::uint64_t revision, double listed_at);
    // Steady seconds: all changes that were committed before then are in the job table; nothing before
    // `start`.
    [[nodiscard]] std::optional<double> complete_until() const { return watch_.complete_until(); }

    // Takes in a job's stored record; whether it was news. With the state's mutex held.
    bool apply_record(const std::string& id, std::uint64_t version, const std::string& value);
    // The job's record says since this version that it is cancelled; whether tasks of it may have been
    // stopped by that, so that commands are due.
    [[nodiscard]] bool apply_cancellation(const std::string& id, std::uint64_t version);
    // Compares the table with what is stored, if the last time is long ago. To be called each tick.
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
    double last_audit_ = 0;  // steady seconds; before the first one, when the jobs were loaded
    kv::ListWatch watch_;
};

}  // namespace coralhitch::leader
