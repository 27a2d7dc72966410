// Preemption: frees slots for a job by stopping instances of jobs with a lower rank.
#pragma once
#include <cstddef>
#include <limits>
#include <optional>
#include <vector>

#include "scheduler/plan_state.hpp"

namespace coralhitch::scheduler {

// Chooses the instances that one plan preempts: those whose stop costs least, by the work that is lost and by
// the time to fetch the image of the preempting task.
//
// Tracks which instances are being stopped and for which jobs preemption is known to fail. Adds stops to the
// plan's decisions and reservations to the machines of its input. The plan must outlive this object. Used by
// one thread. Jobs, machines and instances are identified by their index in the input.
class Preemption {
  public:
    explicit Preemption(PlanState& plan);

    // Reserves a slot for one waiting task, on a machine where enough instances are being stopped already, or
    // are stopped by this call. Returns the machine, or nothing if no machine can get enough resources by
    // preemption.
    std::optional<std::size_t> reserve_slot(std::size_t job, const PoolSet& pools);
    // Reserves slots for all waiting tasks of a gang. Returns false, and reserves and stops nothing, if there
    // are not enough slots for all of them.
    bool reserve_slots_for_gang(std::size_t job, const PoolSet& pools);

  private:
    // How a machine gets the resources that a task requests, in order of preference.
    enum class Source {
        stopping_with_image,  // enough instances are being stopped already, and the image is in the cache
        stopping,             // enough instances are being stopped already
        preemption,           // further instances must be stopped
    };
    // A way to get a slot on one machine.
    struct Choice {
        std::vector<std::size_t> victims;  // instances to stop
        Source source = Source::preemption;
        double lost_s =
            std::numeric_limits<double>::max();  // cost: seconds of lost work and of image fetching
        [[nodiscard]] bool is_better_than(const Choice& other) const;
    };
    // A job for which no slot can be had by preemption in these pools.
    struct FailedPreemption {
        std::size_t job;
        PoolSet pools;
    };
    [[nodiscard]] double lost_work_s(const InstanceView& instance) const;
    [[nodiscard]] double fetch_s(const JobView& job, std::size_t machine) const;
    [[nodiscard]] std::optional<Choice> cheapest_on(std::size_t job, std::size_t machine) const;
    [[nodiscard]] std::vector<std::size_t> preemptible_on(std::size_t job, std::size_t machine) const;
    void sort_by_cost(std::vector<std::size_t>& candidates) const;
    [[nodiscard]] bool is_in_gang(std::size_t instance) const;
    void stop(const Choice& choice, std::size_t job);
    void undo(std::size_t job, const Machines& reserved, std::size_t stops);
    [[nodiscard]] bool is_known_to_fail(std::size_t job, const PoolSet& pools) const;

    PlanState& plan_;
    std::vector<bool> stopping_;                        // by instance
    std::vector<int> lowest_rank_;                      // lowest rank of the instances on each machine
    std::vector<std::vector<std::size_t>> by_machine_;  // instances on each machine
    std::vector<std::vector<std::size_t>> by_job_;      // instances of each job
    std::vector<FailedPreemption> failed_;
};

}  // namespace coralhitch::scheduler
