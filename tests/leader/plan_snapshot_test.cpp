// Plan snapshots: the scheduler's input excludes jobs that wait for dependencies and tasks that must not
// start yet, and the autoscaler's input contains only machines whose capacity it may count on.
#include "leader/plan_snapshot.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"

namespace coralhitch::leader {
namespace {

struct Bench : LeadingFixture {
    scheduler::Input input() {
        return scheduler_input(*state, settings.teams, {timers.now(), timers.unix_time()});
    }
};

TEST(PlanSnapshot, ExcludesJobsThatWaitForDependencies) {
    Bench bench;
    bench.add_job("j-000001", 3);
    bench.add_job("j-000002", 2, {"j-000001"});
    auto in = bench.input();
    ASSERT_EQ(in.jobs.size(), 1u);
    EXPECT_EQ(in.jobs[0].spec->id, "j-000001");
    EXPECT_EQ(in.jobs[0].waiting_tasks.size(), 3u);
    EXPECT_TRUE(has_startable_tasks(*bench.state, bench.timers.now()));
}

TEST(PlanSnapshot, OffersNoTaskOfAJobInBackoffOrWithOrphanedInstances) {
    Bench bench;
    auto& job = bench.add_job("j-000001", 3);
    EXPECT_TRUE(may_start_tasks(job, bench.timers.now()));
    job.backoff_until = bench.timers.now() + 1;
    EXPECT_FALSE(may_start_tasks(job, bench.timers.now()));
    EXPECT_TRUE(may_start_tasks(job, bench.timers.now() + 1));
    job.backoff_until = 0;
    job.orphaned_instances = 1;
    EXPECT_FALSE(may_start_tasks(job, bench.timers.now()));
    EXPECT_FALSE(has_startable_tasks(*bench.state, bench.timers.now()));
    auto in = bench.input();
    ASSERT_EQ(in.jobs.size(), 1u);
    EXPECT_FALSE(in.jobs[0].startable);
    EXPECT_TRUE(in.jobs[0].waiting_tasks.empty());
}

TEST(PlanSnapshot, OffersACrashLoopingJobOneTaskAtATime) {
    Bench bench;
    auto& job = bench.add_job("j-000001", 3);
    job.consecutive_failures = jobs::JobEntry::crash_loop_threshold + 1;
    EXPECT_EQ(bench.input().jobs.at(0).waiting_tasks.size(), 1u);
    job.active[0] = {"vm-1", protocol::AttemptNumber{1}, 0};
    EXPECT_TRUE(bench.input().jobs.at(0).waiting_tasks.empty());
}

TEST(PlanSnapshot, CountsMachinesThatAreNotAvailableToTheAutoscaler) {
    Bench bench;
    using Lifecycle = cluster::Machine::Lifecycle;
    auto& cluster = bench.state->cluster;
    cluster.add("vm-booting", "", "g4", "a", false, Lifecycle::booting, bench.timers.now());
    cluster.add("vm-leaving", "", "g4", "a", false, Lifecycle::marked_for_deletion, bench.timers.now());
    cluster.add("vm-unreconciled", "", "g4", "a", false, Lifecycle::up, bench.timers.now());
    auto planned = bench.input();
    autoscaler::Input in;
    add_machines_and_demand(in, *bench.state, planned, {}, bench.timers.now());
    ASSERT_EQ(in.machines.size(), 1u);
    EXPECT_EQ(in.machines[0].id, "vm-booting");
    EXPECT_TRUE(in.machines[0].booting);
    EXPECT_EQ(in.other_machines, 2u);
}

}  // namespace
}  // namespace coralhitch::leader
