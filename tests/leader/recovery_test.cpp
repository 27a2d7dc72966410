// Recovery: a new leader restores the stored state and, if the stored record names its process, the replica
// of the previous leader's state. It must not place tasks while a machine may run instances that it does not
// know, since a task could then run twice.
#include "leader/recovery.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "leader/recovery_fixture.hpp"
#include "protocol/model.hpp"
#include "protocol/records.hpp"

namespace coralhitch::leader {
namespace {
using cluster::Machine;
using failover::FailoverStep;
using testing::IsEmpty;
using testing::SizeIs;

struct Bench : RecoveryFixture {
    bool may_place() const { return reconciliation.placement_allowed(); }
    // Makes this controller an in-sync follower of a previous leader: it has the replica, and the stored
    // record names it.
    void follow_previous_leader() {
        constexpr protocol::LeaderVersion previous_version{2};
        protocol::InSyncReplicas record{
            previous_version, {{settings.label, protocol::Incarnation{own_incarnation}, previous_version}}};
        service.kv[kv::keys::in_sync_replicas] = {nlohmann::json::parse(protocol::stored(record)),
                                                  ++service.revision};
        history.leaderships = {{previous_version, true}};
        history.known_until_revision = previous_version.value();
        replica.leader_version = replica.base_version = previous_version;
    }
    // Adds the job's only task to the machine's row in the replica of the previous leader's state.
    void replicate_task(const std::string& machine_id, const std::string& job_id) {
        auto& row = replica.machines[machine_id];
        row.machine = machine_id;
        row.tasks_known = true;
        row.agent_epoch = protocol::AgentEpoch{1};
        row.tasks = {{job_id, 0, protocol::AttemptNumber{first_attempt}}};
    }
};

TEST(Recovery, ExpectsAHeartbeatFromEachStoredMachine) {
    Bench bench;
    bench.store_machine("vm-1");
    bench.recover();
    auto* machine = bench.state->cluster.find("vm-1");
    ASSERT_NE(machine, nullptr);
    EXPECT_EQ(machine->lifecycle, Machine::Lifecycle::up);
    EXPECT_TRUE(machine->is_stored());
    EXPECT_TRUE(machine->stored_by_earlier_leader);
    EXPECT_FALSE(machine->reconciled);
    EXPECT_FALSE(bench.may_place());
}

TEST(Recovery, RequestsNoPlanBeforeAllStoredMachinesHaveReconciled) {
    Bench bench;
    bench.store_machine("vm-1");
    bench.store_machine("vm-2");
    bench.recover();
    bench.reconcile("vm-1");
    bench.recovery->check_reconciled();
    EXPECT_EQ(bench.plans, 0) << "vm-2 may run unknown instances";
    bench.reconcile("vm-2");
    bench.recovery->check_reconciled();
    EXPECT_GT(bench.plans, 0);
    EXPECT_TRUE(bench.recovery->steps().completed(FailoverStep::placement_allowed));
    EXPECT_TRUE(bench.recovery->steps().completed(FailoverStep::reconciled));
    int plans = bench.plans;
    bench.recovery->check_reconciled();
    EXPECT_EQ(bench.plans, plans) << "each step requests only one plan";
}

TEST(Recovery, CountsLeasesFromTheLastMomentThePreviousLeaderMayRenewThem) {
    Bench bench;
    bench.store_machine("vm-1");
    bench.start_recovery();
    double started_at = bench.timers.now();
    bench.wait(1);
    double grace_s = bench.authority->renewal_after_expiry_s();
    ASSERT_GT(grace_s, 0);
    EXPECT_GE(bench.state->cluster.find("vm-1")->lease_renewed_at, started_at + grace_s);
}

TEST(Recovery, RestoresInstancesFromTheReplicaIfTheRecordNamesThisProcess) {
    Bench bench;
    auto& job = bench.add_job("j-1", 1);
    bench.store_machine("vm-1");
    bench.follow_previous_leader();
    bench.replicate_task("vm-1", "j-1");
    bench.recover();
    ASSERT_EQ(bench.replica_eligible, true);
    auto& machine = *bench.state->cluster.find("vm-1");
    EXPECT_TRUE(machine.known_from_replica);
    EXPECT_TRUE(machine.tasks.contains({"j-1", 0}));
    ASSERT_TRUE(job.active.contains(0)) << "the task must not be started on another machine";
    EXPECT_EQ(job.active.at(0).machine, "vm-1");
    EXPECT_TRUE(bench.may_place());
    EXPECT_FALSE(machine.usable(bench.timers.now())) << "no new task before the machine has reconciled";
}

TEST(Recovery, IgnoresAReplicaThatTheRecordDoesNotName) {
    Bench bench;
    bench.add_job("j-1", 1);
    bench.store_machine("vm-1");
    bench.follow_previous_leader();
    auto another_process = bench.service.kv[kv::keys::in_sync_replicas].value;
    another_process["members"][0]["incarnation"] = 76;
    bench.service.kv[kv::keys::in_sync_replicas].value = another_process;
    bench.replicate_task("vm-1", "j-1");
    bench.recover();
    ASSERT_EQ(bench.replica_eligible, false);
    auto& machine = *bench.state->cluster.find("vm-1");
    EXPECT_FALSE(machine.known_from_replica);
    EXPECT_THAT(machine.tasks, IsEmpty());
    EXPECT_FALSE(bench.may_place());
}

TEST(Recovery, WaitsForAMachineThatThePreviousLeaderDidNotKnow) {
    Bench bench;
    bench.store_machine("vm-1");
    bench.follow_previous_leader();
    bench.replica.machines["vm-1"].machine = "vm-1";  // `tasks_known` is false: it may run unknown instances
    bench.recover();
    ASSERT_EQ(bench.replica_eligible, true);
    EXPECT_FALSE(bench.may_place());
}

TEST(Recovery, ContinuesStoredDeletions) {
    Bench bench;
    bench.store_machine("vm-1", true);
    bench.recover();
    bench.deletion.delete_marked();
    ASSERT_THAT(bench.sent, SizeIs(testing::Ge(1u)));
    EXPECT_EQ(nlohmann::json::parse(bench.sent.back().request.body)["berths"], nlohmann::json({"vm-1"}));
}

TEST(Recovery, RestoresProgressAndRemovesTheProgressOfEndedJobs) {
    Bench bench;
    auto& job = bench.add_job("j-1", 2);
    auto live = kv::keys::progress_of("j-1", "0"), stale = kv::keys::progress_of("j-0", "0");
    for (auto& key : {live, stale})
        bench.service.kv[key] = {nlohmann::json{{"bits", "1"}}, ++bench.service.revision};
    bench.recover();
    EXPECT_TRUE(bench.jobs_loaded);
    EXPECT_EQ(job.done_count, 1u);
    bench.stale_keys.remove_some();
    bench.wait(5);
    EXPECT_TRUE(bench.service.kv.contains(live));
    EXPECT_FALSE(bench.service.kv.contains(stale));
}

TEST(Recovery, AppliesNoStoredStateAfterTheEndOfTheLeadership) {
    Bench bench;
    bench.store_machine("vm-1");
    bench.start_recovery();
    bench.authority->end();
    bench.wait(1);
    EXPECT_FALSE(bench.recovery->loaded());
    EXPECT_FALSE(bench.jobs_loaded);
    EXPECT_EQ(bench.state->cluster.find("vm-1"), nullptr);
}

}  // namespace
}  // namespace coralhitch::leader
