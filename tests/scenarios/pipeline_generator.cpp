#include "scenarios/pipeline_generator.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>

#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {

constexpr std::size_t max_stages = 20, max_wide_stages = 6, max_width = 4;
constexpr int first_pipeline_id = 800000;

double between(std::mt19937_64& random, double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
}
template <class Kind>
Kind draw_kind(std::mt19937_64& random, std::size_t count) {
    return static_cast<Kind>(random() % count);
}

// Adds the jobs of a pipeline, and assigns their ids when all are known.
class PipelineBuilder {
  public:
    PipelineBuilder(std::mt19937_64& random, Pipeline& pipeline) : random_(random), pipeline_(pipeline) {}

    void build() {
        std::size_t width = pipeline_.shape == PipelineShape::wide ? 2 + random_() % (max_width - 1) : 1;
        std::vector<std::size_t> previous;
        for (std::size_t stage = 0; stage < pipeline_.stages; ++stage)
            previous = pipeline_.shape == PipelineShape::ladder ? add_rung(stage, previous)
                                                                : add_stage(stage, width, previous);
        add_job(0, previous);
        assign_ids();
    }

  private:
    std::vector<std::size_t> add_stage(std::size_t stage, std::size_t width,
                                       const std::vector<std::size_t>& previous) {
        std::vector<std::size_t> added;
        for (std::size_t job = 0; job < width; ++job) added.push_back(add_job(stage, previous));
        return added;
    }
    std::vector<std::size_t> add_rung(std::size_t stage, std::vector<std::size_t> previous) {
        if (stage == 0) return {add_job(stage, {})};
        auto side_job = add_job(stage, previous);
        side_jobs_.push_back(side_job);
        previous.push_back(side_job);
        return {add_job(0, previous)};
    }
    std::size_t add_job(std::size_t times_grown, const std::vector<std::size_t>& dependencies) {
        constexpr double first_estimate_s = 1e-3;
        PipelineJob job;
        job.run_s = between(random_, 0.2, 0.8);
        job.estimated_run_s = first_estimate_s * std::pow(pipeline_.estimate_growth, times_grown);
        pipeline_.jobs.push_back(job);
        dependencies_.push_back(dependencies);
        return pipeline_.jobs.size() - 1;
    }
    void assign_ids() {
        std::vector<std::size_t> order(pipeline_.jobs.size());
        std::iota(order.begin(), order.end(), 0);
        if (pipeline_.id_order == IdOrder::descending) std::reverse(order.begin(), order.end());
        if (pipeline_.id_order == IdOrder::shuffled) std::shuffle(order.begin(), order.end(), random_);
        if (pipeline_.id_order == IdOrder::side_jobs_first)
            std::stable_partition(order.begin(), order.end(), [this](auto job) {
                return std::find(side_jobs_.begin(), side_jobs_.end(), job) != side_jobs_.end();
            });
        for (std::size_t position = 0; position < order.size(); ++position)
            pipeline_.jobs[order[position]].id =
                "j-" + std::to_string(first_pipeline_id + static_cast<int>(position));
        for (std::size_t job = 0; job < pipeline_.jobs.size(); ++job)
            for (auto dependency : dependencies_[job])
                pipeline_.jobs[job].dependencies.push_back(pipeline_.jobs[dependency].id);
    }

    std::mt19937_64& random_;
    Pipeline& pipeline_;
    std::vector<std::vector<std::size_t>> dependencies_;  // of each job, as indexes
    std::vector<std::size_t> side_jobs_;
};

json more_fields(const PipelineJob& job) {
    json fields{{"run_s", job.run_s}, {"reckon_s", job.estimated_run_s}, {"rank", "normal"}};
    if (job.deadline_s) fields.update({{"tide_s", *job.deadline_s}, {"rank", "high"}});
    return fields;
}
}  // namespace

Pipeline draw_pipeline(std::uint64_t seed) {
    constexpr std::array estimate_growths{1.0, 0.5, 2.0, 3.0};
    std::mt19937_64 random(seed);
    Pipeline pipeline;
    pipeline.submitted_at = between(random, 3, 30);
    pipeline.shape = draw_kind<PipelineShape>(random, pipeline_shape_count);
    pipeline.id_order = draw_kind<IdOrder>(random, id_order_count);
    auto most_stages = pipeline.shape == PipelineShape::wide ? max_wide_stages : max_stages;
    pipeline.stages = 2 + random() % (most_stages - 1);
    pipeline.estimate_growth = estimate_growths[random() % estimate_growths.size()];
    PipelineBuilder(random, pipeline).build();
    pipeline.jobs.back().deadline_s = between(random, 20, 2000);
    if (random() % 4 == 0) {
        pipeline.cancelled_job = random() % pipeline.jobs.size();
        pipeline.cancelled_at = pipeline.submitted_at + between(random, 8, 40);
    }
    return pipeline;
}

void schedule_pipeline(SimulatedCluster& cluster, const Pipeline& pipeline) {
    for (auto& job : pipeline.jobs)
        cluster.at(pipeline.submitted_at, [&cluster, job] {
            cluster.submit_awaiting(job.id, "batch", 1, job.run_s, job.dependencies, more_fields(job));
        });
    if (!pipeline.cancelled_job) return;
    cluster.at(pipeline.cancelled_at,
               [&cluster, id = pipeline.jobs[*pipeline.cancelled_job].id] { cluster.cancel(id); });
}

}  // namespace coralhitch::simulation
