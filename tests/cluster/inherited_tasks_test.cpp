// Tasks that a new leader knows from its replica only.
#include <gtest/gtest.h>

#include "cluster/cluster_state.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {
namespace {

// What the leader before knew stays on the machine until a report under the new token shows otherwise.
TEST(ClusterState, KeepsInheritedTasksUntilProvenEnded) {
    struct Case {
        const char* name;
        std::uint64_t agent_epoch;
        protocol::FencingToken token;
        bool shown;
        std::size_t left, ends;
    };
    const protocol::FencingToken mine{7ull << ClusterState::token_bits}, before{mine.value() - 5};
    const Case cases[] = {
        {"a report from before the takeover does not show it: its `run` may come yet", 3, before, false, 1,
         0},
        {"one under the new token does not show it", 3, mine, false, 0, 1},
        {"one under the new token shows it", 3, mine, true, 1, 0},
        {"a later session: all of the old one was killed", 4, before, false, 0, 1},
        {"a report of an earlier session came late", 2, mine, false, 1, 0},
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
        auto heard = cluster_state.apply_heartbeat(heartbeat, HeartbeatChannel::heartbeat, 1,
                                                   [&](auto&) { return spec; });
        EXPECT_EQ(machine.tasks.size(), c.left);
        EXPECT_EQ(heard.ends.size(), c.ends);
        EXPECT_TRUE(heard.found_instances.empty());
    }
}

}  // namespace
}  // namespace coralhitch::cluster
