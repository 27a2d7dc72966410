// Which job goes first, and which may displace which.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

// Refers to the input and the settings that it was made from; indices are those of `Input::jobs`.
class JobOrder {
  public:
    JobOrder(const Input& in, const config::Settings& settings);

    // Startable jobs with waiting tasks, those that go first first.
    std::vector<std::size_t> waiting_jobs() const;
    // A total order of who may displace whom: production, then guaranteed work, then priority. Without
    // cycles, so that two jobs can't displace each other in turn. Production goes before guarantees: after a
    // zone was lost, replicas that are beyond their team's guarantee found everything else within one, and
    // stayed down.
    int rank(std::size_t job) const;
    bool may_displace(std::size_t job, std::size_t victim) const;
    // Has hardly more time left than its tasks take: goes first among jobs of its rank, and does not wait for
    // machines that have its image.
    bool pressed(std::size_t job) const;
    // Whether it still lets others of its rank go first whose image is at hand.
    bool patient(std::size_t job) const;

  private:
    void find_guaranteed();
    bool goes_before(std::size_t a, std::size_t b) const;

    const Input& in_;
    const config::Settings& settings_;
    std::vector<bool> guaranteed_;  // by job: it fits into its team's guarantee
};

}  // namespace coralhitch::scheduler
