// Tests what a new leader may do before all machines are reconciled, and which silence it attributes to
// machines.
#include "failover/reconciliation.hpp"

#include <gtest/gtest.h>

#include "protocol/model.hpp"

namespace coralhitch::failover {
namespace {

// A new leader with too little processor time leaves heartbeats unread for seconds, and once fenced healthy
// machines for it. So the silence of a machine counts only while the leader keeps up with the heartbeats.
TEST(Reconciliation, CountsSilenceOnlyWhileTheLeaderKeepsUp) {
    struct Case {
        const char* name;
        // Interval between two reconciled machines, 0 if none is reconciled; latency of answers, -1 if none
        // come.
        double reconciled_every_s, answer_latency_s;
        double attributed_s;  // silence of the last machine, 20 s after it was probed
    };
    const double heartbeat_interval_s = 4;
    const Case cases[] = {
        {"nothing arrives", 0, -1, 20},
        {"other machines are reconciled one after the other", 0.4, 0.01, 0},
        {"no machine is reconciled, and answers arrive at once", 0, 0.01, 20},
        {"answers are late because they waited in the leader", 0, 1.5, 0},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<protocol::MachineType> types;
        cluster::ClusterState cluster_state(protocol::LeaderVersion{7}, types);
        Reconciliation reconciliation(cluster_state, heartbeat_interval_s);
        for (int index = 0; index < 60; ++index) {
            auto id = "vm-" + std::to_string(100 + index);
            cluster_state.add(id, "a:1", "g", "z", false, cluster::Machine::Lifecycle::up, 0)
                .first_probed_at = 0;
            reconciliation.expect(id);
        }
        double next = c.reconciled_every_s;
        int reconciled = 100;
        for (double t = 0; t <= 20; t += 0.5) {
            for (; next > 0 && next <= t; next += c.reconciled_every_s)
                cluster_state.find("vm-" + std::to_string(reconciled++))->reconciled = true;
            if (c.answer_latency_s >= 0) reconciliation.record_answer(c.answer_latency_s, t);
            reconciliation.tick(t, 0.7);
        }
        EXPECT_NEAR(reconciliation.attributable_silence_s(*cluster_state.find("vm-159"), 20), c.attributed_s,
                    1);
        EXPECT_FALSE(reconciliation.placement_allowed());
        EXPECT_FALSE(reconciliation.complete());
    }
}

// Scale-out, scale-in and preemption need to know the free resources of most machines. They do not wait for
// the last few machines if their tasks are known from the replica, but do wait for a machine whose tasks are
// unknown.
TEST(Reconciliation, IsCompleteDespiteAFewKnownMachines) {
    struct Case {
        const char* name;
        int left;
        bool known, complete;
    };
    const Case cases[] = {{"a few, known", 3, true, true},
                          {"many, known", 8, true, false},
                          {"a few, not known", 3, false, false},
                          {"none", 0, false, true}};
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<protocol::MachineType> types;
        cluster::ClusterState cluster_state(protocol::LeaderVersion{7}, types);
        Reconciliation reconciliation(cluster_state, 4);
        for (int index = 0; index < 64; ++index) {
            auto id = "vm-" + std::to_string(100 + index);
            auto& machine = cluster_state.add(id, "a:1", "g", "z", false, cluster::Machine::Lifecycle::up, 0);
            machine.reconciled = index >= c.left;
            machine.known_from_replica = c.known;
            reconciliation.expect(id);
        }
        reconciliation.tick(1, 0.7);
        EXPECT_EQ(reconciliation.complete(), c.complete);
    }
}

}  // namespace
}  // namespace coralhitch::failover
