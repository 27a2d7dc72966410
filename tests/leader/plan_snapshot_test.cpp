// Plan snapshots: the scheduler's input excludes jobs that wait for dependencies and tasks that must not
// start yet, and the autoscaler's input contains only machines whose capacity it may count on.
#include "leader/plan_snapshot.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"

namespace coralhitch::leader {
namespace {

struct PlanSnapshotFixture : LeadingFixture {
    scheduler::Input input() {
        return scheduler_input(*state, settings.teams, {timers.now(), timers.unix_time()});
    }
};

TEST(PlanSnapshot, ExcludesJobsThatWaitForDependencies) {
    PlanSnapshotFixture fixture;
    fixture.add_job("j-000001", 3);
    fixture.add_job("j-000002", 2, {"j-000001"});
    auto in = fixture.input();
    ASSERT_EQ(in.jobs.size(), 1u);
    EXPECT_EQ(in.jobs[0].spec->id, "j-000001");
    EXPECT_EQ(in.jobs[0].waiting_tasks.size(), 3u);
    EXPECT_TRUE(has_startable_tasks(*fixture.state, fixture.timers.now()));
}

TEST(PlanSnapshot, OffersNoTaskOfAJobInBackoffOrWithOrphanedInstances) {
    PlanSnapshotFixture fixture;
    auto& job = fixture.add_job("j-000001", 3);
    EXPECT_TRUE(may_start_tasks(job, fixture.timers.now()));
    job.backoff_until = fixture.timers.now() + 1;
    EXPECT_FALSE(may_start_tasks(job, fixture.timers.now()));
    EXPECT_TRUE(may_start_tasks(job, fixture.timers.now() + 1));
    job.backoff_until = 0;
    job.orphaned_instances = 1;
    EXPECT_FALSE(may_start_tasks(job, fixture.timers.now()));
    EXPECT_FALSE(has_startable_tasks(*fixture.state, fixture.timers.now()));
    auto in = fixture.input();
    ASSERT_EQ(in.jobs.size(), 1u);
    EXPECT_FALSE(in.jobs[0].startable);
    EXPECT_TRUE(in.jobs[0].waiting_tasks.empty());
}

TEST(PlanSnapshot, OffersACrashLoopingJobOneTaskAtATime) {
    PlanSnapshotFixture fixture;
    auto& job = fixture.add_job("j-000001", 3);
    job.consecutive_failures = jobs::JobEntry::crash_loop_threshold + 1;
    EXPECT_EQ(fixture.input().jobs.at(0).waiting_tasks.size(), 1u);
    job.active[0] = {"vm-1", protocol::AttemptNumber{1}, 0};
    EXPECT_TRUE(fixture.input().jobs.at(0).waiting_tasks.empty());
}

TEST(PlanSnapshot, CountsMachinesThatAreNotAvailableToTheAutoscaler) {
    PlanSnapshotFixture fixture;
    using Lifecycle = cluster::Machine::Lifecycle;
    auto& cluster = fixture.state->cluster;
    cluster.add("vm-booting", "", "g4", "a", false, Lifecycle::booting, fixture.timers.now());
    cluster.add("vm-leaving", "", "g4", "a", false, Lifecycle::marked_for_deletion, fixture.timers.now());
    cluster.add("vm-unreconciled", "", "g4", "a", false, Lifecycle::up, fixture.timers.now());
    auto planned = fixture.input();
    autoscaler::Input in;
    add_machines_and_demand(in, *fixture.state, planned, {}, fixture.timers.now());
    ASSERT_EQ(in.machines.size(), 1u);
    EXPECT_EQ(in.machines[0].id, "vm-booting");
    EXPECT_TRUE(in.machines[0].booting);
    EXPECT_EQ(in.other_machines, 2u);
}

}  // namespace
}  // namespace coralhitch::leader
