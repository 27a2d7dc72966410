// Caches the specs of jobs, so that each is fetched once for all workers of a process.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "scale/config/experiment.hpp"
#include "scale/workers/task_spec.hpp"

namespace coralhitch::scale {

// Fetches specs from the load process. Only found specs are cached.
class TaskSpecCache {
  public:
    using Found = std::function<void(const TaskSpec*)>;

    // Both must outlive this.
    TaskSpecCache(http::Client& http, const Experiment& experiment) : http_(http), experiment_(experiment) {}

    // Calls `found` with the job's spec, either before this returns or when the load process has answered.
    // Passes nullptr if the load process has no such job or does not answer.
    void find(const std::string& job, Found found);

  private:
    void on_answer(const std::string& job, const std::optional<http::Response>& response);

    http::Client& http_;
    const Experiment& experiment_;
    std::map<std::string, TaskSpec> specs_;
    std::map<std::string, std::vector<Found>> waiting_;
};

}  // namespace coralhitch::scale
