// Finds out how jobs ended that others depend on and that are not live any more. Only their final record says
// whether they were done: a live record that is gone proves nothing, since the job may have been cancelled.
//
// Owns the reads in flight. Enters the ends in the job table, whose DependencyGraph releases or cancels the
// dependents. Used by the event loop's thread alone.
#pragma once
#include <functional>
#include <set>
#include <string>

#include "kv/kv_client.hpp"
#include "leader/job_store.hpp"
#include "leader/leader_part.hpp"

namespace coralhitch::leader {

// Reads the final records of dependencies that are not live any more.
class DependencyResolver : private LeaderPart {
  public:
    DependencyResolver(const PartContext& context, kv::KvClient& kv, JobStore& store,
                       std::function<void()> request_plan);

    // Reads the final records of dependencies whose end is not known, a few at a time, but for those that
    // were read since the last `retry`.
    void resolve();
    // The same for all of them. To be called each tick.
    void retry();

  private:
    void handle_answer(const std::string& id, const kv::GetResult& result);

    kv::KvClient& kv_;
    JobStore& store_;
    std::function<void()> request_plan_;
    std::set<std::string> in_flight_;
    std::set<std::string> tried_;  // since the last `retry`
};

}  // namespace coralhitch::leader
