// The specs of jobs, fetched once for all workers of a process.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "scale/config/experiment.hpp"
#include "scale/workers/task_spec.hpp"

namespace coralhitch::scale {

class TaskSpecCache {
  public:
    using Found = std::function<void(const TaskSpec*)>;

    // Both must outlive this.
    TaskSpecCache(http::Client& http, const Experiment& experiment) : http_(http), experiment_(experiment) {}

    // Calls `found` now or later; with nullptr if the load process knows of no such job.
    void find(const std::string& job, Found found);

  private:
    void on_answer(const std::string& job, const std::optional<http::Response>& response);

    http::Client& http_;
    const Experiment& experiment_;
    std::map<std::string, TaskSpec> specs_;
    std::map<std::string, std::vector<Found>> waiting_;
};

}  // namespace coralhitch::scale
