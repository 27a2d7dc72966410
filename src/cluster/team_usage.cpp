#include "cluster/team_usage.hpp"

#include <algorithm>

namespace coralhitch::cluster {

namespace {
// Of a machine whose type is not known its tasks seem to take more than there is: as a negative number, that
// lowered what every team was thought to use.
protocol::Resources left_on(const Machine& m) {
    auto room = m.free();
    return {std::max(0.0, room.cpus), std::max(0.0, room.gpus), std::max(0.0, room.memory_gb)};
}
}  // namespace

void Usage::add(const Machine& m) {
    bool all_known = true;
    for (auto& [task, i] : m.tasks) {
        if (!i.spec) {
            all_known = false;
            continue;
        }
        auto& sum = team_[i.spec.get()];
        if (!sum) sum = &used_[i.spec->team];
        *sum += i.spec->request;
    }
    // Tasks of a job that was done, started twice by leaders that did not know it, outlive its record.
    // The next leader counted them for nobody, and filled the team's limit once more beside them. They
    // take no more than the machine has left.
    if (!all_known) unknown_ += left_on(m);
}
std::map<std::string, protocol::Resources> Usage::of(const std::vector<config::Team>& teams) {
    for (auto& t : teams) used_[t.name] += unknown_;
    return std::move(used_);
}
std::map<std::string, protocol::Resources> team_used(const ClusterState& cluster_state,
                                                     const std::vector<config::Team>& teams) {
    Usage used;
    for (auto& [id, m] : cluster_state.machines()) used.add(m);
    return used.of(teams);
}

std::string TeamActivity::tell() {
    std::string text;
    for (auto& [name, t] : std::exchange(teams_, {})) {
        if (!text.empty()) text += ", ";
        text += name + " " + std::to_string(t.started) + " started " + std::to_string(t.done) + " done " +
                std::to_string(t.stopped) + " stopped";
    }
    return text;
}

}  // namespace coralhitch::cluster
