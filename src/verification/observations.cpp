#include "verification/observations.hpp"

#include <algorithm>
#include <unordered_set>

namespace coralhitch::verification {
namespace {

constexpr double max_tasks_per_job = 100'000;

// Returns how often the request fits, at most max_tasks_per_job.
double free_slots(double free, double request) {
    constexpr double rounding = 1e-9;
    return request > 0 ? std::clamp((free + rounding) / request, 0.0, max_tasks_per_job) : max_tasks_per_job;
}
}  // namespace

bool ObservedJob::is_done() const {
    bool gang = job.kind == protocol::JobKind::gang;
    return gang ? !tasks_done.empty() : tasks_done.size() >= job.tasks;
}

ObservedJob& Observations::add_job(const protocol::Job& job) {
    auto& observed = jobs_[job.id];
    observed.job = job;
    return observed;
}
ObservedJob* Observations::find(const std::string& job) {
    auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}
const ObservedJob* Observations::find(const std::string& job) const {
    auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}
bool Observations::is_done(const std::string& job) const {
    auto* observed = find(job);
    return observed && observed->is_done();
}
std::vector<const ObservedJob*> Observations::dependencies_of(const std::string& job) const {
    std::vector<const ObservedJob*> found, unvisited;
    std::unordered_set<std::string> known;
    if (auto* observed = find(job)) unvisited.push_back(observed);
    while (!unvisited.empty()) {
        auto* dependent = unvisited.back();
        unvisited.pop_back();
        for (auto& id : dependent->job.dependencies) {
            auto* dependency = find(id);
            if (!dependency || !known.insert(id).second) continue;
            found.push_back(dependency);
            unvisited.push_back(dependency);
        }
    }
    return found;
}
bool Observations::cancel_wanted(const std::string& job) const {
    auto* observed = find(job);
    if (!observed) return false;
    auto dependencies = dependencies_of(job);
    return observed->cancel_requested ||
           std::any_of(dependencies.begin(), dependencies.end(),
                       [](auto* dependency) { return dependency->cancel_requested; });
}
std::optional<double> Observations::dependency_cancelled_at(const std::string& job) const {
    std::optional<double> first;
    for (auto* dependency : dependencies_of(job)) {
        auto& time = dependency->cancelled_at;
        if (dependency->cancel_requested && time && (!first || *time < *first)) first = *time;
    }
    return first;
}

void Observations::add_task(ObservedJob& job, std::uint32_t index, const std::string& machine) {
    job.machines_of_task.emplace(index, machine);
    ++job.tasks_per_zone[machines_[machine].zone];
    tasks_of_machine_[machine].insert({job.job.id, index});
    used_by_team_[job.job.team] += job.job.request;
    ++tasks_on_machines_;
}
void Observations::remove_task(ObservedJob& job, std::uint32_t index, const std::string& machine) {
    auto [begin, end] = job.machines_of_task.equal_range(index);
    auto there = std::find_if(begin, end, [&machine](auto& entry) { return entry.second == machine; });
    if (there == end) return;
    job.machines_of_task.erase(there);
    --job.tasks_per_zone[machines_[machine].zone];
    tasks_of_machine_[machine].erase({job.job.id, index});
    used_by_team_[job.job.team] -= job.job.request;
    --tasks_on_machines_;
}
void Observations::remove_tasks_of(const std::string& machine) {
    auto tasks = tasks_of_machine_[machine];
    for (auto& task : tasks) remove_task(jobs_.at(task.job), task.index, machine);
    tasks_of_machine_.erase(machine);
}

std::size_t Observations::free_slots_for(const protocol::Job& job, const std::string& machine) const {
    auto known = machines_.find(machine);
    if (known == machines_.end()) return 0;
    auto free = known->second.capacity;
    if (auto tasks = tasks_of_machine_.find(machine); tasks != tasks_of_machine_.end())
        for (auto& task : tasks->second) free -= jobs_.at(task.job).job.request;
    double fewest =
        std::min({free_slots(free.cpus, job.request.cpus), free_slots(free.gpus, job.request.gpus),
                  free_slots(free.memory_gb, job.request.memory_gb)});
    return static_cast<std::size_t>(fewest);
}
protocol::Resources Observations::used_by(const std::string& team) const {
    auto used = used_by_team_.find(team);
    return used == used_by_team_.end() ? protocol::Resources{} : used->second;
}

}  // namespace coralhitch::verification
