// Places gangs: all tasks or none.
//
// Owns only whether free places are reserved for a gang that has waited long. Changes the plan through
// PlanState and Preemption. Jobs are indices of the input.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "protocol/model.hpp"
#include "scheduler/machine_choice.hpp"
#include "scheduler/preemption.hpp"

namespace coralhitch::scheduler {

class GangPlacer {
  public:
    GangPlacer(PlanState& plan, Preemption& preemption) : plan_(plan), preemption_(preemption) {}
    // Starts all tasks of the gang, or records them as unplaced and tries to preempt others for it.
    void place(std::size_t index, ImageRequirement image_requirement);

  private:
    // How far the places that a gang would take are from having the image, as numbers of `ImageDistance`.
    struct Distance {
        std::size_t worst = 0;
        std::size_t sum = 0;
        [[nodiscard]] bool is_nearer_than(const Distance& other) const;
    };
    [[nodiscard]] std::vector<PoolSet> pool_groups(const JobView& job, const PoolSet& pools);
    [[nodiscard]] bool place_nearest(std::size_t index, const std::vector<PoolSet>& groups,
                                     ImageRequirement image_requirement);
    [[nodiscard]] std::optional<Distance> distance(const JobView& job, const PoolSet& pools);
    [[nodiscard]] bool place_all(std::size_t index, const PoolSet& pools);
    [[nodiscard]] bool has_waited_long(const JobView& job) const;
    [[nodiscard]] Machines free_slots(const JobView& job, const PoolSet& pools) const;
    void reserve_free_slots(std::size_t index, const std::vector<PoolSet>& groups);
    void reserve_quota(const JobView& job);
    [[nodiscard]] bool quota_will_suffice(const protocol::Job& spec) const;

    PlanState& plan_;
    Preemption& preemption_;
    bool has_reserved_slots_ = false;  // for one gang of this plan
};

}  // namespace coralhitch::scheduler
