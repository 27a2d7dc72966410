#include "scale/workers/task_spec_cache.hpp"

#include <utility>

#include "scale/process/control_server.hpp"

namespace coralhitch::scale {

void TaskSpecCache::find(const std::string& job, Found found) {
    if (auto it = specs_.find(job); it != specs_.end()) return found(&it->second);
    auto& waiting = waiting_[job];
    waiting.push_back(std::move(found));
    if (waiting.size() > 1) return;
    http_.send(experiment_.load_control_addr(), {"GET", std::string(control_paths::task_spec) + job, {}},
               control_timeout_s,
               [this, job](const std::optional<http::Response>& response) { on_answer(job, response); });
}

void TaskSpecCache::on_answer(const std::string& job, const std::optional<http::Response>& response) {
    const TaskSpec* spec = nullptr;
    if (response && response->status == 200)
        spec = &(specs_[job] = spec_from_json(nlohmann::json::parse(response->body)));
    auto waiting = std::move(waiting_[job]);
    waiting_.erase(job);
    for (auto& found : waiting) found(spec);
}

}  // namespace coralhitch::scale
