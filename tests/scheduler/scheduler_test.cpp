// Tests of the scheduler: where tasks may be placed, which jobs are placed first, which instances are
// preempted, and that two random choices balance better than one.
#include "scheduler/scheduler.hpp"

#include <gtest/gtest.h>

#include "protocol/model.hpp"

namespace coralhitch::scheduler {
namespace {
using protocol::JobKind;
using protocol::Priority;
using protocol::Resources;

config::Settings settings() {
    config::Settings s;
    s.heartbeat_interval_s = 3;
    s.teams = {{"a", 0, 0, 4, 8}, {"b", 0, 0, 4, 0}, {"free", 0, 0, 0, 0}};
    return s;
}
const std::vector<Pool> pools{{"g4", "z1", false, 0, {16, 4, 64}, 0.2},
                              {"g4", "z2", false, 1, {16, 4, 64}, 0.2},
                              {"g4", "z1", true, 0, {16, 4, 64}, 0.2},
                              {"g4", "z2", true, 1, {16, 4, 64}, 0.2}};
MachineView machine(const std::string& id, std::size_t pool = 0) {
    MachineView machine_view;
    machine_view.id = id;
    machine_view.pool = pool;
    machine_view.usable = true;
    machine_view.free = {16, 4, 64};
    return machine_view;
}
// Returns a startable job whose tasks all wait, each with a request of 1 processor, `gpus` GPUs and 1 GB of
// memory.
JobView job(const std::string& id, JobKind kind, std::uint32_t tasks, double gpus,
            const std::string& team = "free") {
    auto job_spec = std::make_shared<protocol::Job>();
    job_spec->id = id;
    job_spec->kind = kind;
    job_spec->tasks = tasks;
    job_spec->request = {1, gpus, 1};
    job_spec->team = team;
    job_spec->image = "img";
    JobView job_view;
    job_view.spec = job_spec;
    job_view.unfinished_tasks = tasks;
    for (std::uint32_t i = 0; i < tasks; ++i) job_view.waiting_tasks.push_back(i);
    return job_view;
}
// Gives a test write access to the specification of a job.
protocol::Job& edit(JobView& job_view) {
    return const_cast<protocol::Job&>(*job_view.spec);
}
Decisions run(Input& input) {
    input.pools = pools;
    input.zones = 2;
    for (auto& j : input.jobs) j.priority = std::max(j.priority, j.spec->priority);
    std::mt19937_64 random(1);
    static const auto s = settings();
    return plan(input, s, random);
}

TEST(Rules, ZoneRulesCountTheOtherTasksOfTheJob) {
    struct Case {
        bool one_zone, spread;
        std::uint32_t tasks;
        ZoneCounts zones;
        bool allowed;
    };
    const Case cases[] = {
        {true, false, 4, {}, true},      {true, false, 4, {2, 0}, true},  {true, false, 4, {0, 1}, false},
        {true, false, 4, {0, 0}, true},  {false, true, 1, {}, true},      {false, true, 9, {4, 0}, true},
        {false, true, 9, {5, 0}, false}, {false, true, 2, {1, 0}, false}, {false, true, 2, {0, 1}, true},
    };
    for (auto& c : cases) {
        protocol::Job j;
        j.one_zone = c.one_zone;
        j.spread = c.spread;
        j.tasks = c.tasks;
        EXPECT_EQ(zone_allowed(j, c.zones, 0), c.allowed) << c.one_zone << c.spread << c.tasks;
    }
}
TEST(Rules, TypeZoneAndSpot) {
    protocol::Job j;
    EXPECT_FALSE(type_allowed(j, "g4", "z1", true));
    EXPECT_TRUE(type_allowed(j, "g4", "z1", false));
    j.spot = true;
    EXPECT_TRUE(type_allowed(j, "g4", "z1", true));
    j.zone = "z2";
    EXPECT_FALSE(type_allowed(j, "g4", "z1", false));
    j.zone.reset();
    j.types = {"g8"};
    EXPECT_FALSE(type_allowed(j, "g4", "z1", false));
}

TEST(Plan, CountsInstancesThatMayStillRunAgainstTheTeamsHardLimit) {
    Input input;
    for (int i = 0; i < 5; ++i) input.machines.push_back(machine("m" + std::to_string(i)));
    input.jobs.push_back(job("j-1", JobKind::array, 10, 1, "a"));
    input.team_used["a"] = {0, 3, 0};
    EXPECT_EQ(run(input).starts.size(), 5u);  // the hard limit is 8 GPUs, of which 3 are in use
}
TEST(Plan, StartsAGangWholeOrNotAtAll) {
    for (auto [machines, starts] : {std::pair(2, 0u), {3, 3u}}) {
        Input input;
        for (int i = 0; i < machines; ++i) input.machines.push_back(machine("m" + std::to_string(i)));
        input.jobs.push_back(job("j-1", JobKind::gang, 3, 4));
        EXPECT_EQ(run(input).starts.size(), starts);
    }
}
// Guards against starvation of large gangs by younger jobs that need fewer slots: slots that become free are
// reserved, one by one, for a gang that has waited long.
TEST(Plan, ReservesFreeSlotsForALargeGangThatHasWaitedLong) {
    struct Case {
        const char* name;
        double waited_s;
        std::size_t free;     // number of machines without a task, of four
        double service_gpus;  // GPUs of the team's limit of 8 that are used by a service replica
        std::size_t starts;   // expected starts of the small job behind the gang
    };
    const Case cases[] = {
        {"the gang is new", 0, 1, 0, 1},
        {"the gang has waited long: the free machine is reserved", 200, 1, 0, 0},
        {"nothing is free", 200, 0, 0, 0},
        {"the team's limit will suffice for the gang once a task has ended: quota is reserved", 200, 4, 0, 0},
        {"the team's services leave too little of its limit for the gang: no quota is reserved", 200, 4, 6,
         1},
    };
    for (auto& c : cases) {
        bool has_team_limit = c.free == 4;
        Input input;
        input.unix_now = 1000;
        for (std::size_t i = 0; i < 4; ++i) {
            input.machines.push_back(machine("m" + std::to_string(i)));
            if (i >= c.free) input.machines[i].free = {0, 0, 0};
        }
        input.jobs.push_back(
            job("j-1", JobKind::gang, has_team_limit ? 2 : 3, 4, has_team_limit ? "a" : "free"));
        input.jobs[0].ready_at = input.unix_now - c.waited_s;
        input.jobs.push_back(job("j-2", JobKind::array, 1, 1, has_team_limit ? "a" : "free"));
        input.jobs[1].ready_at = input.unix_now - 1;
        if (has_team_limit) {
            input.jobs.push_back(job("j-3", c.service_gpus > 0 ? JobKind::service : JobKind::array, 1,
                                     c.service_gpus > 0 ? c.service_gpus : 1, "a"));
            input.jobs[2].waiting_tasks.clear();
            input.instances.push_back({2, 0, 0, false, 0, 0});
            input.team_used["a"] = input.jobs[2].spec->request;
        }
        auto out = run(input);
        EXPECT_EQ(out.starts.size(), c.starts) << c.name;
    }
}
TEST(Plan, AGangWaitsUntilItsPreviousAttemptHasTerminated) {
    Input input;
    for (int i = 0; i < 4; ++i) input.machines.push_back(machine("m" + std::to_string(i)));
    input.jobs.push_back(job("j-1", JobKind::gang, 2, 1));
    input.jobs[0].active_tasks = 1;
    EXPECT_TRUE(run(input).starts.empty());
}
TEST(Plan, AGangInOneZoneNeverSpansTwo) {
    Input input;
    input.machines = {machine("m0"), machine("m1", 1), machine("m2", 1)};
    input.jobs.push_back(job("j-1", JobKind::gang, 2, 4));
    edit(input.jobs[0]).one_zone = true;
    auto decisions = run(input);
    ASSERT_EQ(decisions.starts.size(), 2u);
    for (auto& s : decisions.starts) EXPECT_EQ(input.machines[s.machine].pool, 1u);
}
TEST(Plan, HigherPriorityAndGuaranteesPreemptInATotalOrder) {
    struct Case {
        const char* name;
        Priority waiting, running;
        const char *waiting_team, *running_team;
        int running_unfinished;  // unfinished tasks of the running job: above 4, it exceeds its team's
                                 // guarantee
        bool stops;
    };
    const Case cases[] = {
        {"higher priority preempts lower", Priority::high, Priority::normal, "free", "free", 4, true},
        {"equal priority does not preempt", Priority::normal, Priority::normal, "free", "free", 4, false},
        {"lower priority does not preempt", Priority::low, Priority::normal, "free", "free", 4, false},
        {"a job within its team's guarantee preempts one beyond another team's guarantee", Priority::normal,
         Priority::high, "a", "b", 9, true},
        {"a job within its team's guarantee does not preempt one within another's", Priority::normal,
         Priority::high, "a", "b", 4, false},
        {"higher priority does not preempt a job within a guarantee", Priority::high, Priority::low, "free",
         "b", 4, false},
        {"production preempts a job within a guarantee", Priority::production, Priority::high, "free", "b", 4,
         true},
        {"a job within its team's guarantee does not preempt production", Priority::high,
         Priority::production, "a", "b", 9, false},
    };
    for (auto& c : cases) {
        Input input;
        input.now = 1000;
        input.machines = {machine("m0")};
        input.machines[0].free = {12, 0, 60};
        input.jobs.push_back(job("j-1", JobKind::array, 1, 1, c.waiting_team));
        edit(input.jobs[0]).priority = c.waiting;
        input.jobs.push_back(job("j-2", JobKind::array, 4, 1, c.running_team));
        edit(input.jobs[1]).priority = c.running;
        input.jobs[1].waiting_tasks.clear();
        input.jobs[1].unfinished_tasks = static_cast<std::size_t>(c.running_unfinished);
        for (std::uint32_t i = 0; i < 4; ++i) input.instances.push_back({1, 0, i, false, 100, 110});
        EXPECT_EQ(run(input).stops.size(), c.stops ? 1u : 0u) << c.name;
    }
}
TEST(Plan, ASlotThatIsBeingFreedIsReservedForThePreemptingJob) {
    Input input;
    input.now = 1000;
    input.machines = {machine("m0")};
    input.machines[0].free = {14, 1, 60};
    input.jobs.push_back(job("j-1", JobKind::array, 1, 2));
    edit(input.jobs[0]).priority = Priority::high;
    input.jobs.push_back(
        job("j-2", JobKind::array, 1, 1));  // would fit now, but into the slot for which j-1 waits
    edit(input.jobs[1]).priority = Priority::low;
    input.jobs.push_back(job("j-3", JobKind::array, 3, 1));
    input.jobs[2].waiting_tasks.clear();
    edit(input.jobs[2]).priority = Priority::low;
    for (std::uint32_t i = 0; i < 3; ++i) input.instances.push_back({2, 0, i, i == 0, 100, 110});
    auto decisions = run(input);
    EXPECT_TRUE(decisions.stops.empty());  // one instance is being stopped already, which is enough
    EXPECT_TRUE(decisions.starts.empty());
}
// With thousands of tasks waiting and hardly any free resources, a plan must not search all machines again
// for each task. Jobs that request less than one that did not fit, or that may use other pools, must still be
// tried.
TEST(Plan, SkipsRequestsThatDidNotFitButTriesSmallerOrLessConstrainedJobs) {
    struct Case {
        const char* name;
        double gpus;
        bool spot;
        std::size_t starts;
    };
    const Case cases[] = {{"requests as much", 2, false, 0},
                          {"requests more", 3, false, 0},
                          {"requests less", 1, false, 1},
                          {"requests as much and may use spot machines", 2, true, 1}};
    for (auto& c : cases) {
        Input input;
        input.machines = {machine("m0"), machine("m1", 3)};
        input.machines[0].free = {16, 1, 64};
        input.jobs.push_back(job("j-1", JobKind::array, 1, 2));
        input.jobs.push_back(job("j-2", JobKind::array, 1, c.gpus));
        edit(input.jobs[1]).spot = c.spot;
        EXPECT_EQ(run(input).starts.size(), c.starts) << c.name;
    }
}
// After the loss of many machines, most machines lack most images. A slot is freed where the task can run at
// once, but no slot is freed while another one is being freed already.
TEST(Plan, PreemptsOnTheMachineThatHasTheImage) {
    struct Case {
        bool is_stopping;  // an instance on the machine without the image is being stopped already
        std::size_t stops;
    };
    for (auto c : {Case{false, 1}, Case{true, 0}}) {
        Input input;
        input.now = 1000;
        input.machines = {machine("m0"), machine("m1")};
        input.machines[1].images = std::make_shared<const ImageIds>(ImageIds{7});
        input.jobs.push_back(job("j-1", JobKind::array, 1, 4));
        input.jobs[0].image = 7;
        edit(input.jobs[0]).image_gb = 6;
        edit(input.jobs[0]).priority = Priority::high;
        input.jobs.push_back(job("j-2", JobKind::array, 2, 4));
        input.jobs[1].waiting_tasks.clear();
        edit(input.jobs[1]).priority = Priority::low;
        for (std::uint32_t k = 0; k < 2; ++k) {
            input.machines[k].free = {15, 0, 63};
            input.instances.push_back({1, k, k, k == 0 && c.is_stopping, 100, 110.0 + k});
        }
        auto decisions = run(input);
        ASSERT_EQ(decisions.stops.size(), c.stops);
        if (c.stops > 0) {
            EXPECT_EQ(input.instances[decisions.stops[0].instance].machine, 1u);
        }
    }
}
// If not all slots of a gang can be freed, none is reserved for it, and the instances that would have been
// stopped for it continue to run.
TEST(Plan, PreemptsForAWholeGangOrNotAtAll) {
    for (auto [low, stops] : {std::pair(2, 2u), {1, 0u}}) {
        Input input;
        input.now = 1000;
        input.machines = {machine("m0"), machine("m1")};
        input.jobs.push_back(job("j-1", JobKind::gang, 2, 4));
        edit(input.jobs[0]).priority = Priority::high;
        for (std::size_t k = 0; k < 2; ++k) {
            input.machines[k].free = {12, 0, 60};
            input.jobs.push_back(job("j-" + std::to_string(k + 2), JobKind::array, 1, 4));
            input.jobs[k + 1].waiting_tasks.clear();
            edit(input.jobs[k + 1]).priority =
                static_cast<int>(k) < low ? Priority::low : Priority::production;
            input.instances.push_back({k + 1, k, 0, false, 100, 110});
        }
        EXPECT_EQ(run(input).stops.size(), stops);
        EXPECT_EQ(input.machines[0].reserved.gpus, stops ? 4 : 0);
    }
}
// A fetch takes most of the time allowed for a start, and concurrent fetches on a machine share the rate, so
// tasks start where the image is available soonest.
TEST(Plan, DrawsFromTheMachinesNearestToHavingTheImage) {
    const ImageIds other{3}, same{7};
    auto with_images = [](MachineView m, const ImageIds& images, const ImageIds& fetching) {
        m.images = std::make_shared<const ImageIds>(images);
        m.fetching_images = fetching;
        return m;
    };
    const std::vector<MachineView> nearest{
        with_images(machine("cached"), same, {}), with_images(machine("fetching"), {}, same),
        with_images(machine("absent"), other, {}), with_images(machine("fetching another"), {}, other)};
    for (std::size_t first = 0; first < nearest.size(); ++first) {
        Input input;
        for (std::size_t k = nearest.size(); k-- > first;) input.machines.push_back(nearest[k]);
        input.jobs.push_back(job("j-1", JobKind::array, 1, 1));
        input.jobs[0].image = 7;
        auto decisions = run(input);
        ASSERT_EQ(decisions.starts.size(), 1u);
        EXPECT_EQ(input.machines[decisions.starts[0].machine].id, nearest[first].id);
    }
}
// Guards against slots that are busy fetching images: after the loss of many machines half of all slots were,
// since each slot that became free went to the oldest job. A job waits for its image only for a limited time,
// and service replicas do not wait at all.
TEST(Plan, PlacesTheJobWhoseImageIsAvailableFirstWithinARank) {
    struct Case {
        const char* name;
        JobKind kind;
        double age_s;
        std::size_t first;
    };
    const Case cases[] = {{"arrays", JobKind::array, 10, 1},
                          {"gangs", JobKind::gang, 10, 1},
                          {"a job that has waited long", JobKind::gang, 3 * 20 + 1, 0},
                          {"replicas", JobKind::service, 10, 0}};
    for (auto& c : cases) {
        Input input;
        input.unix_now = 1000;
        input.machines = {machine("m0")};
        input.machines[0].images = std::make_shared<const ImageIds>(ImageIds{7});
        for (std::uint32_t k = 0; k < 2; ++k) {
            input.jobs.push_back(job("j-" + std::to_string(k), c.kind, 1, 4));
            input.jobs[k].ready_at = input.unix_now - c.age_s + k;
            input.jobs[k].image = 6 + k;
        }
        auto decisions = run(input);
        ASSERT_EQ(decisions.starts.size(), 1u);
        EXPECT_EQ(decisions.starts[0].job, c.first) << c.name;
    }
}
TEST(Plan, AGangGoesToTheZoneWhereItsImageIs) {
    for (std::size_t with : {0u, 1u}) {
        Input input;
        for (std::size_t k = 0; k < 8; ++k) {
            input.machines.push_back(machine("m" + std::to_string(k), k % 2));
            // In the other zone, fewer machines than the gang needs have the image.
            if (k % 2 == with || k < 4)
                input.machines[k].images = std::make_shared<const ImageIds>(ImageIds{7});
        }
        input.jobs.push_back(job("j-1", JobKind::gang, 4, 4));
        edit(input.jobs[0]).one_zone = true;
        input.jobs[0].image = 7;
        auto decisions = run(input);
        ASSERT_EQ(decisions.starts.size(), 4u);
        for (auto& s : decisions.starts) EXPECT_EQ(input.machines[s.machine].pool, with);
    }
}
// Guards against machines that can't be scaled in: service replicas do not end by themselves, and when they
// were spread over all machines, none of these could be deleted.
TEST(Plan, PlacesSmallReplicasTogetherButNotOtherTasks) {
    for (auto [kind, gpus, expected_together] :
         {std::tuple(JobKind::service, 1.0, 3u), {JobKind::service, 1.5, 0u}, {JobKind::array, 1.0, 0u}}) {
        Input input;
        input.machines = {machine("m0"), machine("m1"), machine("m2")};
        input.machines[2].free = {15, 3, 63};
        input.machines[2].tasks = input.machines[2].services = 1;
        input.jobs.push_back(job("j-1", kind, 3, gpus));
        std::size_t together = 0;
        for (auto& s : run(input).starts) together += s.machine == 2;
        if (expected_together > 0) {
            EXPECT_EQ(together, expected_together);
        } else {
            EXPECT_LT(together, 3u);
        }
    }
}
TEST(Plan, SmallTasksLeaveWholeMachinesToTasksThatNeedThem) {
    Input input;
    input.machines = {machine("m0"), machine("m1"), machine("m2")};
    input.machines[2].free = {15, 3, 60};
    input.jobs.push_back(job("j-1", JobKind::array, 3, 1));
    input.jobs.push_back(job("j-2", JobKind::gang, 1, 4));
    input.jobs[1].startable = false;
    auto decisions = run(input);
    ASSERT_EQ(decisions.starts.size(), 3u);
    for (auto& s : decisions.starts) EXPECT_EQ(s.machine, 2u);
}
// The last free resources go to the job near its deadline, within a rank, even if only the other job's image
// is cached.
TEST(Order, AJobNearItsDeadlineGoesFirstWithinItsRank) {
    struct Case {
        double due;
        Priority other;
        std::size_t first;
    };
    const Case cases[] = {{1e18, Priority::normal, 0},
                          {1000 + 60, Priority::normal, 0},
                          {1000 + 15, Priority::normal, 1},
                          {1000 - 5, Priority::normal, 1},
                          {1000 + 15, Priority::high, 0}};
    for (auto& c : cases) {
        Input input;
        input.unix_now = 1000;
        input.machines = {machine("m1")};
        input.machines[0].free = {1, 1, 1};
        input.machines[0].images = std::make_shared<const ImageIds>(ImageIds{1});
        input.jobs = {job("j-1", JobKind::array, 1, 1), job("j-2", JobKind::array, 1, 1)};
        input.jobs[0].ready_at = input.jobs[1].ready_at = 999;
        input.jobs[0].image = 1;
        input.jobs[1].image = 2;
        edit(input.jobs[0]).priority = c.other;
        edit(input.jobs[1]).estimated_run_s = 5;
        input.jobs[1].due_at = c.due;
        auto out = run(input);
        ASSERT_EQ(out.starts.size(), 1u);
        EXPECT_EQ(out.starts[0].job, c.first) << c.due;
    }
}
// Thousands of small tasks of low priority must not take processors without which free GPUs can't be used,
// and must not take the last spare resources.
TEST(Plan, LowPriorityTakesNoWithheldSpareResources) {
    struct Case {
        const char* name;
        std::vector<Resources> free;
        Priority priority;
        std::size_t starts;
    };
    const Case cases[] = {
        {"one machine is free: half of it is withheld from low priority",
         {{6, 0, 40}, {16, 4, 64}},
         Priority::low,
         3},
        {"one machine is free: nothing is withheld from normal priority",
         {{6, 0, 40}, {16, 4, 64}},
         Priority::normal,
         5},
        {"low priority takes only processors that the free GPUs do not need",
         {{8, 0, 40}, {11, 1, 30}},
         Priority::low,
         3},
        {"normal priority takes all processors", {{8, 0, 40}, {11, 1, 30}}, Priority::normal, 4},
        {"many machines are free", {{16, 4, 64}, {16, 4, 64}, {16, 4, 64}, {16, 4, 64}}, Priority::low, 10},
    };
    for (auto& c : cases) {
        Input input;
        for (std::size_t k = 0; k < c.free.size(); ++k) {
            input.machines.push_back(machine("m" + std::to_string(k)));
            input.machines.back().free = c.free[k];
        }
        input.jobs.push_back(job("j-1", JobKind::array, 10, 0));
        edit(input.jobs[0]).request = {4, 0, 4};
        edit(input.jobs[0]).priority = c.priority;
        EXPECT_EQ(run(input).starts.size(), c.starts) << c.name;
        EXPECT_LE(input.machines[0].reserved.cpus, c.priority == Priority::low ? 0 : 4) << c.name;
    }
}
TEST(Plan, AvoidsUnusableAndDrainingMachines) {
    Input input;
    input.machines = {machine("m0"), machine("m1"), machine("m2")};
    input.machines[0].usable = false;
    input.machines[1].draining = true;
    input.jobs.push_back(job("j-1", JobKind::array, 5, 1));
    auto decisions = run(input);
    ASSERT_EQ(decisions.starts.size(), 5u);
    for (std::size_t k = 0; k < 4; ++k) EXPECT_EQ(decisions.starts[k].machine, 2u);
    EXPECT_EQ(decisions.starts[4].machine, 1u);  // no other usable machine has enough free resources
}

// Guards against the loss of the second random choice, on which the load balancing is based. With n tasks on
// n machines, the fullest machine holds about ln n / ln ln n tasks with one choice (d = 1), and about ln ln n
// with two (d = 2). The seeds are fixed, and the bound lies between the results for d = 1 and d = 2.
TEST(Draw, TwoChoicesKeepTheFullestMachineLow) {
    constexpr std::size_t n = 2000;
    auto fullest = [](std::uint32_t d, std::uint64_t seed) {
        config::Operator op;
        op.draws = d;
        std::vector<int> tasks(n);
        std::mt19937_64 random(seed);
        PlanCounts counts;
        for (std::size_t k = 0; k < n; ++k) {
            auto m = draw(
                n, [](std::size_t) { return true; }, [&](std::size_t i) { return tasks[i]; }, op, random,
                counts);
            ++tasks[*m];
        }
        return *std::max_element(tasks.begin(), tasks.end());
    };
    for (std::uint64_t seed : {1, 2, 3, 4, 5}) {
        EXPECT_LE(fullest(config::Operator{}.draws, seed), 4) << seed;
        EXPECT_GE(fullest(1, seed), 5) << seed;
    }
}
TEST(Draw, FallsBackToTheFirstSuitableMachine) {
    std::mt19937_64 random(1);
    PlanCounts counts;
    auto m = draw(
        500, [](std::size_t i) { return i == 499; }, [](std::size_t) { return 0; }, config::Operator{},
        random, counts);
    EXPECT_EQ(m, 499u);
    EXPECT_EQ(counts.fallbacks, 1u);
    EXPECT_FALSE(draw(
        5, [](std::size_t) { return false; }, [](std::size_t) { return 0; }, config::Operator{}, random,
        counts));
}

}  // namespace
}  // namespace coralhitch::scheduler
