// Placement of tasks that start independently of each other: those of array jobs and services.
#pragma once
#include <cstddef>
#include <optional>

#include "scheduler/machine_choice.hpp"
#include "scheduler/preemption.hpp"

namespace coralhitch::scheduler {

// Places the array jobs and services of one plan. Has no state of its own: it changes the plan through
// PlanState and Preemption, which must outlive it. Used by one thread. Jobs are identified by their index in
// the input.
class TaskPlacer {
  public:
    TaskPlacer(PlanState& plan, Preemption& preemption) : plan_(plan), preemption_(preemption) {}
    // Starts as many waiting tasks as fit and the team's hard limit allows. If `image_requirement` is `none`,
    // records tasks that do not fit as unplaced and tries to free slots for them by preemption.
    void place(std::size_t index, ImageRequirement image_requirement);

  private:
    [[nodiscard]] TieredMachines candidates(const JobView& job, const PoolSet& pools,
                                            ImageRequirement image_requirement) const;
    [[nodiscard]] std::optional<std::size_t> choose(const JobView& job, const PoolSet& pools,
                                                    TieredMachines& sets);
    void drop_disallowed(const JobView& job, PoolSet& pools, TieredMachines& sets) const;

    PlanState& plan_;
    Preemption& preemption_;
};

}  // namespace coralhitch::scheduler
