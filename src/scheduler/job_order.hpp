// The order in which jobs are placed, and which job may preempt which.
#pragma once
#include <cstddef>
#include <vector>

#include "config/settings.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Ranks the jobs of one plan. Jobs are identified by their index in `Input::jobs`.
//
// Refers to the input and the settings that it was made from, which must outlive it, and changes neither.
// Determines once, at construction, which jobs are within their team's guaranteed quota.
class JobOrder {
  public:
    JobOrder(const Input& input, const config::Settings& settings);

    // Returns the startable jobs with waiting tasks, in the order in which they are to be placed.
    [[nodiscard]] std::vector<std::size_t> waiting_jobs() const;

    // Returns the rank of a job; jobs of higher rank are placed first. Jobs that have priority `production`
    // or are within their team's guaranteed quota rank above all other jobs. Apart from that, the priority
    // decides. Since a job preempts only jobs of lower rank, two jobs can't preempt each other in turn.
    // Production jobs rank high even beyond the guaranteed quota: after the loss of a zone, service replicas
    // beyond their team's guarantee could preempt nothing, since all other jobs were within a guarantee, and
    // the replicas stayed down.
    [[nodiscard]] int rank(std::size_t job) const;
    // Returns whether `job` may preempt instances of `victim`: it ranks higher, and either has the higher
    // priority or is within its team's guarantee while `victim`, of another team, is not.
    [[nodiscard]] bool may_preempt(std::size_t job, std::size_t victim) const;

    // Returns whether the job has hardly more time left until it is due than its tasks take. Such a job is
    // placed first within its rank and does not wait for machines that have its image.
    [[nodiscard]] bool is_near_deadline(std::size_t job) const;
    // Returns whether the job still waits for machines that have its image, and lets jobs of its rank whose
    // image is available be placed first. Services and jobs near their deadline never wait.
    [[nodiscard]] bool may_wait_for_image(std::size_t job) const;

  private:
    void compute_guaranteed();
    [[nodiscard]] bool precedes(std::size_t job, std::size_t other) const;

    const Input& input_;
    const config::Settings& settings_;
    std::vector<bool> guaranteed_;  // by job index: the job is within its team's guaranteed quota
};

}  // namespace coralhitch::scheduler
