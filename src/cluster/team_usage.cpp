#include "cluster/team_usage.hpp"

#include <algorithm>
#include <utility>

namespace coralhitch::cluster {

namespace {
// On a machine whose type is not known, its instances seem to take more than there is: as a negative number,
// that lowered what every team was thought to use.
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
    // Tasks of a job that was done, started twice by leaders that did not know it, outlive its record. The
    // next leader counted them for nobody, and filled the team's limit once more beside them. They take no
    // more than the machine has left.
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
