// What the leader writes about jobs at the key-value store: progress blocks and final records. Reads back
// what became of a write whose answer was lost.
//
// Owns the bookkeeping of writes in flight. Changes of the state: `write_in_flight`, `write_retry_at`,
// `unstored_tasks` and `block_versions` of a job's entry; a job leaves the table once its end is stored;
// workers may then be told to forget its tasks. Used by the event loop's thread alone.
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

// Writes jobs' progress and ends to the key-value store.
class JobStore : private LeaderPart {
  public:
    struct Callbacks {
        ApplyJobRecord take_record;
        std::function<void()> request_plan;
        // Whether it is known of each machine what may be on it (see Reconciliation).
        std::function<bool()> may_place;
    };
    JobStore(const PartContext& context, kv::KvClient& kv, StaleKeyRemover& stale_keys,
             metrics::Metrics& metrics, Callbacks callbacks);

    // Writes what is due a little later, together with what else comes until then.
    void request_store();
    // Writes what is due now: ends of jobs that are done, progress, ends of cancelled jobs, in this order.
    void store_due();
    // The live record of this job is not at the key-value store: its end may have been stored by a write of
    // this leader whose answer was lost. Reads the final record, and ends the job if there is one.
    void read_final_record(const std::string& id);

  private:
    using Ids = std::vector<std::string>;
    [[nodiscard]] int& ends_in_flight(protocol::JobState state) {
        return state == protocol::JobState::done ? done_in_flight_ : cancelled_in_flight_;
    }
    [[nodiscard]] std::size_t most_ends_per_transaction() const;
    void store_ends(const Ids& ids, protocol::JobState state);
    void write_ends(const Ids& ids, protocol::JobState state, kv::RequestPriority priority);
    void ends_answered(const Ids& ids, protocol::JobState state, const kv::TxnResult& result);
    void end_stored(const std::string& id, std::uint64_t revision, protocol::JobState state);

    // The progress of tasks, and the blocks that hold it.
    struct ProgressWrite {
        std::set<std::uint32_t> tasks;
        std::set<std::string> blocks;
    };
    [[nodiscard]] ProgressWrite next_progress(const jobs::JobEntry& job) const;
    void write_progress(const std::string& id, jobs::JobEntry& job);
    void progress_stored(const std::string& id, const ProgressWrite& written, std::uint64_t revision);

    void write_failed(const std::string& id, const kv::TxnResult& result);
    void read_job_record(const std::string& id);
    void read_block_version(const std::string& id, const std::string& block);

    kv::KvClient& kv_;
    StaleKeyRemover& stale_keys_;
    metrics::Metrics& metrics_;
    Callbacks callbacks_;
    bool store_requested_ = false;
    int done_in_flight_ = 0, cancelled_in_flight_ = 0;  // transactions that store ends of such jobs
    bool ends_deferred_ = false;                        // until one of these is answered
};

}  // namespace coralhitch::leader
