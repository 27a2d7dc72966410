// What a new leader may do before all machines are reconciled, and which silence counts against machines.
#include "failover/reconciliation.hpp"

#include <gtest/gtest.h>

#include "protocol/model.hpp"

namespace coralhitch::failover {
namespace {

// Silence counts against a machine only while its leader keeps up with the heartbeats.
TEST(Reconciliation, CountsSilenceOnlyWhileTheLeaderKeepsUp) {
    struct Case {
        const char* name;
        double reconciled_every, answers_after;  // 0: none is reconciled any more; -1: no answers
        double counted;                          // of the last machine's silence, 20 s after it was asked
    };
    const double report = 4;
    const Case cases[] = {
        {"nothing arrives", 0, -1, 20},
        {"the others are reconciled one after the other", 0.4, 0.01, 0},
        {"none is reconciled any more, answers come at once", 0, 0.01, 20},
        {"answers come late: they waited here", 0, 1.5, 0},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<protocol::MachineType> types;
        cluster::ClusterState cluster_state(protocol::LeaderVersion{7}, types);
        Reconciliation reconciliation(cluster_state, report);
        for (int k = 0; k < 60; ++k) {
            auto id = "vm-" + std::to_string(100 + k);
            cluster_state.add(id, "a:1", "g", "z", false, cluster::Machine::Lifecycle::up, 0)
                .first_probed_at = 0;
            reconciliation.expect(id);
        }
        double next = c.reconciled_every;
        int reconciled = 100;
        for (double t = 0; t <= 20; t += 0.5) {
            for (; next > 0 && next <= t; next += c.reconciled_every)
                cluster_state.find("vm-" + std::to_string(reconciled++))->reconciled = true;
            if (c.answers_after >= 0) reconciliation.record_answer(c.answers_after, t);
            reconciliation.tick(t, 0.7);
        }
        EXPECT_NEAR(reconciliation.attributable_silence_s(*cluster_state.find("vm-159"), 20), c.counted, 1);
        EXPECT_FALSE(reconciliation.placement_allowed());
        EXPECT_FALSE(reconciliation.complete());
    }
}

// A few machines whose tasks are known don't hold up what depends on the others' free resources; one that is
// unknown does.
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
        for (int k = 0; k < 64; ++k) {
            auto id = "vm-" + std::to_string(100 + k);
            auto& machine = cluster_state.add(id, "a:1", "g", "z", false, cluster::Machine::Lifecycle::up, 0);
            machine.reconciled = k >= c.left;
            machine.known_from_replica = c.known;
            reconciliation.expect(id);
        }
        reconciliation.tick(1, 0.7);
        EXPECT_EQ(reconciliation.complete(), c.complete);
    }
}

}  // namespace
}  // namespace coralhitch::failover
