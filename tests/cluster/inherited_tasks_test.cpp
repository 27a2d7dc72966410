// Tests tasks that a new leader knows only from its replica.
#include <gtest/gtest.h>

#include "cluster/cluster_state.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {
namespace {

// A task that the previous leader replicated stays on record until there is evidence that it has terminated.
// A heartbeat without the task is evidence only under the new leader's token, because a `run` of the previous
// leader may still arrive before.
TEST(ClusterState, KeepsInheritedTasksUntilEvidenceOfTermination) {
    struct Case {
        const char* name;
        std::uint64_t agent_epoch;
        protocol::FencingToken token;
        bool shown;
        std::size_t left, ends;
    };
    const protocol::FencingToken first_token{7ull << ClusterState::token_bits},
        earlier_token{first_token.value() - 5};
    const Case cases[] = {
        {"a heartbeat from before the failover does not show it: its `run` may still arrive", 3,
         earlier_token, false, 1, 0},
        {"a heartbeat under the new token does not show it", 3, first_token, false, 0, 1},
        {"a heartbeat under the new token shows it", 3, first_token, true, 1, 0},
        {"a later agent epoch: all tasks of the old one were killed", 4, earlier_token, false, 0, 1},
        {"a delayed heartbeat of an earlier agent epoch", 2, first_token, false, 1, 0},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<protocol::MachineType> types;
        ClusterState cluster_state(protocol::LeaderVersion{7}, types);
        auto& machine = cluster_state.add("vm-1", "a:1", "g", "z", false, Machine::Lifecycle::up, 0);
        machine.known_from_replica = true;
        machine.registration = Machine::Registration::stored;
        machine.agent_epoch = protocol::AgentEpoch{3};
        auto spec = std::make_shared<protocol::Job>();
        spec->id = "j-1";
        cluster_state.place_from_replica(machine, {"j-1", 0}, spec, protocol::AttemptNumber{11}, 0);
        protocol::Heartbeat heartbeat;
        heartbeat.machine = "vm-1";
        heartbeat.agent_epoch = protocol::AgentEpoch{c.agent_epoch};
        heartbeat.sequence = protocol::SequenceNumber{20};
        heartbeat.token = c.token;
        if (c.shown)
            heartbeat.tasks.push_back({{"j-1", 0},
                                       protocol::AttemptNumber{11},
                                       protocol::TaskState::running,
                                       protocol::ExitCause::none,
                                       false});
        auto outcome = cluster_state.apply_heartbeat(heartbeat, HeartbeatChannel::heartbeat, 1,
                                                     [&](auto&) { return spec; });
        EXPECT_EQ(machine.tasks.size(), c.left);
        EXPECT_EQ(outcome.ends.size(), c.ends);
        EXPECT_TRUE(outcome.found_instances.empty());
    }
}

}  // namespace
}  // namespace coralhitch::cluster
