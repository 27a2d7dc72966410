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

struct Bench : PartsFixture {
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
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    bench.add_running_task("j-1", machine);
    auto& job = *bench.state->jobs.find("j-1");
    double renewed_at = machine.lease_renewed_at;
    EXPECT_TRUE(bench.check_at(renewed_at + bench.expiry_s() - 0.01));
    EXPECT_TRUE(job.active.contains(0));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::up);
    EXPECT_TRUE(bench.check_at(renewed_at + bench.expiry_s() + 0.01));
    EXPECT_FALSE(job.active.contains(0));
    EXPECT_THAT(machine.tasks, IsEmpty());
    EXPECT_GT(bench.plans, 0);
}

TEST(MachineSupervisor, CountsTheLeaseFromTheLastMomentARelayMayHaveRenewedIt) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    bench.add_running_task("j-1", machine);
    double granted_until = machine.lease_renewed_at + 10;
    bench.delegate("vm-1", "controller-1", granted_until);
    EXPECT_TRUE(bench.check_at(granted_until + 10));
    EXPECT_EQ(bench.delegations.count(), 0u) << "otherwise the relay would renew the lease indefinitely";
    EXPECT_TRUE(bench.check_at(granted_until + bench.expiry_s() - 0.01));
    EXPECT_THAT(machine.tasks, SizeIs(1));
    EXPECT_TRUE(bench.check_at(granted_until + bench.expiry_s() + 0.01));
    EXPECT_THAT(machine.tasks, IsEmpty());
}

TEST(MachineSupervisor, ReconcilesAMachineOfAnEarlierLeaderByLeaseExpiry) {
    Bench bench;
    auto& machine = bench.add_machine("vm-1");
    machine.registration = Machine::Registration::stored;
    bench.reconciliation.expect("vm-1");
    machine.lease_renewed_at += 20;  // the previous leader may have renewed it until then
    double renewed_at = machine.lease_renewed_at;
    (void)bench.check_at(renewed_at + bench.expiry_s() - 0.01);
    EXPECT_FALSE(bench.reconciliation.placement_allowed());
    (void)bench.check_at(renewed_at + bench.expiry_s() + 0.01);
    EXPECT_TRUE(bench.reconciliation.placement_allowed());
}

TEST(MachineSupervisor, EvictsASilentMachineOnceItsProbeWasNotAnswered) {
    Bench bench;
    bench.add_healthy_machines(19);
    auto& machine = bench.add_reconciled_machine("vm-1");
    bench.add_start("j-1", machine);  // a task that has not started, so its user waits for the eviction
    double silent_since = bench.timers.now(), heartbeat_interval_s = bench.settings.heartbeat_interval_s;
    EXPECT_TRUE(bench.check_at(silent_since + heartbeat_interval_s * 1.2));
    EXPECT_FALSE(machine.suspected);
    EXPECT_TRUE(bench.check_at(silent_since + heartbeat_interval_s * 1.4));
    EXPECT_TRUE(machine.suspected);
    bench.wait(0);
    ASSERT_THAT(bench.sent, SizeIs(1)) << "it is probed";
    EXPECT_EQ(bench.sent[0].addr, machine.addr);
    EXPECT_TRUE(bench.check_at(silent_since + heartbeat_interval_s * 3));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::up) << "the answer to its probe may have arrived unread";
    bench.answer(std::nullopt);
    EXPECT_TRUE(bench.check_at(silent_since + heartbeat_interval_s * 3));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::marked_for_deletion);
    EXPECT_THAT(machine.tasks, SizeIs(1)) << "silence is no evidence that the task has terminated";
}

TEST(MachineSupervisor, MarksNoMachineWithoutAuthority) {
    Bench bench;
    bench.add_healthy_machines(19);
    auto& silent = bench.add_reconciled_machine("vm-1");
    bench.add_running_task("j-1", silent);
    auto& noticed = bench.add_reconciled_machine("vm-2");
    noticed.preemption_deadline = 1e6;
    bench.healthy.push_back(&noticed);
    auto& booting = bench.add_machine("vm-3");
    booting.lifecycle = Machine::Lifecycle::booting;
    double since = bench.timers.now();
    bench.lose_authority();
    EXPECT_TRUE(bench.check_at(since + bench.types[0].boot_s * 8));
    for (auto* machine : {&silent, &noticed, &booting})
        EXPECT_NE(machine->lifecycle, Machine::Lifecycle::marked_for_deletion);
    EXPECT_THAT(silent.tasks, IsEmpty()) << "the expiry of its lease does not depend on authority";
}

TEST(MachineSupervisor, EvictsNothingWhileTheLeaderItselfMayBeIsolated) {
    Bench bench;
    std::vector<Machine*> machines;
    machines.reserve(20);
    for (int index = 0; index < 20; ++index)
        machines.push_back(&bench.add_reconciled_machine("vm-" + std::to_string(index)));
    bench.add_start("j-1", *machines[0]);
    double silent_since = bench.timers.now();
    EXPECT_TRUE(bench.check_at(silent_since + 20));
    bench.wait(0);
    while (!bench.sent.empty()) bench.answer(std::nullopt);  // lets each probe time out
    EXPECT_TRUE(bench.check_at(silent_since + 20));
    for (auto* machine : machines) EXPECT_EQ(machine->lifecycle, Machine::Lifecycle::up) << machine->id;
    EXPECT_EQ(bench.resignations, 0) << "no other controller receives their heartbeats either";
}

TEST(MachineSupervisor, ResignsIfAPeerReceivesTheHeartbeatsThatItMisses) {
    Bench bench;
    for (int index = 0; index < 20; ++index) bench.add_reconciled_machine("vm-" + std::to_string(index));
    bench.seen_by_peers = 20;
    EXPECT_FALSE(bench.check_at(bench.timers.now() + 5));
    EXPECT_EQ(bench.resignations, 1);
    EXPECT_FALSE(bench.leads());
}

TEST(MachineSupervisor, StopsTasksThatCanSaveTheirWorkBeforeAPreemption) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    auto& saves = bench.add_running_task("j-saves", machine);
    auto& restarts = bench.add_running_task("j-restarts", machine);
    auto spec = *saves.spec;
    spec.checkpoint_interval_s = 60;
    spec.checkpoint_save_s = 20;
    saves.spec = std::make_shared<const protocol::Job>(spec);
    machine.preemption_deadline = bench.timers.now() + 12;
    bench.supervisor.handle_preemption_notice(machine);
    EXPECT_TRUE(saves.stop_requested);
    EXPECT_DOUBLE_EQ(saves.grace_s, 12) << "less than the usual grace period of 31 s";
    EXPECT_FALSE(restarts.stop_requested) << "it can't save, and may be done before the preemption";
}

TEST(MachineSupervisor, TreatsAMachineAsOutboundUnreachableOnlyUntilItHasReconciled) {
    Bench bench;
    auto& machine = bench.add_machine("vm-1");
    bench.wait(1);
    for (int change = 0; change < 2; ++change)
        machine.reachability.record_heartbeat(false, bench.timers.now());
    EXPECT_TRUE(bench.supervisor.is_outbound_unreachable(machine));
    machine.lease_renewed_at = bench.timers.now() + 5;  // the previous leader may renew it until then
    EXPECT_FALSE(bench.supervisor.is_outbound_unreachable(machine));
    machine.lease_renewed_at = 0;
    machine.reconciled = true;
    EXPECT_FALSE(bench.supervisor.is_outbound_unreachable(machine));
}

}  // namespace
}  // namespace coralhitch::leader
