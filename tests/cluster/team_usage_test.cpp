// Tests what counts against a team's limit, including instances of jobs that are no longer known.
#include "cluster/team_usage.hpp"

#include <gtest/gtest.h>

#include "protocol/model.hpp"

namespace coralhitch::cluster {
namespace {

// Instances may outlive the record of their job, so that a new leader cannot know their team. They count
// against the limit of each team, or a team could exceed its limit.
TEST(TeamUsage, CountsUnknownJobsAgainstEachTeam) {
    std::vector<protocol::MachineType> types(1);
    types[0].name = "g";
    types[0].capacity = {16, 4, 64};
    ClusterState cluster_state(protocol::LeaderVersion{7}, types);
    auto spec = std::make_shared<protocol::Job>();
    spec->id = "j-1";
    spec->team = "a";
    spec->request = {2, 1, 4};
    std::vector<config::Team> teams(2);
    teams[0].name = "a";
    teams[1].name = "b";
    auto& machine = cluster_state.add("vm-1", "a:1", "g", "z", false, Machine::Lifecycle::up, 0);
    cluster_state.place_from_replica(machine, {"j-1", 0}, spec, protocol::AttemptNumber{1}, 0);
    auto before = team_usage(cluster_state, teams);
    EXPECT_EQ(before["a"].gpus, 1);
    EXPECT_EQ(before["b"].gpus, 0);
    cluster_state.place_from_replica(machine, {"j-0", 5}, nullptr, protocol::AttemptNumber{1}, 0);
    auto after = team_usage(cluster_state, teams);
    EXPECT_EQ(after["a"].gpus, 4);
    EXPECT_EQ(after["b"].gpus, 3);
    EXPECT_EQ(after["b"].cpus, 14);
    cluster_state.remove_deleted("vm-1");
    EXPECT_EQ(team_usage(cluster_state, teams)["b"].gpus, 0);
}

// On a machine of unknown type the total is zero, so the free resources are negative beside a known task.
// They must not reduce the usage.
TEST(TeamUsage, IsNotLoweredByUnknownJobsOnMachineOfUnknownType) {
    ClusterState cluster_state(protocol::LeaderVersion{7}, {});
    auto spec = std::make_shared<protocol::Job>();
    spec->id = "j-1";
    spec->team = "a";
    spec->request = {2, 1, 4};
    std::vector<config::Team> teams(1);
    teams[0].name = "a";
    auto& machine = cluster_state.add("vm-1", "a:1", "g", "z", false, Machine::Lifecycle::up, 0);
    cluster_state.place_from_replica(machine, {"j-1", 0}, spec, protocol::AttemptNumber{1}, 0);
    cluster_state.place_from_replica(machine, {"j-0", 5}, nullptr, protocol::AttemptNumber{1}, 0);
    EXPECT_EQ(team_usage(cluster_state, teams)["a"].gpus, 1);
    EXPECT_EQ(team_usage(cluster_state, teams)["a"].cpus, 2);
}

}  // namespace
}  // namespace coralhitch::cluster
