// Tests of MachineSupervisor: what counts as evidence that a machine's tasks have terminated, and when a
// machine is evicted.
#include "leader/machine_supervisor.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "leader/parts_fixture.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {
namespace {
using cluster::Machine;
using testing::IsEmpty;
using testing::SizeIs;

struct MachineSupervisorFixture : PartsFixture {
    // Adds machines that send heartbeats in every check. If only the silent machines of a test existed, the
    // leader would suspect that it is isolated itself.
    void add_healthy_machines(int count) {
        for (int index = 0; index < count; ++index)
            healthy.push_back(&add_reconciled_machine("ok-" + std::to_string(index)));
    }
    // Runs one check at this time, just after heartbeats of the healthy machines.
    bool check_at(double time) {
        timers.run_until(time);
        for (auto* machine : healthy) {
            machine->last_heartbeat_at = machine->lease_renewed_at = time;
            machine->reachability.record_heartbeat(true, time);
            machine->reachability.record_renewable_heartbeat(time);
            failure_detector.record_heartbeat(state->zone_of(*machine), time);
        }
        return supervisor.check();
    }
    // Returns the seconds from the last renewal to the time at which the agent's lease counts as expired.
    double expiry_s() const {
        return settings.lease_s * (1 + 2 * election::max_clock_drift) + settings.heartbeat_interval_s / 3;
    }
    std::vector<Machine*> healthy;
    std::optional<std::size_t> seen_by_peers;  // number of silent machines that a peer has heartbeats from
    int resignations = 0;
    MachineSupervisor supervisor{
        *context,
        metrics,
        types,
        {failure_detector, reconciliation, delegations, instances, commands, deletion},
        {[this](const std::map<std::string, double>&) { return seen_by_peers; },
         [this] { return ++resignations, true; }, [this] { ++plans; }}};
};

TEST(MachineSupervisor, EndsTasksOnceTheAgentsLeaseHasExpired) {
    MachineSupervisorFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.add_running_task("j-1", machine);
    auto& job = *fixture.state->jobs.find("j-1");
    double renewed_at = machine.lease_renewed_at;
    EXPECT_TRUE(fixture.check_at(renewed_at + fixture.expiry_s() - 0.01));
    EXPECT_TRUE(job.active.contains(0));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::up);
    EXPECT_TRUE(fixture.check_at(renewed_at + fixture.expiry_s() + 0.01));
    EXPECT_FALSE(job.active.contains(0));
    EXPECT_THAT(machine.tasks, IsEmpty());
    EXPECT_GT(fixture.plans, 0);
}

TEST(MachineSupervisor, CountsTheLeaseFromTheLastMomentARelayMayHaveRenewedIt) {
    MachineSupervisorFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.add_running_task("j-1", machine);
    double granted_until = machine.lease_renewed_at + 10;
    fixture.delegate("vm-1", "controller-1", granted_until);
    EXPECT_TRUE(fixture.check_at(granted_until + 10));
    EXPECT_EQ(fixture.delegations.count(), 0u) << "otherwise the relay would renew the lease indefinitely";
    EXPECT_TRUE(fixture.check_at(granted_until + fixture.expiry_s() - 0.01));
    EXPECT_THAT(machine.tasks, SizeIs(1));
    EXPECT_TRUE(fixture.check_at(granted_until + fixture.expiry_s() + 0.01));
    EXPECT_THAT(machine.tasks, IsEmpty());
}

TEST(MachineSupervisor, ReconcilesAMachineOfAnEarlierLeaderByLeaseExpiry) {
    MachineSupervisorFixture fixture;
    auto& machine = fixture.add_machine("vm-1");
    machine.registration = Machine::Registration::stored;
    fixture.reconciliation.expect("vm-1");
    machine.lease_renewed_at += 20;  // the previous leader may have renewed it until then
    double renewed_at = machine.lease_renewed_at;
    (void)fixture.check_at(renewed_at + fixture.expiry_s() - 0.01);
    EXPECT_FALSE(fixture.reconciliation.placement_allowed());
    (void)fixture.check_at(renewed_at + fixture.expiry_s() + 0.01);
    EXPECT_TRUE(fixture.reconciliation.placement_allowed());
}

TEST(MachineSupervisor, EvictsASilentMachineOnceItsProbeWasNotAnswered) {
    MachineSupervisorFixture fixture;
    fixture.add_healthy_machines(19);
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.add_start("j-1", machine);  // a task that has not started, so its user waits for the eviction
    double silent_since = fixture.timers.now(), heartbeat_interval_s = fixture.settings.heartbeat_interval_s;
    EXPECT_TRUE(fixture.check_at(silent_since + heartbeat_interval_s * 1.2));
    EXPECT_FALSE(machine.suspected);
    EXPECT_TRUE(fixture.check_at(silent_since + heartbeat_interval_s * 1.4));
    EXPECT_TRUE(machine.suspected);
    fixture.wait(0);
    ASSERT_THAT(fixture.sent, SizeIs(1)) << "it is probed";
    EXPECT_EQ(fixture.sent[0].addr, machine.addr);
    EXPECT_TRUE(fixture.check_at(silent_since + heartbeat_interval_s * 3));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::up) << "the answer to its probe may have arrived unread";
    fixture.answer(std::nullopt);
    EXPECT_TRUE(fixture.check_at(silent_since + heartbeat_interval_s * 3));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::marked_for_deletion);
    EXPECT_THAT(machine.tasks, SizeIs(1)) << "silence is no evidence that the task has terminated";
}

