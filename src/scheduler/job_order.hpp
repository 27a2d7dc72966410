// Which job goes first, and which may preempt which.
//
// Refers to the input and the settings that it was made from, and changes neither; jobs are indices of
// `Input::jobs`. Owns which jobs are within their team's guaranteed quota, computed once.
#pragma once
#include <cstddef>
#include <vector>

#include "config/settings.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

class JobOrder {
  public:
    JobOrder(const Input& input, const config::Settings& settings);

    // Startable jobs with waiting tasks, those that go first first.
    [[nodiscard]] std::vector<std::size_t> waiting_jobs() const;

    // A total order of who may preempt whom: production, then guaranteed work, then priority. Without
    // cycles, so that two jobs can't preempt each other in turn. Production goes before guarantees: after a
    // zone was lost, replicas that are beyond their team's guarantee found everything else within one, and
    // stayed down.
    [[nodiscard]] int rank(std::size_t job) const;
    [[nodiscard]] bool may_preempt(std::size_t job, std::size_t victim) const;

    // Has hardly more time left than its tasks take: goes first among jobs of its rank, and does not wait for
    // machines that have its image.
    [[nodiscard]] bool is_near_deadline(std::size_t job) const;
    // Whether it still lets others of its rank go first whose image is at hand.
    [[nodiscard]] bool may_wait_for_image(std::size_t job) const;

  private:
    void compute_guaranteed();
    [[nodiscard]] bool goes_before(std::size_t job, std::size_t other) const;

    const Input& input_;
    const config::Settings& settings_;
    std::vector<bool> guaranteed_;  // by job: it fits into its team's guaranteed quota
};

}  // namespace coralhitch::scheduler
