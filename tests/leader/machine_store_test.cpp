// Tests of MachineStore: no task may start on a machine before the machine's record is stored, since a later
// leader would not know of the task.
#include "leader/machine_store.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"

namespace coralhitch::leader {
namespace {

struct MachineStoreFixture : LeadingFixture {
    cluster::Machine& add_machine(std::uint64_t agent_epoch) {
        auto& machine = state->cluster.add("vm-1", "10.1.0.1:9", "g4", "a", false,
                                           cluster::Machine::Lifecycle::up, timers.now());
        machine.agent_epoch = protocol::AgentEpoch{agent_epoch};
        return machine;
    }
    int confirmed = 0;
    MachineStore store{*context, kv, [this] { ++confirmed; }};
};

TEST(MachineStore, MakesInstancesReadyOnceTheirMachineIsStored) {
    MachineStoreFixture fixture;
    auto& machine = fixture.add_machine(1);
    auto& job = fixture.add_job("j-1", 1);
    auto& instance =
        fixture.state->cluster.place(machine, {"j-1", 0}, job.spec, protocol::AttemptNumber{5}, 0);
    EXPECT_FALSE(instance.machine_stored);
    fixture.store.store_if_new(machine);
    EXPECT_TRUE(machine.registration == cluster::Machine::Registration::write_pending);
    EXPECT_FALSE(machine.is_stored());
    fixture.store.flush();
    fixture.wait(5);
    EXPECT_TRUE(machine.is_stored());
    EXPECT_TRUE(instance.machine_stored);
    EXPECT_EQ(fixture.confirmed, 1);
}

TEST(MachineStore, StoresOnlyMachinesThatHaveSentAStatusToThisLeader) {
    MachineStoreFixture fixture;
    auto& machine = fixture.add_machine(0);
    fixture.store.store_if_new(machine);
    EXPECT_FALSE(machine.registration == cluster::Machine::Registration::write_pending)
        << "its agent has sent no status";
    machine.agent_epoch = protocol::AgentEpoch{1};
    machine.token_seen =
        protocol::FencingToken{3};  // of an earlier leader: the machine may have been deleted since
    fixture.store.store_if_new(machine);
    EXPECT_FALSE(machine.registration == cluster::Machine::Registration::write_pending);
    machine.reported_to_this_leader = true;
    fixture.store.store_if_new(machine);
    EXPECT_TRUE(machine.registration == cluster::Machine::Registration::write_pending);
}

TEST(MachineStore, AllowsADeletionOnceItsMarkIsStored) {
    MachineStoreFixture fixture;
    auto& machine = fixture.add_machine(1);
    fixture.store.store_if_new(machine);
    fixture.store.flush();
    fixture.wait(5);
    ASSERT_TRUE(machine.is_stored());
    machine.lifecycle = cluster::Machine::Lifecycle::marked_for_deletion;
    fixture.store.update(machine.id);
    fixture.store.flush();
    EXPECT_FALSE(machine.deletion == cluster::Machine::Deletion::allowed);
    fixture.wait(5);
    EXPECT_TRUE(machine.deletion == cluster::Machine::Deletion::allowed);
}

}  // namespace
}  // namespace coralhitch::leader
