// Draws pipelines of jobs with one deadline from a seed.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coralhitch::simulation {

class SimulatedCluster;

// How the jobs of a stage depend on those of the previous one.
enum class PipelineShape {
    chain,   // one job a stage
    ladder,  // a main and a side job; the side job depends on the previous main job, the main job on both
    wide     // several jobs, each of which depends on all jobs of the previous stage
};
inline constexpr std::size_t pipeline_shape_count = static_cast<std::size_t>(PipelineShape::wide) + 1;

// The order of the jobs' ids, compared with the order of their submission. A new leader reads the jobs in the
// order of their ids. In a ladder, `side_jobs_first` gives all side jobs lower ids than the main jobs.
enum class IdOrder { ascending, descending, shuffled, side_jobs_first };
inline constexpr std::size_t id_order_count = static_cast<std::size_t>(IdOrder::side_jobs_first) + 1;

struct PipelineJob {
    std::string id;
    std::vector<std::string> dependencies;
    double run_s = 0, estimated_run_s = 0;
    std::optional<double> deadline_s;
};

// A pipeline, with its jobs in the order of their submission. Times are simulated seconds.
struct Pipeline {
    double submitted_at = 0;
    PipelineShape shape = PipelineShape::chain;
    IdOrder id_order = IdOrder::ascending;
    std::size_t stages = 0;
    // Ratio of the estimates of two successive stages; in a ladder, of their side jobs only.
    double estimate_growth = 1;
    std::vector<PipelineJob> jobs;
    std::optional<std::size_t> cancelled_job;  // index in `jobs`
    double cancelled_at = 0;
};

// Returns the pipeline of a scenario. The same seed gives the same pipeline.
Pipeline draw_pipeline(std::uint64_t seed);
// Submits the jobs of the pipeline at its time, each one as soon as those that it depends on are accepted,
// and cancels the job that is to be cancelled.
void schedule_pipeline(SimulatedCluster& cluster, const Pipeline& pipeline);

}  // namespace coralhitch::simulation
