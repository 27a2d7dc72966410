// Places tasks that start one by one: of arrays and services.
#pragma once
#include "scheduler/machine_choice.hpp"
#include "scheduler/preemption.hpp"

namespace coralhitch::scheduler {

class TaskPlacer {
  public:
    TaskPlacer(PlanState& plan, Preemption& preemption) : plan_(plan), preemption_(preemption) {}
    // As many waiting tasks as find room. `near_only`: only where the image is, or is on its way.
    void place(std::size_t job, bool near_only);

  private:
    TieredMachines candidates(const JobView& job, const PoolSet& pools, bool near_only) const;
    std::optional<std::size_t> choose(const JobView& job, const PoolSet& pools, TieredMachines& sets);
    void narrow(const JobView& job, PoolSet& pools, TieredMachines& sets) const;

    PlanState& plan_;
    Preemption& preemption_;
};

}  // namespace coralhitch::scheduler
