// Finds out how dependencies that are no longer live have ended. Only the final record of a job says whether
// it was done. A missing live record is no evidence of that, since the job may have been cancelled.
//
// DependencyResolver owns the reads in flight. It records the ends in the job table, whose DependencyGraph
// releases or cancels the dependents.
//
// Runs on the event loop's thread.
#pragma once
#include <functional>
#include <set>
#include <string>

#include "kv/kv_client.hpp"
#include "leader/job_store.hpp"
#include "leader/leader_part.hpp"

namespace coralhitch::leader {

// Reads the final records of dependencies that are no longer live.
class DependencyResolver : private LeaderPart {
  public:
    DependencyResolver(const PartContext& context, kv::KvClient& kv, JobStore& store,
                       std::function<void()> request_plan);

    // Reads the final records of dependencies whose end is not known, a few at a time. Skips those that have
    // been read since the last `retry`.
    void resolve();
    // Reads the final records of all dependencies whose end is not known, a few at a time. Called each tick.
    void retry();

  private:
    void handle_answer(const std::string& id, const kv::GetResult& result);

    kv::KvClient& kv_;
    JobStore& store_;
    std::function<void()> request_plan_;
    std::set<std::string> in_flight_;
    std::set<std::string> tried_;  // ids of the jobs whose final record was read since the last `retry`
};

}  // namespace coralhitch::leader
