// What is left on each machine while the starts of one plan are applied.
#pragma once
#include <cstddef>
#include <unordered_map>

#include "cluster/machine.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {

// Sums up the instances on a machine once, and keeps the result up to date with the starts that follow. A
// gang may start thousands of tasks on one machine, so going through its instances for each start takes
// quadratic time.
//
// Valid only while nothing else changes the machines.
class MachineCapacities {
  public:
    // Returns whether the request fits on the machine, beside instances whose jobs are all known.
    [[nodiscard]] bool fits(const cluster::Machine& machine, const protocol::Resources& request) {
        auto& capacity = of(machine);
        return !capacity.has_instance_of_unknown_job && capacity.free.fits(request);
    }
    void take(const cluster::Machine& machine, const protocol::Resources& request) {
        of(machine).free -= request;
    }
    void give_back(const cluster::Machine& machine, const protocol::Resources& request) {
        of(machine).free += request;
    }
    // Returns how many instances were gone through so far.
    [[nodiscard]] std::size_t instances_examined() const { return instances_examined_; }

  private:
    struct Capacity {
        protocol::Resources free;
        bool has_instance_of_unknown_job = false;
    };
    Capacity& of(const cluster::Machine& machine) {
        auto [position, inserted] = capacities_.try_emplace(&machine);
        if (inserted) {
            position->second = {machine.free(), machine.has_instance_of_unknown_job()};
            instances_examined_ += machine.tasks.size();
        }
        return position->second;
    }

    std::unordered_map<const cluster::Machine*, Capacity> capacities_;
    std::size_t instances_examined_ = 0;
};

}  // namespace coralhitch::leader
