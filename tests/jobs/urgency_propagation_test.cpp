// Tests of the propagation of urgency through pipelines: its result in any order of the jobs, and its cost in
// counted steps.
#include "jobs/urgency_propagation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

#include "jobs/job_table.hpp"
#include "protocol/model.hpp"

namespace coralhitch::jobs {
namespace {
using protocol::Priority;

constexpr double submitted_at = 1000;

// A pipeline in the order in which its jobs are submitted.
struct Pipeline {
    std::vector<protocol::Job> jobs;

    // Adds a job whose id begins with the prefix, and returns the id.
    std::string add(double estimated_run_s, std::vector<std::string> dependencies,
                    const std::string& prefix = "j-1") {
        protocol::Job job;
        job.id = prefix + std::to_string(100000 + jobs.size());
        job.priority = Priority::low;
        job.estimated_run_s = estimated_run_s;
        job.dependencies = std::move(dependencies);
        jobs.push_back(job);
        return job.id;
    }
    std::size_t dependencies() const {
        std::size_t count = 0;
        for (auto& job : jobs) count += job.dependencies.size();
        return count;
    }
    // Sets the deadline and the priority of the last job, as users do.
    Pipeline with_deadline(double deadline_s) && {
        jobs.back().deadline_s = deadline_s;
        jobs.back().priority = Priority::high;
        return std::move(*this);
    }
};

// Stages of a main and a side job. The main job depends on the main job of the previous stage, directly and
// through the side job of its own stage. The estimates of the side jobs double from stage to stage, so that
// all of the 2^stages paths to the first job differ in length. The ids of the side jobs sort below those of
// the main jobs.
Pipeline doubling_pipeline(std::size_t stages) {
    Pipeline pipeline;
    auto main_job = pipeline.add(1, {}, "j-2");
    double side_estimate_s = 1e-5;
    for (std::size_t stage = 1; stage < stages; ++stage, side_estimate_s *= 2) {
        auto side_job = pipeline.add(std::min(side_estimate_s, 1e6), {main_job}, "j-1");
        main_job = pipeline.add(1, {main_job, side_job}, "j-2");
    }
    return std::move(pipeline).with_deadline(1e9);
}

Pipeline chain(std::size_t length) {
    Pipeline pipeline;
    std::vector<std::string> previous;
    for (std::size_t job = 0; job < length; ++job) previous = {pipeline.add(1, previous)};
    return std::move(pipeline).with_deadline(1e6);
}

// Stages of `width` jobs, each of which depends on all jobs of the previous stage, and a last job.
Pipeline wide_pipeline(std::size_t stages, std::size_t width, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> estimate_s(0, 1000);
    Pipeline pipeline;
    std::vector<std::string> previous;
    for (std::size_t stage = 0; stage < stages; ++stage) {
        std::vector<std::string> jobs;
        for (std::size_t job = 0; job < width; ++job)
            jobs.push_back(pipeline.add(estimate_s(random), previous));
        previous = std::move(jobs);
    }
    pipeline.add(1, previous);
    return std::move(pipeline).with_deadline(1e6);
}

enum class Order { as_submitted, reversed, shuffled };

std::vector<protocol::Job> in_order(std::vector<protocol::Job> jobs, Order order) {
    std::mt19937_64 random(7);
    if (order == Order::reversed) std::reverse(jobs.begin(), jobs.end());
    if (order == Order::shuffled) std::shuffle(jobs.begin(), jobs.end(), random);
    return jobs;
}

void put(JobTable& table, const protocol::Job& job) {
    table.put(job.id, 1, {job, submitted_at, false});
}

// Returns the due time of each job, computed from the last job to the first.
std::map<std::string, double> expected_due_times(const Pipeline& pipeline) {
    std::map<std::string, double> due_at;
    for (auto& job : pipeline.jobs)
        due_at[job.id] = job.deadline_s ? submitted_at + *job.deadline_s : JobEntry::no_deadline;
    for (auto job = pipeline.jobs.rbegin(); job != pipeline.jobs.rend(); ++job)
        for (auto& dependency : job->dependencies)
            due_at[dependency] = std::min(due_at[dependency], due_at[job->id] - job->estimated_run_s);
    return due_at;
}

struct Case {
    const char* name;
    std::function<Pipeline(std::size_t size)> pipeline;
    std::vector<std::size_t> sizes;
};
const Case cases[] = {
    {"estimates that double", doubling_pipeline, {4, 8, 12, 16, 20, 60, 1000}},
    {"chain", chain, {10, 100, 1000, 10000}},
    {"wide stages", [](std::size_t stages) { return wide_pipeline(stages, 38, stages); }, {3, 10, 50}},
};

// The number of examined dependencies, for each job and dependency of the pipeline: at most three for a
// dependency (see propagate_urgency), and one to inherit from each dependent.
constexpr std::size_t max_steps_per_dependency = 4;

// Guards against the loss of all leaders one after the other: a job was visited once for each path to it, so
// a pipeline of 60 jobs took 2^30 visits in one turn of the event loop.
TEST(UrgencyPropagation, TakesStepsInProportionToThePipelineWhenALeaderReadsItInAnyOrder) {
    for (auto& c : cases)
        for (auto order : {Order::as_submitted, Order::reversed, Order::shuffled})
            for (auto size : c.sizes) {
                SCOPED_TRACE(std::string(c.name) + " of size " + std::to_string(size));
                auto pipeline = c.pipeline(size);
                JobTable table(16);
                {
                    const JobTable::Batch batch(table);
                    for (auto& job : in_order(pipeline.jobs, order)) put(table, job);
                }
                ASSERT_LE(table.dependency_steps(), max_steps_per_dependency * pipeline.dependencies());
                for (auto& [id, due_at] : expected_due_times(pipeline)) {
                    EXPECT_EQ(table.find(id)->due_at, due_at) << id;
                    EXPECT_EQ(table.find(id)->priority, Priority::high) << id;
                }
            }
}

// The same fault on the leader that is in office when the jobs are submitted one by one.
TEST(UrgencyPropagation, TakesStepsInProportionToThePipelineForEachSubmission) {
    for (auto& c : cases)
        for (auto size : c.sizes) {
            SCOPED_TRACE(std::string(c.name) + " of size " + std::to_string(size));
            auto pipeline = c.pipeline(size);
            JobTable table(16);
            std::uint64_t before = 0;
            for (auto& job : pipeline.jobs) {
                put(table, job);
                auto steps = table.dependency_steps() - std::exchange(before, table.dependency_steps());
                bool is_last = &job == &pipeline.jobs.back();
                ASSERT_LE(steps, max_steps_per_dependency *
                                     (is_last ? pipeline.dependencies() : job.dependencies.size()));
            }
            for (auto& [id, due_at] : expected_due_times(pipeline))
                EXPECT_EQ(table.find(id)->due_at, due_at) << id;
        }
}

// Jobs that arrive one by one in any order, as when the audit finds jobs that the watch has missed.
TEST(UrgencyPropagation, ReachesTheSameDueTimesWithoutABatchInAnyOrder) {
    for (auto order : {Order::as_submitted, Order::reversed, Order::shuffled})
        for (auto& pipeline : {doubling_pipeline(60), chain(100), wide_pipeline(5, 10, 3)}) {
            JobTable table(16);
            for (auto& job : in_order(pipeline.jobs, order)) put(table, job);
            for (auto& [id, due_at] : expected_due_times(pipeline)) {
                EXPECT_EQ(table.find(id)->due_at, due_at) << id;
                EXPECT_EQ(table.find(id)->priority, Priority::high) << id;
            }
        }
}

TEST(UrgencyPropagation, EndsIfStoredRecordsFormACycle) {
    JobTable table(16);
    Pipeline pipeline;
    pipeline.add(1, {"j-1100001"});
    pipeline.add(1, {"j-1100000"});
    for (auto& job : std::move(pipeline).with_deadline(100).jobs) put(table, job);
    EXPECT_EQ(table.entries().size(), 2u);
}

}  // namespace
}  // namespace coralhitch::jobs
