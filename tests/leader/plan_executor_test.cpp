// PlanExecutor: computes a plan only if tasks wait and the state is loaded, and validates every start again
// when the plan is applied. Heartbeats, cancellations or the end of the leadership between the snapshot and
// the application must not lead to a start that is no longer allowed.
#include "leader/plan_executor.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {
namespace {

// Queues submitted work until the test runs it, so that a test can change the state between the snapshot and
// the application of a plan.
class HeldPlanner : public Planner {
  public:
    void submit(Work work) override { works.push_back(std::move(work)); }
    void compute() {
        for (auto& work : std::exchange(works, {})) results.push_back(work());
    }
    void apply() {
        for (auto& result : std::exchange(results, {})) result();
    }
    std::vector<Work> works;
    std::vector<event_loop::Task> results;
};

struct ExecutorFixture : LeadingFixture {
    ExecutorFixture() {
        settings.teams = {{"t", 1000, 1000, 100, 100}};
        for (auto* id : {"vm-1", "vm-2"}) {
            auto& machine =
                state->cluster.add(id, "", "g4", "a", false, cluster::Machine::Lifecycle::up, timers.now());
            machine.reconciled = true;
            machine.registration = cluster::Machine::Registration::stored;
            machine.agent_epoch = protocol::AgentEpoch{1};
            machine.total = types[0].capacity;
        }
    }
    void plan() {
        executor.request_plan();
        wait(settings.heartbeat_interval_s);
        planner.compute();
    }
    std::size_t placed() {
        std::size_t tasks = 0;
        for (auto& [id, machine] : state->cluster.machines()) tasks += machine.tasks.size();
        return tasks;
    }
    jobs::JobEntry& add_gang(const std::string& id, std::uint32_t tasks, double cpus) {
        return add_job_of_kind(protocol::JobKind::gang, id, tasks, cpus);
    }
    jobs::JobEntry& add_job_of_kind(protocol::JobKind kind, const std::string& id, std::uint32_t tasks,
                                    double cpus) {
        auto& job = add_job(id, tasks);
        auto spec = *job.spec;
        spec.kind = kind;
        spec.request = {cpus, 0, 1};
        job.spec = std::make_shared<const protocol::Job>(spec);
        return job;
    }
    void make_room_for_all() {
        for (auto& [id, machine] : state->cluster.machines()) machine.total = {16, 0, 10000};
    }
    HeldPlanner planner;
    metrics::Metrics metrics;
    std::vector<protocol::MachineType> no_types;  // without machine types, no plan covers the fleet
    cloud::CloudClient cloud{timers, network, settings};
    FleetScaler scaler{*context, cloud, no_types, [](std::size_t) { return false; }};
    AttemptNumbers attempts{kv, authority->fencing_token(),
                            [this] { return authority->begin_transaction(); }};
    failover::Reconciliation reconciliation{state->cluster, settings.heartbeat_interval_s};
    cluster::TeamActivity team_activity;
    bool loaded = true;
    std::vector<PlannedStart> started;
    int applied = 0;
    PlanExecutor executor{
        *context,
        {planner, scaler, attempts, reconciliation, team_activity, metrics},
        {[this] { return loaded; }, [] { return true; }, [](cluster::Machine&, const char*) {},
         [this](const std::vector<PlannedStart>& tasks) {
             ++applied;
             started = tasks;
         }},
        1};
};

TEST(PlanExecutor, StartsWaitingTasks) {
    ExecutorFixture fixture;
    ASSERT_TRUE(fixture.leads());
    fixture.add_job("j-000001", 3);
    fixture.plan();
    fixture.planner.apply();
    EXPECT_EQ(fixture.started.size(), 3u);
    EXPECT_EQ(fixture.placed(), 3u);
    EXPECT_EQ(fixture.state->jobs.find("j-000001")->active.size(), 3u);
}

TEST(PlanExecutor, ComputesNoPlanIfNoTaskWaitsOrTheStateIsNotLoaded) {
    ExecutorFixture fixture;
    fixture.plan();
    EXPECT_TRUE(fixture.planner.results.empty());
    fixture.add_job("j-000001", 3);
    fixture.loaded = false;
    fixture.plan();
    EXPECT_TRUE(fixture.planner.results.empty());
}

TEST(PlanExecutor, ValidatesStartsAgainWhenAPlanIsApplied) {
    ExecutorFixture fixture;
    fixture.add_job("j-000001", 3);
    fixture.add_job("j-000002", 2);
    fixture.plan();
    fixture.state->jobs.cancel("j-000001", 1000);
    fixture.planner.apply();
    EXPECT_EQ(fixture.started.size(), 2u);
    for (auto& start : fixture.started) EXPECT_EQ(start.task.job, "j-000002");
}

TEST(PlanExecutor, StartsAllOfAGangOrNone) {
    ExecutorFixture fixture;
    fixture.add_gang("j-000001", 2, 10);  // 10 of 16 CPUs: one task per machine
    fixture.plan();
    fixture.state->cluster.find("vm-2")->suspected = true;
    fixture.planner.apply();
    EXPECT_EQ(fixture.applied, 1);
    EXPECT_TRUE(fixture.started.empty());
    EXPECT_EQ(fixture.placed(), 0u);
    EXPECT_TRUE(fixture.state->jobs.find("j-000001")->active.empty());

    fixture.state->cluster.find("vm-2")->suspected = false;
    fixture.plan();
    fixture.planner.apply();
    EXPECT_EQ(fixture.started.size(), 2u);
}

// Guards against turns of the event loop that grow with the square of a gang: each start went through all
// instances on its machine.
TEST(PlanExecutor, GoesThroughTheInstancesOnAMachineOnceForAllStartsOfAPlan) {
    for (std::uint32_t tasks : {10, 100, 1000}) {
        ExecutorFixture fixture;
        fixture.make_room_for_all();
        for (auto* id : {"j-000001", "j-000002"}) {
            fixture.add_gang(id, tasks, 0.001);
            fixture.plan();
            fixture.planner.apply();
            ASSERT_EQ(fixture.started.size(), tasks);
        }
        EXPECT_EQ(fixture.executor.instances_examined(), tasks)
            << "those of the first gang, for the second one";
    }
}

// Guards against turns of the event loop that grow with the product of the active tasks of an array and those
// that a plan starts: each start counted all active tasks of the job by zone.
TEST(PlanExecutor, GoesThroughTheActiveTasksOfAnArrayOnceForAllStartsOfAPlan) {
    ExecutorFixture fixture;
    fixture.make_room_for_all();
    auto& job = fixture.add_job_of_kind(protocol::JobKind::array, "j-000001", 1000, 0.001);
    while (job.active.size() < 1000) {
        const auto active_before = job.active.size(), examined_before = fixture.executor.instances_examined();
        fixture.plan();
        fixture.planner.apply();
        ASSERT_GT(job.active.size(), active_before);
        EXPECT_LE(fixture.executor.instances_examined() - examined_before, 2 * active_before)
            << "once on their machines, and once in the job";
    }
}

TEST(PlanExecutor, AppliesNothingOnceTheLeadershipHasEnded) {
    ExecutorFixture fixture;
    fixture.add_job("j-000001", 3);
    fixture.plan();
    fixture.authority->end();
    fixture.planner.apply();
    EXPECT_EQ(fixture.applied, 0);
    EXPECT_EQ(fixture.placed(), 0u);
}

}  // namespace
}  // namespace coralhitch::leader
