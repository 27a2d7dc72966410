// Pipelines of jobs with one deadline, for tests and benchmarks of the job table.
#pragma once
#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_table.hpp"
#include "protocol/model.hpp"

namespace coralhitch::jobs {

inline constexpr double submitted_at = 1000;  // unix seconds

// A pipeline in the order in which its jobs are submitted.
struct Pipeline {
    std::vector<protocol::Job> jobs;

    // Adds a job whose id begins with the prefix, and returns the id.
    std::string add(double estimated_run_s, std::vector<std::string> dependencies,
                    const std::string& prefix = "j-1") {
        protocol::Job job;
        job.id = prefix + std::to_string(100000 + jobs.size());
        job.priority = protocol::Priority::low;
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
        auto& last = jobs.at(jobs.size() - 1);
        last.deadline_s = deadline_s;
        last.priority = protocol::Priority::high;
        return std::move(*this);
    }
};

// Stages of a main and a side job. The main job depends on the main job of the previous stage, directly and
// through the side job of its own stage. The estimates of the side jobs double from stage to stage, so that
// all of the 2^stages paths to the first job differ in length. The ids of the side jobs sort below those of
// the main jobs.
inline Pipeline doubling_pipeline(std::size_t stages) {
    Pipeline pipeline;
    auto main_job = pipeline.add(1, {}, "j-2");
    double side_estimate_s = 1e-5;
    for (std::size_t stage = 1; stage < stages; ++stage, side_estimate_s *= 2) {
        auto side_job = pipeline.add(std::min(side_estimate_s, 1e6), {main_job}, "j-1");
        main_job = pipeline.add(1, {main_job, side_job}, "j-2");
    }
    return std::move(pipeline).with_deadline(1e9);
}

inline Pipeline chain(std::size_t length) {
    Pipeline pipeline;
    std::vector<std::string> previous;
    for (std::size_t job = 0; job < length; ++job) previous = {pipeline.add(1, previous)};
    return std::move(pipeline).with_deadline(1e6);
}

// Stages of `width` jobs, each of which depends on all jobs of the previous stage, and a last job.
inline Pipeline wide_pipeline(std::size_t stages, std::size_t width, std::uint64_t seed) {
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

inline std::vector<protocol::Job> in_order(std::vector<protocol::Job> jobs, Order order) {
    std::mt19937_64 random(7);
    if (order == Order::reversed) std::reverse(jobs.begin(), jobs.end());
    if (order == Order::shuffled) std::shuffle(jobs.begin(), jobs.end(), random);
    return jobs;
}

inline void put(JobTable& table, const protocol::Job& job) {
    table.put(job.id, 1, {job, submitted_at, false});
}

}  // namespace coralhitch::jobs
