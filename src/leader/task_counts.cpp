#include "leader/task_counts.hpp"

namespace coralhitch::leader {

namespace {
api::TaskCounts count(LeaderState& state, const std::string& id, const jobs::JobEntry& job) {
    api::TaskCounts counts{job.done_count, 0};
    for (auto& [task, active] : job.active) {
        auto* machine = state.cluster.find(active.machine);
        if (!machine) continue;
        auto instance = machine->tasks.find({id, task});
        if (instance != machine->tasks.end() && instance->second.running_since.has_value()) ++counts.running;
    }
    return counts;
}
}  // namespace

std::optional<api::TaskCounts> task_counts(LeaderState& state, const std::string& id) {
    auto* job = state.jobs.find(id);
    return job ? std::optional(count(state, id, *job)) : std::nullopt;
}

std::vector<protocol::PeerTaskCounts> all_task_counts(LeaderState& state) {
    std::vector<protocol::PeerTaskCounts> all;
    for (auto& [id, job] : state.jobs.entries()) {
        auto counts = count(state, id, job);
        if (counts.done + counts.running > 0) all.push_back({id, counts.done, counts.running});
    }
    return all;
}

}  // namespace coralhitch::leader
