// Computes the resources that each team uses from the cluster state.
#pragma once
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "config/settings.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {

// Resources by team name: the sum of the requests of the team's instances. An instance counts until there is
// evidence that it has terminated.
using UsageByTeam = std::map<std::string, protocol::Resources>;

// Adds up the usage machine by machine, for a caller that iterates over the machines anyway. The job specs of
// the added machines must outlive this object.
class TeamUsage {
  public:
    void add(const Machine& machine);
    // Returns the usage by team. Call once, after all machines were added. An instance of an unknown job may
    // belong to any team, so it counts against each of `teams`.
    UsageByTeam of(const std::vector<config::Team>& teams);

  private:
    UsageByTeam used_;
    protocol::Resources by_unknown_jobs_;
    // Maps a job to the entry of its team in `used_`, which saves a lookup by team name for each instance.
    std::unordered_map<const protocol::Job*, protocol::Resources*> usage_of_job_;
};

// Returns the usage by team over all machines of the cluster state.
UsageByTeam team_usage(const ClusterState& cluster_state, const std::vector<config::Team>& teams);

}  // namespace coralhitch::cluster
