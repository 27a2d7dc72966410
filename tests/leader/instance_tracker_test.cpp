// Tests of InstanceTracker: which attempt of a task is kept, what happens to a gang that has lost a task, and
// when a machine is quarantined.
#include "leader/instance_tracker.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {
namespace {
using protocol::ExitCause;

struct TrackerFixture : LeadingFixture {
    cluster::Machine& add_machine(const std::string& id) {
        auto& machine = state->cluster.add(id, "10.1.0.1:9", "g4", "a", false,
                                           cluster::Machine::Lifecycle::up, timers.now());
        machine.reported_to_this_leader = machine.reconciled = true;
        machine.agent_epoch = protocol::AgentEpoch{1};
        return machine;
    }
    jobs::JobEntry& add_gang(const std::string& id, std::uint32_t tasks) {
        auto& job = add_job(id, tasks);
        auto gang = std::make_shared<protocol::Job>(*job.spec);
        gang->kind = protocol::JobKind::gang;
        job.spec = gang;
        return job;
    }
    // Adds an instance to this machine, as a heartbeat that reports it does.
    cluster::Instance& show(const std::string& job, cluster::Machine& machine, std::uint32_t task,
                            std::uint64_t attempt) {
        auto& instance = state->cluster.place(machine, {job, task}, state->jobs.find(job)->spec,
                                              protocol::AttemptNumber{attempt}, 0);
        tracker.instance_found({job, task}, machine.id);
        return instance;
    }
    // Ends the instance on this machine for this reason.
    void end(const std::string& job, cluster::Machine& machine, std::uint32_t task, ExitCause cause) {
        cluster::InstanceEnd ended;
        ended.machine = machine.id;
        ended.task = {job, task};
        ended.attempt = machine.tasks.at(ended.task).attempt;
        ended.reported = true;
        ended.cause = cause;
        machine.tasks.erase(ended.task);
        tracker.instance_ended(ended);
    }
    metrics::Metrics metrics;
    cluster::TeamActivity team_activity;
    std::vector<std::string> marked;
    InstanceTracker tracker{*context, metrics, team_activity,
                            [this](cluster::Machine& machine, const char*) { marked.push_back(machine.id); }};
};

// Attempts were once kept in the order of their reports, so the newer one was stopped if it was reported
// second.
TEST(InstanceTracker, KeepsTheNewerAttemptWhicheverIsReportedFirst) {
    for (bool newer_first : {false, true}) {
        TrackerFixture fixture;
        auto& job = fixture.add_job("j-1", 1);
        auto& older = fixture.add_machine("vm-1");
        auto& newer = fixture.add_machine("vm-2");
        if (newer_first) fixture.show("j-1", newer, 0, 6);
        fixture.show("j-1", older, 0, 5);
        if (!newer_first) fixture.show("j-1", newer, 0, 6);
        EXPECT_EQ(job.active.at(0).machine, "vm-2");
        EXPECT_TRUE(older.tasks.at({"j-1", 0}).orphaned);
        EXPECT_TRUE(older.tasks.at({"j-1", 0}).stop_requested);
        EXPECT_FALSE(newer.tasks.at({"j-1", 0}).stop_requested);
        EXPECT_EQ(job.orphaned_instances, 1);
    }
}

TEST(InstanceTracker, StopsAllTasksOfAGangThatHasLostOne) {
    TrackerFixture fixture;
    auto& job = fixture.add_gang("j-1", 2);
    auto& first = fixture.add_machine("vm-1");
    auto& second = fixture.add_machine("vm-2");
    fixture.show("j-1", first, 0, 5);
    auto& remaining = fixture.show("j-1", second, 1, 5);
    EXPECT_FALSE(remaining.stop_requested);
    fixture.end("j-1", first, 0, ExitCause::unknown);
    EXPECT_TRUE(remaining.stop_requested);
    EXPECT_FALSE(job.active.contains(0));
    EXPECT_TRUE(job.active.contains(1)) << "it stays active until there is evidence that it has terminated";
}

// A gang of `tasks` tasks on two machines.
struct GangFixture : TrackerFixture {
    explicit GangFixture(std::uint32_t tasks) : job(add_gang("j-1", tasks)) {
        for (std::uint32_t task = 0; task < tasks; ++task) show("j-1", *machines[task % 2], task, 5);
    }
    std::vector<cluster::Machine*> machines{&add_machine("vm-1"), &add_machine("vm-2")};
    jobs::JobEntry& job;
    void end_all(ExitCause cause) {
        for (std::uint32_t task = 0; task < job.spec->tasks; ++task)
            end("j-1", *machines[task % 2], task, cause);
    }
};

// Guards against turns of the event loop that grow with the square of a gang: the end of each task went
// through all tasks of the gang again.
TEST(InstanceTracker, GoesThroughTheTasksOfAGangOnceHoweverManyOfThemEnd) {
    for (std::uint32_t tasks : {10, 100, 1000})
        for (auto cause : {ExitCause::done, ExitCause::gang_member_lost}) {
            GangFixture fixture(tasks);
            fixture.end_all(cause);
            EXPECT_LE(fixture.tracker.tasks_examined(), tasks);
            EXPECT_EQ(fixture.job.all_done(), cause == ExitCause::done);
            EXPECT_TRUE(fixture.job.active.empty());
        }
}

// An instance may be found after the rest of its gang was stopped, as when a machine has not reported to a
// new leader.
TEST(InstanceTracker, StopsATaskThatIsFoundAfterTheRestOfItsGangWasStopped) {
    TrackerFixture fixture;
    fixture.add_gang("j-1", 3);
    auto& first = fixture.add_machine("vm-1");
    auto& second = fixture.add_machine("vm-2");
    fixture.show("j-1", first, 0, 5);
    fixture.show("j-1", first, 1, 5);
    fixture.end("j-1", first, 0, ExitCause::unknown);
    auto& found_later = fixture.show("j-1", second, 2, 5);
    fixture.end("j-1", first, 1, ExitCause::gang_member_lost);
    EXPECT_TRUE(found_later.stop_requested);
}

TEST(InstanceTracker, ARepeatedEndOfAnOldAttemptDoesNotEndTheNextOne) {
    TrackerFixture fixture;
    auto& job = fixture.add_job("j-1", 1);
    auto& machine = fixture.add_machine("vm-1");
    fixture.show("j-1", machine, 0, 6);
    cluster::InstanceEnd older{"vm-1", {"j-1", 0}, protocol::AttemptNumber{5}, true};
    fixture.tracker.instance_ended(older);
    EXPECT_TRUE(job.active.contains(0));
}

TEST(InstanceTracker, QuarantinesAMachineOnWhichTasksOfSeveralJobsFail) {
    TrackerFixture fixture;
    fixture.add_job("j-1", 1);
    fixture.add_job("j-2", 1);
    auto& machine = fixture.add_machine("vm-1");
    double now = fixture.timers.now(), heartbeat_interval_s = fixture.settings.heartbeat_interval_s;
    fixture.show("j-1", machine, 0, 5);
    fixture.end("j-1", machine, 0, ExitCause::error);
    EXPECT_DOUBLE_EQ(machine.quarantined_until, now + heartbeat_interval_s * 2);
    EXPECT_TRUE(fixture.marked.empty());
    fixture.show("j-2", machine, 0, 6);
    fixture.end("j-2", machine, 0, ExitCause::error);
    EXPECT_DOUBLE_EQ(machine.quarantined_until, now + heartbeat_interval_s * 20);
    EXPECT_EQ(fixture.marked, std::vector<std::string>{"vm-1"}) << "it is empty, so it is deleted";
}

}  // namespace
}  // namespace coralhitch::leader
