// Writes what the leader stores about jobs in the key-value store: progress blocks and final records. When
// the answer to a write is lost, reads the records to find out whether the write was executed.
//
// JobStore owns the bookkeeping of writes in flight. It changes `write_in_flight`, `write_retry_at`,
// `unstored_tasks` and `block_versions` of a job's entry. Once the end of a job is stored, it removes the job
// from the job table and records in the cluster state that agents may forget its tasks.
//
// Runs on the event loop's thread.
#pragma once
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "kv/kv_client.hpp"
#include "leader/leader_part.hpp"
#include "leader/stale_key_remover.hpp"
#include "metrics/metrics.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {

// Writes the progress and the ends of jobs to the key-value store.
class JobStore : private LeaderPart {
  public:
    // Callbacks to other parts of the leader.
    struct Callbacks {
        ApplyJobRecord apply_record;
        std::function<void()> request_plan;
        // Returns whether this leader knows of each machine which tasks may be on it (see Reconciliation).
        // Until then no end of a cancelled job is stored.
        std::function<bool()> placement_allowed;
    };
    JobStore(const PartContext& context, kv::KvClient& kv, StaleKeyRemover& stale_keys,
             metrics::Metrics& metrics, Callbacks callbacks);

    // Schedules `store_due` after a short delay, so that changes made until then are written together.
    void request_store();
    // Writes everything that can be stored now: ends of jobs that are done, then progress, then ends of
    // cancelled jobs. Does nothing without authority.
    void store_due();
    // Reads the final record of a job whose live record is no longer in the key-value store, and ends the job
    // if there is one. Its end may have been stored by a write of this leader whose answer was lost.
    void read_final_record(const std::string& id);

  private:
    using Ids = std::vector<std::string>;
    [[nodiscard]] int& ends_in_flight(protocol::JobState state) {
        return state == protocol::JobState::done ? done_in_flight_ : cancelled_in_flight_;
    }
    [[nodiscard]] std::size_t max_ends_per_transaction() const;
    void store_ends(const Ids& ids, protocol::JobState state);
    void write_ends(const Ids& ids, protocol::JobState state, kv::RequestPriority priority);
    void handle_ends_result(const Ids& ids, protocol::JobState state, const kv::TxnResult& result);
    void handle_end_stored(const std::string& id, std::uint64_t revision, protocol::JobState state);

    // The tasks whose progress one transaction writes, and the names of the progress blocks that contain
    // them.
    struct ProgressWrite {
        std::set<std::uint32_t> tasks;
        std::set<std::string> blocks;
    };
    [[nodiscard]] ProgressWrite next_progress(const jobs::JobEntry& job) const;
    void write_progress(const std::string& id, jobs::JobEntry& job);
    void handle_progress_stored(const std::string& id, const ProgressWrite& written, std::uint64_t revision);

    void handle_write_failure(const std::string& id, const kv::TxnResult& result);
    void read_job_record(const std::string& id);
    void read_block_version(const std::string& id, const std::string& block);

    kv::KvClient& kv_;
    StaleKeyRemover& stale_keys_;
    metrics::Metrics& metrics_;
    Callbacks callbacks_;
    bool store_requested_ = false;
    int done_in_flight_ = 0, cancelled_in_flight_ = 0;  // transactions that store ends of such jobs
    bool ends_deferred_ = false;  // some ends wait until one of these transactions is answered
};

}  // namespace coralhitch::leader
