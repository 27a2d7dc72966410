// What the teams use, by the cluster state. Pure.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "config/settings.hpp"

namespace coralhitch::cluster {

// The sum, machine by machine.
class Usage {
  public:
    void add(const Machine& m);
    std::map<std::string, protocol::Resources> of(
        const std::vector<config::Team>& teams);  // once, at the end

  private:
    std::map<std::string, protocol::Resources> used_;
    protocol::Resources unknown_;
    std::unordered_map<const protocol::Job*, protocol::Resources*>
        team_;  // a job's team, without its name for each task
};

// By team: the sum of what its tasks take, until each is proven gone. A task of a job that nobody knows any
// more may be of any team, so it counts against each.
std::map<std::string, protocol::Resources> team_used(const ClusterState& cluster_state,
                                                     const std::vector<config::Team>& teams);

// What became of the teams' tasks, since it was last told.
class TeamActivity {
  public:
    void started(const std::string& team) { ++teams_[team].started; }
    void done(const std::string& team, std::size_t tasks) { teams_[team].done += tasks; }
    void stopped(const std::string& team) { ++teams_[team].stopped; }  // for others, or lost with a machine
    // "a 5 started 4 done 0 stopped, b ..."; nothing if nothing has happened. Begins anew.
    std::string tell();

  private:
    struct Team {
        std::size_t started = 0, done = 0, stopped = 0;
    };
    std::map<std::string, Team> teams_;
};

}  // namespace coralhitch::cluster
