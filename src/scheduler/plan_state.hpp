// The working state of one plan: the resources that remain free after its decisions, and the decisions
// themselves.
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

// State of a job's image on a machine, ordered by the expected time until the machine has it.
enum class ImageDistance {
    cached,
    being_fetched,
    absent,
    absent_behind_others,  // absent, and the fetch would share the rate with fetches of other images
};

// A task that takes more than this share of a machine (a *whole-machine task*) is placed on the fullest
// machine rather than on one drawn at random.
inline constexpr double whole_machine_share = 0.5;

// Holds the decisions of one plan and indexes its input.
//
// Owns the decisions. The input belongs to the caller, must outlive this object, and is changed with each
// decision. Used by one thread. Jobs, machines and pools are identified by their index in the input.
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

    // --- Where a job may be placed ---

    // Returns the pools that the job's next task may use, given where its other tasks are.
    [[nodiscard]] PoolSet pools_of(const JobView& job) const {
        return allowed_pools(*job.spec, job.zones, input.pools);
    }
    // Returns whether the team's hard limit allows `tasks` more tasks of the job. Returns false for an
    // unknown team.
    [[nodiscard]] bool quota_allows(const protocol::Job& job, double tasks);
    // Returns the limits of a team, or null if the settings have no team of that name.
    [[nodiscard]] const config::Team* team(const std::string& name) const;
    // Returns the resources that are free on a machine now and not reserved.
    [[nodiscard]] protocol::Resources available(std::size_t machine) const;
    // Calls visit(machine) for each usable machine of the pools, except those on which the job has failed.
    template <class Visitor>
    void for_each_machine(const JobView& job, const PoolSet& pools, Visitor visit) const {
        for (std::size_t pool = 0; pool < pools.size(); ++pool) {
            if (!pools[pool]) continue;
            for (auto machine : by_pool_[pool])
                if (job.failed_on.empty() || !job.failed_on.contains(input.machines[machine].id))
                    visit(machine);
        }
    }
    // Returns the machines that `for_each_machine` visits and on which one more task of the job fits.
    [[nodiscard]] Machines machines_that_fit(const JobView& job, const PoolSet& pools) const;
    [[nodiscard]] ImageDistance image_distance(const JobView& job, std::size_t machine) const;
    // Returns whether one of these pools has usable machines of which a task takes more than
    // `whole_machine_share`.
    [[nodiscard]] bool needs_whole_machine(const protocol::Job& job, const PoolSet& pools) const;

    // Returns whether the request is known to fit on no machine of the pools, because a request that is no
    // larger did not fit earlier in this plan: within a plan, free resources only shrink. The search is then
    // skipped. With thousands of tasks waiting and hardly anything free, scanning all machines for each task
    // took longer than everything else together.
    [[nodiscard]] bool is_exhausted(const protocol::Resources& request, const PoolSet& pools) const;
    // Records that the job's request fits on no machine of the pools. Ignores jobs whose search did not cover
    // all free resources: those that avoid machines on which they failed, and those of low priority.
    void record_exhausted(const JobView& job, const PoolSet& pools);

    // --- Resources kept for other jobs ---

    // Returns whether the largest whole-machine task fits on the machine now, but would no longer fit beside
    // a task of this job.
    [[nodiscard]] bool splits_whole_machine(const protocol::Job& job, std::size_t machine) const;
    // Returns whether the job has low priority and one more of its tasks on the machine would take spare
    // resources that are withheld from low priority. On these resources, jobs of higher priority start at
    // once. When a guest's thousands of small tasks occupied every machine, hundreds of GPUs were idle, and
    // each gang had to wait for a preemption and for the fetch of its image.
    [[nodiscard]] bool takes_withheld_spare(const JobView& job, std::size_t machine) const;

    // --- Decisions ---

    // Decides to start a task on a machine, and takes its request off the free resources. The caller removes
    // the task from `JobView::waiting_tasks`.
    void start(std::size_t job, std::uint32_t task, std::size_t machine);
    // Undoes the latest `start`, but keeps the image in the machine's list of images being fetched.
    void undo_last_start();

  private:
    // A request that fits on no machine of these pools.
    struct ExhaustedRequest {
        protocol::Resources request;
        PoolSet pools;
    };
    void find_largest_request();
    void measure_spare();
    [[nodiscard]] double spare_machines_taken(const protocol::Job& job, std::size_t machine) const;

    std::map<std::string, const config::Team*> teams_;
    std::vector<Machines> by_pool_;  // usable machines, by pool index
    std::vector<ExhaustedRequest> exhausted_;
    // Request of the largest whole-machine task or gang task of the live jobs above low priority.
    protocol::Resources largest_request_;
    double largest_request_share_ =
        0;                       // share of a machine that `largest_request_` takes; 0 if there is none
    double spare_machines_ = 0;  // free resources of all usable machines, in machines
    double withheld_spare_machines_ = 0;  // part of `spare_machines_` withheld from jobs of low priority
};

// Returns whether `set` contains every pool of `part`.
[[nodiscard]] bool covers(const PoolSet& set, const PoolSet& part);

}  // namespace coralhitch::scheduler
