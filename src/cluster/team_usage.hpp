// What the teams use, by the cluster state. Pure.
#pragma once
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "config/settings.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {

// Resources by team: the sum of what its instances take, until each is proven terminated.
using UsageByTeam = std::map<std::string, protocol::Resources>;

// The sum, machine by machine, for a caller that walks the machines anyway. The jobs' specs must outlive it.
class TeamUsage {
  public:
    void add(const Machine& machine);
    // Once, at the end. An instance of an unknown job may be of any team, so it counts against each of these.
    UsageByTeam of(const std::vector<config::Team>& teams);

  private:
    UsageByTeam used_;
    protocol::Resources by_unknown_jobs_;
    std::unordered_map<const protocol::Job*, protocol::Resources*>
        usage_of_job_;  // that of the job's team, without looking up the name for each instance
};

UsageByTeam team_usage(const ClusterState& cluster_state, const std::vector<config::Team>& teams);

}  // namespace coralhitch::cluster
