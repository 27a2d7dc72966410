// Tests of Observations: the dependencies of a job, and the cancellations that follow from them.
#include "verification/observations.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace coralhitch::verification {
namespace {

std::string main_job(std::size_t stage) {
    return "j-2" + std::to_string(stage);
}
std::string side_job(std::size_t stage) {
    return "j-1" + std::to_string(stage);
}
void add(Observations& observations, const std::string& id, std::vector<std::string> dependencies) {
    protocol::Job job;
    job.id = id;
    job.dependencies = std::move(dependencies);
    observations.add_job(job);
}
// Adds stages of a main and a side job. The main job depends on the main job of the previous stage, directly
// and through its side job, so the number of paths doubles with each stage.
void add_ladder(Observations& observations, std::size_t stages) {
    add(observations, main_job(0), {});
    for (std::size_t stage = 1; stage < stages; ++stage) {
        add(observations, side_job(stage), {main_job(stage - 1)});
        add(observations, main_job(stage), {main_job(stage - 1), side_job(stage)});
    }
}

// Guards against a checker that takes exponential time: it visited a job once for each path to it, so a
// scenario with a pipeline of 20 stages took half a minute.
TEST(Observations, VisitsEachDependencyOnceHoweverManyPathsLeadToIt) {
    for (std::size_t stages : {2, 8, 60, 1000}) {
        Observations observations;
        add_ladder(observations, stages);
        std::set<std::string> ids;
        auto dependencies = observations.dependencies_of(main_job(stages - 1));
        for (auto* dependency : dependencies) ids.insert(dependency->job.id);
        EXPECT_EQ(dependencies.size(), 2 * (stages - 1));
        EXPECT_EQ(ids.size(), dependencies.size());
    }
}

TEST(Observations, FindsTheFirstConfirmedCancellationAmongAllDependencies) {
    constexpr std::size_t stages = 60;
    Observations observations;
    add_ladder(observations, stages);
    auto last = main_job(stages - 1);
    EXPECT_FALSE(observations.cancel_wanted(last));
    EXPECT_FALSE(observations.dependency_cancelled_at(last));
    observations.find(main_job(0))->cancel_requested = true;
    EXPECT_TRUE(observations.cancel_wanted(last));
    EXPECT_TRUE(observations.cancel_wanted(main_job(0)));
    EXPECT_FALSE(observations.dependency_cancelled_at(last)) << "not confirmed yet";
    observations.find(main_job(0))->cancelled_at = 30;
    observations.find(side_job(5))->cancel_requested = true;
    observations.find(side_job(5))->cancelled_at = 20;
    EXPECT_EQ(observations.dependency_cancelled_at(last), 20);
    EXPECT_EQ(observations.dependency_cancelled_at(main_job(3)), 30);
    EXPECT_FALSE(observations.dependency_cancelled_at(main_job(0))) << "a job is not its own dependency";
    observations.find(side_job(7))->cancelled_at = 10;
    EXPECT_EQ(observations.dependency_cancelled_at(last), 20) << "nobody asked to cancel that one itself";
}

}  // namespace
}  // namespace coralhitch::verification
