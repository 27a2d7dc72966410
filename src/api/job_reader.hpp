// Reads of one job's state from the key-value store, for users' queries and for submissions.
//
// A job moves in one direction only, from live to final, in one transaction. So the live jobs are read first
// and the final record then: a job found in neither had not been accepted when the reads began.
//
// Reads are shared: with one read for each question, users who asked eight times as often used up the
// requests that the key-value store allows, and half of them got no answer. No answer is older than its
// question, except for final states, which never change.
//
// All functions and callbacks run on the event loop's thread.
#pragma once
#include <cstddef>
#include <deque>
#include <functional>
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

// The key-value store did not answer, or its answer can't be read: nothing is known.
struct ReadFailed {};
// The job was never accepted.
struct UnknownJob {};
using JobReadResult = std::variant<ReadFailed, UnknownJob, LiveJob, protocol::FinalRecord>;

class JobReader {
  public:
    using Callback = std::function<void(JobReadResult)>;

    JobReader(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings);
    // Reads the state of a job. Reads for submissions have the priority of these, and do not wait behind
    // queries.
    void read(const std::string& id, const Callback& done,
              kv::RequestPriority priority = kv::RequestPriority::read);
    // Reads the final record only. `UnknownJob` says that there is none: the job may be live.
    void read_final(const std::string& id, Callback done,
                    kv::RequestPriority priority = kv::RequestPriority::read);

    // From memory; null if not there.
    [[nodiscard]] const protocol::FinalRecord* cached_final(const std::string& id) const;
    // Whether the job is known from memory to have been accepted.
    [[nodiscard]] bool is_known_accepted(const std::string& id) const;
    LiveJobs& live_jobs() { return live_jobs_; }

  private:
    struct FinalRead {
        std::vector<Callback> waiting;  // since before the request was sent
        std::vector<Callback> joined;   // while it was in flight
    };
    void read_attempt(const std::string& id, const Callback& done, kv::RequestPriority priority, int attempt);
    void resolve_dependencies(const std::string& id, const std::vector<std::string>& dependencies,
                              const Callback& done, kv::RequestPriority priority, int attempt);
    void send_final_read(const std::string& id, kv::RequestPriority priority);
    JobReadResult parse_final(const std::string& id, const kv::GetResult& result);
    void cache_final(const std::string& id, const protocol::FinalRecord& record);

    kv::KvClient& kv_;
    const config::Settings& settings_;
    LiveJobs live_jobs_;
    std::unordered_map<std::string, protocol::FinalRecord> finals_;
    std::deque<std::string> finals_order_;                    // ids in `finals_`, the oldest entry first
    std::unordered_map<std::string, FinalRead> final_reads_;  // in flight, by job
};

}  // namespace coralhitch::api
