// Placement of gangs, whose tasks start together or not at all.
//
// A *slot* is the amount of resources on one machine that one task requests. Jobs, machines and pools are
// identified by their index in the input.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "protocol/model.hpp"
#include "scheduler/machine_choice.hpp"
#include "scheduler/preemption.hpp"

namespace coralhitch::scheduler {

// Places the gangs of one plan. Changes the plan through PlanState and Preemption, which must outlive it, and
// reserves free slots for at most one gang. Used by one thread.
class GangPlacer {
  public:
    GangPlacer(PlanState& plan, Preemption& preemption) : plan_(plan), preemption_(preemption) {}
    // Starts all waiting tasks of the gang. If they do not fit, and `image_requirement` is `none`, records
    // them as unplaced and tries to free slots for them by preemption. Starts nothing while instances of a
    // previous attempt are active or while the team's hard limit does not allow the gang.
    void place(std::size_t index, ImageRequirement image_requirement);

  private:
    // Image distances of the slots that a gang would take, as numeric values of `ImageDistance`.
    struct Distance {
        std::size_t worst = 0;  // largest distance among the slots
        std::size_t sum = 0;    // sum over the slots
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
    bool has_reserved_slots_ = false;  // `reserve_free_slots` has reserved slots for a gang in this plan
};

}  // namespace coralhitch::scheduler
