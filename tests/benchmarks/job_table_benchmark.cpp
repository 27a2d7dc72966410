// Command-line tool that measures what pipelines cost the leader in one turn of the event loop:
// coralhitch_job_table_benchmark
//
// Each row is a pipeline with a deadline on its last job. `load`: a new leader reads all jobs, in random
// order. `submit`: the leader in office reads the last job after all others. Steps are examined dependencies.
#include <chrono>
#include <cstdio>

#include "jobs/job_table.hpp"
#include "jobs/pipelines.hpp"

namespace coralhitch::jobs {
namespace {

struct Cost {
    std::uint64_t steps = 0;
    double milliseconds = 0;
};

template <class Action>
Cost measure(const JobTable& table, Action action) {
    using Clock = std::chrono::steady_clock;
    auto steps_before = table.dependency_steps();
    auto begun = Clock::now();
    action();
    std::chrono::duration<double, std::milli> elapsed = Clock::now() - begun;
    return {table.dependency_steps() - steps_before, elapsed.count()};
}

Cost load(const Pipeline& pipeline) {
    JobTable table(16);
    auto jobs = in_order(pipeline.jobs, Order::shuffled);
    return measure(table, [&] {
        const JobTable::Batch batch(table);
        for (auto& job : jobs) put(table, job);
    });
}

Cost submit_last(const Pipeline& pipeline) {
    JobTable table(16);
    for (std::size_t job = 0; job + 1 < pipeline.jobs.size(); ++job) put(table, pipeline.jobs[job]);
    return measure(table, [&] { put(table, pipeline.jobs.back()); });
}

void print_row(const char* name, const Pipeline& pipeline) {
    auto loaded = load(pipeline), submitted = submit_last(pipeline);
    std::printf("%-22s %7zu %12zu %10llu %9.2f %12llu %9.2f\n", name, pipeline.jobs.size(),
                pipeline.dependencies(), static_cast<unsigned long long>(loaded.steps), loaded.milliseconds,
                static_cast<unsigned long long>(submitted.steps), submitted.milliseconds);
}

void run() {
    std::printf("%-22s %7s %12s %10s %9s %12s %9s\n", "pipeline", "jobs", "dependencies", "load steps", "ms",
                "submit steps", "ms");
    for (std::size_t stages : {8, 30, 300, 3000})
        print_row("estimates that double", doubling_pipeline(stages));
    for (std::size_t length : {100, 1000, 10000}) print_row("chain", chain(length));
    for (std::size_t stages : {10, 100, 400}) print_row("stages of 38", wide_pipeline(stages, 38, stages));
}

}  // namespace
}  // namespace coralhitch::jobs

int main() {
    coralhitch::jobs::run();
}
