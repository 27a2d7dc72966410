// Places tasks that start one by one: those of arrays and services.
//
// Owns nothing; changes the plan through PlanState and Preemption. Jobs are indices of the input.
#pragma once
#include <cstddef>
#include <optional>

#include "scheduler/machine_choice.hpp"
#include "scheduler/preemption.hpp"

namespace coralhitch::scheduler {

class TaskPlacer {
  public:
    TaskPlacer(PlanState& plan, Preemption& preemption) : plan_(plan), preemption_(preemption) {}
    // Starts as many waiting tasks as find a place, and preempts others for the rest.
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
