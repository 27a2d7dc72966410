// Tests of the propagation of urgency through pipelines: its result in any order of the jobs, and its cost in
// counted steps.
#include "jobs/urgency_propagation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "jobs/job_table.hpp"
#include "jobs/pipelines.hpp"
#include "protocol/model.hpp"

namespace coralhitch::jobs {
namespace {
using protocol::Priority;

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
