// The working state of one plan: the room that its decisions leave, and the decisions themselves.
#pragma once
#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"
#include "scheduler/job_order.hpp"
#include "scheduler/rules.hpp"
#include "scheduler/types.hpp"

namespace coralhitch::scheduler {

using Machines = std::vector<std::size_t>;  // indices of `Input::machines`

// How far a machine is from having a job's image: there, on its way, not there, and not there while others
// are on their way, which share the rate.
enum class ImageDistance { there, coming, cold, busy };

// A task that takes more than this share of a machine goes to the fullest one rather than to a drawn one.
inline constexpr double whole_machine_share = 0.5;

class PlanState {
  public:
    PlanState(Input& in, const config::Settings& settings, std::mt19937_64& random);

    Input& in;
    const config::Settings& settings;
    std::mt19937_64& random;
    const JobOrder order;
    Decisions decisions;

    const protocol::Resources& need_of(const InstanceView& i) const { return in.jobs[i.job].spec->request; }
    const protocol::Resources& total(std::size_t machine) const {
        return in.pools[in.machines[machine].pool].total;
    }
    std::size_t zone(std::size_t machine) const { return in.pools[in.machines[machine].pool].zone_index; }

    // --- Where a job may go ---
    PoolSet pools_of(const JobView& job) const { return allowed_pools(*job.spec, job.zones, in.pools); }
    bool team_has_room(const protocol::Job& job, double tasks);
    const config::Team* team(const std::string& name) const;
    // Places on a machine that nobody waits for already.
    protocol::Resources open_room(std::size_t machine) const;
    template <class F>
    void each_machine(const JobView& job, const PoolSet& pools, F f) const {
        for (std::size_t p = 0; p < pools.size(); ++p) {
            if (!pools[p]) continue;
            for (auto m : by_pool_[p])
                if (job.failed_on.empty() || !job.failed_on.contains(in.machines[m].id)) f(m);
        }
    }
    Machines with_room(const JobView& job, const PoolSet& pools) const;
    ImageDistance image_distance(const JobView& job, std::size_t machine) const;
    // Whether a task takes more than half of a machine of these pools.
    bool needs_whole_machine(const protocol::Job& job, const PoolSet& pools) const;

    // What an earlier job of this plan found no room for, a later one that needs as much need not look for:
    // within a plan room only shrinks. With thousands of tasks waiting and hardly any room, walking all
    // machines for each of them took longer than everything else together.
    bool known_full(const protocol::Resources& request, const PoolSet& pools) const;
    void note_full(const JobView& job, const PoolSet& pools);

    // --- Room kept for others ---
    // Whether the task would take the room in which the largest whole-machine task still fits.
    bool breaks_up(const protocol::Job& job, std::size_t machine) const;
    // Low priority lives on what is left over, and takes none of the last spare room: on that, higher
    // priorities start at once. With a guest's thousands of small tasks on every machine hundreds of GPUs lay
    // idle, and each gang waited for a place to be emptied and for its image.
    bool kept_spare(const JobView& job, std::size_t machine) const;

    // --- Decisions ---
    void start(std::size_t job, std::uint32_t task, std::size_t machine);
    void undo_last_start();

  private:
    // A need that found no room in these pools.
    struct Full {
        protocol::Resources request;
        PoolSet pools;
    };
    void find_largest();
    double taken_of_spare(const protocol::Job& job, std::size_t machine) const;

    std::map<std::string, const config::Team*> teams_;
    std::vector<Machines> by_pool_;  // usable ones
    std::vector<Full> full_;
    // The largest task of live jobs, those of low priority apart, that goes to the fullest machine.
    protocol::Resources largest_;
    double largest_share_ = 0;
    double spare_ = 0, kept_ = 0;  // in machines: free room, and how much of it low priority leaves alone
};

// Whether each pool of `b` is one of `a`.
bool covers(const PoolSet& a, const PoolSet& b);

}  // namespace coralhitch::scheduler