TEST(MachineSupervisor, MarksNoMachineWithoutAuthority) {
    MachineSupervisorFixture fixture;
    fixture.add_healthy_machines(19);
    auto& silent = fixture.add_reconciled_machine("vm-1");
    fixture.add_running_task("j-1", silent);
    auto& noticed = fixture.add_reconciled_machine("vm-2");
    noticed.preemption_deadline = 1e6;
    fixture.healthy.push_back(&noticed);
    auto& booting = fixture.add_machine("vm-3");
    booting.lifecycle = Machine::Lifecycle::booting;
    double since = fixture.timers.now();
    fixture.lose_authority();
    EXPECT_TRUE(fixture.check_at(since + fixture.types[0].boot_s * 8));
    for (auto* machine : {&silent, &noticed, &booting})
        EXPECT_NE(machine->lifecycle, Machine::Lifecycle::marked_for_deletion);
    EXPECT_THAT(silent.tasks, IsEmpty()) << "the expiry of its lease does not depend on authority";
}

TEST(MachineSupervisor, EvictsNothingWhileTheLeaderItselfMayBeIsolated) {
    MachineSupervisorFixture fixture;
    std::vector<Machine*> machines;
    machines.reserve(20);
    for (int index = 0; index < 20; ++index)
        machines.push_back(&fixture.add_reconciled_machine("vm-" + std::to_string(index)));
    fixture.add_start("j-1", *machines[0]);
    double silent_since = fixture.timers.now();
    EXPECT_TRUE(fixture.check_at(silent_since + 20));
    fixture.wait(0);
    while (!fixture.sent.empty()) fixture.answer(std::nullopt);  // lets each probe time out
    EXPECT_TRUE(fixture.check_at(silent_since + 20));
    for (auto* machine : machines) EXPECT_EQ(machine->lifecycle, Machine::Lifecycle::up) << machine->id;
    EXPECT_EQ(fixture.resignations, 0) << "no other controller receives their heartbeats either";
}

TEST(MachineSupervisor, ResignsIfAPeerReceivesTheHeartbeatsThatItMisses) {
    MachineSupervisorFixture fixture;
    for (int index = 0; index < 20; ++index) fixture.add_reconciled_machine("vm-" + std::to_string(index));
    fixture.seen_by_peers = 20;
    EXPECT_FALSE(fixture.check_at(fixture.timers.now() + 5));
    EXPECT_EQ(fixture.resignations, 1);
    EXPECT_FALSE(fixture.leads());
}

TEST(MachineSupervisor, StopsTasksThatCanSaveTheirWorkBeforeAPreemption) {
    MachineSupervisorFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    auto& saves = fixture.add_running_task("j-saves", machine);
    auto& restarts = fixture.add_running_task("j-restarts", machine);
    auto spec = *saves.spec;
    spec.checkpoint_interval_s = 60;
    spec.checkpoint_save_s = 20;
    saves.spec = std::make_shared<const protocol::Job>(spec);
    machine.preemption_deadline = fixture.timers.now() + 12;
    fixture.supervisor.handle_preemption_notice(machine);
    EXPECT_TRUE(saves.stop_requested);
    EXPECT_DOUBLE_EQ(saves.grace_s, 12) << "less than the usual grace period of 31 s";
    EXPECT_FALSE(restarts.stop_requested) << "it can't save, and may be done before the preemption";
}

TEST(MachineSupervisor, TreatsAMachineAsOutboundUnreachableOnlyUntilItHasReconciled) {
    MachineSupervisorFixture fixture;
    auto& machine = fixture.add_machine("vm-1");
    fixture.wait(1);
    for (int change = 0; change < 2; ++change)
        machine.reachability.record_heartbeat(false, fixture.timers.now());
    EXPECT_TRUE(fixture.supervisor.is_outbound_unreachable(machine));
    machine.lease_renewed_at = fixture.timers.now() + 5;  // the previous leader may renew it until then
    EXPECT_FALSE(fixture.supervisor.is_outbound_unreachable(machine));
    machine.lease_renewed_at = 0;
    machine.reconciled = true;
    EXPECT_FALSE(fixture.supervisor.is_outbound_unreachable(machine));
}

}  // namespace
}  // namespace coralhitch::leader
