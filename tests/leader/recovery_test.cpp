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

struct NewLeaderFixture : RecoveryFixture {
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
    NewLeaderFixture fixture;
    fixture.store_machine("vm-1");
    fixture.recover();
    auto* machine = fixture.state->cluster.find("vm-1");
    ASSERT_NE(machine, nullptr);
    EXPECT_EQ(machine->lifecycle, Machine::Lifecycle::up);
    EXPECT_TRUE(machine->is_stored());
    EXPECT_TRUE(machine->stored_by_earlier_leader);
    EXPECT_FALSE(machine->reconciled);
    EXPECT_FALSE(fixture.may_place());
}

TEST(Recovery, RequestsNoPlanBeforeAllStoredMachinesHaveReconciled) {
    NewLeaderFixture fixture;
    fixture.store_machine("vm-1");
    fixture.store_machine("vm-2");
    fixture.recover();
    fixture.reconcile("vm-1");
    fixture.recovery->check_reconciled();
    EXPECT_EQ(fixture.plans, 0) << "vm-2 may run unknown instances";
    fixture.reconcile("vm-2");
    fixture.recovery->check_reconciled();
    EXPECT_GT(fixture.plans, 0);
    EXPECT_TRUE(fixture.recovery->steps().completed(FailoverStep::placement_allowed));
    EXPECT_TRUE(fixture.recovery->steps().completed(FailoverStep::reconciled));
    int plans = fixture.plans;
    fixture.recovery->check_reconciled();
    EXPECT_EQ(fixture.plans, plans) << "each step requests only one plan";
}

TEST(Recovery, CountsLeasesFromTheLastMomentThePreviousLeaderMayRenewThem) {
    NewLeaderFixture fixture;
    fixture.store_machine("vm-1");
    fixture.start_recovery();
    double started_at = fixture.timers.now();
    fixture.wait(1);
    double grace_s = fixture.authority->renewal_after_expiry_s();
    ASSERT_GT(grace_s, 0);
    EXPECT_GE(fixture.state->cluster.find("vm-1")->lease_renewed_at, started_at + grace_s);
}

TEST(Recovery, RestoresInstancesFromTheReplicaIfTheRecordNamesThisProcess) {
    NewLeaderFixture fixture;
    auto& job = fixture.add_job("j-1", 1);
    fixture.store_machine("vm-1");
    fixture.follow_previous_leader();
    fixture.replicate_task("vm-1", "j-1");
    fixture.recover();
    ASSERT_EQ(fixture.replica_eligible, true);
    auto& machine = *fixture.state->cluster.find("vm-1");
    EXPECT_TRUE(machine.known_from_replica);
    EXPECT_TRUE(machine.tasks.contains({"j-1", 0}));
    ASSERT_TRUE(job.active.contains(0)) << "the task must not be started on another machine";
    EXPECT_EQ(job.active.at(0).machine, "vm-1");
    EXPECT_TRUE(fixture.may_place());
    EXPECT_FALSE(machine.usable(fixture.timers.now())) << "no new task before the machine has reconciled";
}

TEST(Recovery, IgnoresAReplicaThatTheRecordDoesNotName) {
    NewLeaderFixture fixture;
    fixture.add_job("j-1", 1);
    fixture.store_machine("vm-1");
    fixture.follow_previous_leader();
    auto another_process = fixture.service.kv[kv::keys::in_sync_replicas].value;
    another_process["members"][0]["incarnation"] = 76;
    fixture.service.kv[kv::keys::in_sync_replicas].value = another_process;
    fixture.replicate_task("vm-1", "j-1");
    fixture.recover();
    ASSERT_EQ(fixture.replica_eligible, false);
    auto& machine = *fixture.state->cluster.find("vm-1");
    EXPECT_FALSE(machine.known_from_replica);
    EXPECT_THAT(machine.tasks, IsEmpty());
    EXPECT_FALSE(fixture.may_place());
}

TEST(Recovery, WaitsForAMachineThatThePreviousLeaderDidNotKnow) {
    NewLeaderFixture fixture;
    fixture.store_machine("vm-1");
    fixture.follow_previous_leader();
    fixture.replica.machines["vm-1"].machine =
        "vm-1";  // `tasks_known` is false: it may run unknown instances
    fixture.recover();
    ASSERT_EQ(fixture.replica_eligible, true);
    EXPECT_FALSE(fixture.may_place());
}

TEST(Recovery, ContinuesStoredDeletions) {
    NewLeaderFixture fixture;
    fixture.store_machine("vm-1", true);
    fixture.recover();
    fixture.deletion.delete_marked();
    ASSERT_THAT(fixture.sent, SizeIs(testing::Ge(1u)));
    EXPECT_EQ(nlohmann::json::parse(fixture.sent.back().request.body)["berths"], nlohmann::json({"vm-1"}));
}

TEST(Recovery, RestoresProgressAndRemovesTheProgressOfEndedJobs) {
    NewLeaderFixture fixture;
    auto& job = fixture.add_job("j-1", 2);
    auto live = kv::keys::progress_of("j-1", "0"), stale = kv::keys::progress_of("j-0", "0");
    for (auto& key : {live, stale})
        fixture.service.kv[key] = {nlohmann::json{{"bits", "1"}}, ++fixture.service.revision};
    fixture.recover();
    EXPECT_TRUE(fixture.jobs_loaded);
    EXPECT_EQ(job.done_count, 1u);
    fixture.stale_keys.remove_some();
    fixture.wait(5);
    EXPECT_TRUE(fixture.service.kv.contains(live));
    EXPECT_FALSE(fixture.service.kv.contains(stale));
}

TEST(Recovery, AppliesNoStoredStateAfterTheEndOfTheLeadership) {
    NewLeaderFixture fixture;
    fixture.store_machine("vm-1");
    fixture.start_recovery();
    fixture.authority->end();
    fixture.wait(1);
    EXPECT_FALSE(fixture.recovery->loaded());
    EXPECT_FALSE(fixture.jobs_loaded);
    EXPECT_EQ(fixture.state->cluster.find("vm-1"), nullptr);
}

}  // namespace
}  // namespace coralhitch::leader
