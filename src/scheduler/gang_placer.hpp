// Places gangs: all tasks or none.
#pragma once
#include <compare>
#include <vector>

#include "protocol/model.hpp"
#include "scheduler/machine_choice.hpp"
#include "scheduler/preemption.hpp"

namespace coralhitch::scheduler {

class GangPlacer {
  public:
    GangPlacer(PlanState& plan, Preemption& preemption) : plan_(plan), preemption_(preemption) {}
    // `near_only`: only where the image is, or is on its way, for every task.
    void place(std::size_t job, bool near_only);

  private:
    // How near the image is to the places that a gang would take: the worst of them, and all together.
    struct Distance {
        std::size_t worst = 0, sum = 0;
        auto operator<=>(const Distance&) const = default;
    };
    std::vector<PoolSet> groups(const JobView& job, const PoolSet& pools);
    bool place_nearest(std::size_t job, const std::vector<PoolSet>& groups, bool near_only);
    Distance distance(const JobView& job, const PoolSet& pools);
    bool place_all(std::size_t job, const PoolSet& pools);
    bool gathers(const JobView& job) const;
    void gather(std::size_t job, const std::vector<PoolSet>& groups);
    void keep_quota(const JobView& job);
    bool comes_free(const protocol::Job& spec) const;

    PlanState& plan_;
    Preemption& preemption_;
    bool gathering_ = false;  // for one gang of this plan
};

}  // namespace coralhitch::scheduler
