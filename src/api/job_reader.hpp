// Reads the state of single jobs from the key-value store, for users' queries and for submissions.
//
// A job moves in one direction only, from live to final, in one transaction. The live jobs are therefore read
// first and the final record after them: a job found in neither had not been accepted when the reads began.
//
// Reads share requests. When each query caused a read of its own, users who queried eight times as often used
// up the request limit of the key-value store, and half of them got no answer. A result is never older than
// the call of `read`, except for final states, which never change.
//
// All functions and callbacks run on the event loop's thread.
#pragma once
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "api/live_jobs.hpp"
#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

// Result if the key-value store did not answer or its answer can't be parsed. The job's state is not known.
struct ReadFailed {};
// Result if the job was never accepted.
struct UnknownJob {};
// Result of a read: the live job or its final record, if the job was accepted.
using JobReadResult = std::variant<ReadFailed, UnknownJob, LiveJob, protocol::FinalRecord>;

// Reads jobs and keeps the final records that it read in memory. The constructor's arguments must outlive it.
class JobReader {
  public:
    using Callback = std::function<void(JobReadResult)>;

    JobReader(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings);
    // Reads the state of a job. `priority` applies to the requests for final records: submissions pass their
    // own, so that they do not wait behind queries.
    void read(const std::string& id, const Callback& done,
              kv::RequestPriority priority = kv::RequestPriority::read);
    // Reads the final record only. `UnknownJob` then means that there is no final record; the job may be
    // live.
    void read_final(const std::string& id, Callback done,
                    kv::RequestPriority priority = kv::RequestPriority::read);

    // Returns the final record of a job if it is in memory, and null otherwise. The pointer is valid until
    // the next final record is read.
    [[nodiscard]] const protocol::FinalRecord* cached_final_record(const std::string& id) const;
    // Returns whether memory holds the job as live or ended. It sends no request, so false does not mean that
    // the job was never accepted.
    [[nodiscard]] bool is_known_accepted(const std::string& id) const;
    LiveJobs& live_jobs() { return live_jobs_; }

  private:
    // Read of one final record that is in flight.
    struct FinalRead {
        std::vector<Callback> waiting;  // callbacks that were added before the request was sent
        std::vector<Callback> joined;   // callbacks that were added while the request was in flight
    };
    // Read of one job that needs the outcomes of dependencies.
    struct UndecidedRead {
        std::string id;
        Callback done;
        kv::RequestPriority priority;
        int attempt;
    };
    using UndecidedReads = std::vector<UndecidedRead>;
    // The reads of one batch that wait for outcomes, which are read together.
    struct Resolution {
        UndecidedReads reads;
        std::size_t outstanding_reads = 0;  // of final records
        bool repeat_scheduled = false;
    };
    void read_attempt(const std::string& id, const Callback& done, kv::RequestPriority priority, int attempt);
    void resolve_later(UndecidedRead read);
    void resolve_dependencies(const UndecidedReads& reads);
    void repeat_decided_later(const std::shared_ptr<Resolution>& resolution);
    void repeat_decided(Resolution& resolution);
    void repeat_reads(const UndecidedReads& reads);
    void send_final_read(const std::string& id, kv::RequestPriority priority);
    JobReadResult parse_final(const std::string& id, const kv::GetResult& result);
    void cache_final_record(const std::string& id, const protocol::FinalRecord& record);

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    LiveJobs live_jobs_;
    std::unordered_map<std::string, protocol::FinalRecord> final_records_;
    std::deque<std::string> final_record_order_;  // ids in `final_records_`, the oldest entry first
    std::unordered_map<std::string, FinalRead> final_reads_;  // reads in flight, by job
    UndecidedReads undecided_reads_;                          // whose dependencies are resolved next
};

}  // namespace coralhitch::api
