#include "cluster/team_usage.hpp"

#include <algorithm>
#include <utility>

namespace coralhitch::cluster {

namespace {
// Returns the free resources of the machine, at least zero. On a machine of unknown type the total is zero,
// so the free resources are negative. Without the lower bound this reduced the computed usage of every team.
protocol::Resources left_on(const Machine& machine) {
    auto free = machine.free();
    return {std::max(0.0, free.cpus), std::max(0.0, free.gpus), std::max(0.0, free.memory_gb)};
}
}  // namespace

void TeamUsage::add(const Machine& machine) {
    bool any_unknown = false;
    for (auto& [task, instance] : machine.tasks) {
        if (!instance.spec) {
            any_unknown = true;
            continue;
        }
        auto& usage = usage_of_job_[instance.spec.get()];
        if (!usage) usage = &used_[instance.spec->team];
        *usage += instance.spec->request;
    }
    // A task that was started twice by different leaders may outlive the record of its completed job. A new
    // leader then did not count it against any team, and started tasks up to the team's full limit beside it.
    // Instances of unknown jobs are assumed to use everything that is free on the machine, which is the most
    // they can use.
    if (any_unknown) by_unknown_jobs_ += left_on(machine);
}

UsageByTeam TeamUsage::of(const std::vector<config::Team>& teams) {
    for (auto& team : teams) used_[team.name] += by_unknown_jobs_;
    return std::move(used_);
}

UsageByTeam team_usage(const ClusterState& cluster_state, const std::vector<config::Team>& teams) {
    TeamUsage usage;
    for (auto& [id, machine] : cluster_state.machines()) usage.add(machine);
    return usage.of(teams);
}

}  // namespace coralhitch::cluster
