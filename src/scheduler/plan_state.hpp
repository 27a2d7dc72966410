// The working state of one plan: the free resources that its decisions leave, and the decisions themselves.
//
// Owns the decisions and what it has found out about machines; the input is the caller's, and is changed with
// each decision. Used by one thread, for one plan. Jobs, machines and pools are indices of the input.
#pragma once
#include <cstddef>
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

// How far a machine is from having a job's image, the nearest first.
enum class ImageDistance {
    cached,
    being_fetched,
    absent,
    absent_behind_others,  // the machine fetches other images, which share the rate
};

// A task that takes more than this share of a machine goes to the fullest one rather than to a drawn one.
inline constexpr double whole_machine_share = 0.5;

class PlanState {
  public:
    PlanState(Input& plan_input, const config::Settings& plan_settings, std::mt19937_64& generator);

    Input& input;
    const config::Settings& settings;
    std::mt19937_64& random;
    const JobOrder order;
    Decisions decisions;

    [[nodiscard]] const protocol::Resources& request_of(const InstanceView& instance) const {
        return input.jobs[instance.job].spec->request;
    }
    [[nodiscard]] const protocol::Resources& total(std::size_t machine) const {
        return input.pools[input.machines[machine].pool].total;
    }
    [[nodiscard]] std::size_t zone(std::size_t machine) const {
        return input.pools[input.machines[machine].pool].zone_index;
    }

    // --- Where a job may go ---
    [[nodiscard]] PoolSet pools_of(const JobView& job) const {
        return allowed_pools(*job.spec, job.zones, input.pools);
    }
    // Whether so many more tasks of the job keep to its team's hard limit.
    [[nodiscard]] bool quota_allows(const protocol::Job& job, double tasks);
    // The limits of a team; null if there is none of that name.
    [[nodiscard]] const config::Team* team(const std::string& name) const;
    // What is free on a machine and reserved for nobody.
    [[nodiscard]] protocol::Resources available(std::size_t machine) const;
    // Calls visit(machine) for each usable machine of the pools on which the job has not failed.
    template <class Visitor>
    void for_each_machine(const JobView& job, const PoolSet& pools, Visitor visit) const {
        for (std::size_t pool = 0; pool < pools.size(); ++pool) {
            if (!pools[pool]) continue;
            for (auto machine : by_pool_[pool])
                if (job.failed_on.empty() || !job.failed_on.contains(input.machines[machine].id))
                    visit(machine);
        }
    }
    // Those of them on which one more task of the job fits.
    [[nodiscard]] Machines machines_that_fit(const JobView& job, const PoolSet& pools) const;
    [[nodiscard]] ImageDistance image_distance(const JobView& job, std::size_t machine) const;
    // Whether a task takes more than half of a machine of these pools.
    [[nodiscard]] bool needs_whole_machine(const protocol::Job& job, const PoolSet& pools) const;

    // What an earlier job of this plan found no place for, a later one that requests as much need not look
    // for: within a plan free resources only shrink. With thousands of tasks waiting and hardly anything
    // free, walking all machines for each of them took longer than everything else together.
    [[nodiscard]] bool is_exhausted(const protocol::Resources& request, const PoolSet& pools) const;
    void record_exhausted(const JobView& job, const PoolSet& pools);

    // --- Resources kept for others ---
    // Whether the task would take resources in which the largest whole-machine task still fits.
    [[nodiscard]] bool splits_whole_machine(const protocol::Job& job, std::size_t machine) const;
    // Low priority lives on what is left over, and takes none of the last spare resources: on those, higher
    // priorities start at once. With a guest's thousands of small tasks on every machine hundreds of GPUs lay
    // idle, and each gang waited for a place to be emptied and for its image.
    [[nodiscard]] bool takes_withheld_spare(const JobView& job, std::size_t machine) const;

    // --- Decisions ---
    void start(std::size_t job, std::uint32_t task, std::size_t machine);
    void undo_last_start();

  private:
    // A request that found no place in these pools.
    struct ExhaustedRequest {
        protocol::Resources request;
        PoolSet pools;
    };
    void find_largest_request();
    void measure_spare();
    [[nodiscard]] double spare_machines_taken(const protocol::Job& job, std::size_t machine) const;

    std::map<std::string, const config::Team*> teams_;
    std::vector<Machines> by_pool_;  // usable ones
    std::vector<ExhaustedRequest> exhausted_;
    // The largest task of live jobs, those of low priority apart, that goes to the fullest machine.
    protocol::Resources largest_request_;
    double largest_request_share_ = 0;    // of a machine that it takes
    double spare_machines_ = 0;           // free resources, in machines
    double withheld_spare_machines_ = 0;  // how much of them low priority leaves alone
};

// Whether each pool of `part` is one of `set`.
[[nodiscard]] bool covers(const PoolSet& set, const PoolSet& part);

}  // namespace coralhitch::scheduler
