#include "scheduler/task_placer.hpp"

namespace coralhitch::scheduler {

TieredMachines TaskPlacer::candidates(const JobView& job, const PoolSet& pools,
                                      ImageRequirement image_requirement) const {
    TieredMachines sets;
    for (auto machine : plan_.machines_that_fit(job, pools)) {
        bool is_nearby = plan_.image_distance(job, machine) <= ImageDistance::being_fetched;
        if ((image_requirement == ImageRequirement::cached_or_being_fetched && !is_nearby) ||
            plan_.takes_withheld_spare(job, machine))
            continue;
        sets[tier_of(plan_, job, machine)].push_back(machine);
    }
    return sets;
}

std::optional<std::size_t> TaskPlacer::choose(const JobView& job, const PoolSet& pools,
                                              TieredMachines& sets) {
    std::optional<std::size_t> machine;
    do {  // earlier tasks of the job may have used up the spare resources that are not withheld
        machine = plan_.needs_whole_machine(*job.spec, pools) ? choose_fullest(plan_, job, sets)
                                                              : choose_less_loaded(plan_, sets);
    } while (machine && plan_.takes_withheld_spare(job, *machine));
    return machine;
}

// Removes pools and machines that the job's next task may not use. For jobs with `spread` or `one_zone`, each
// start may exclude zones for the following tasks.
void TaskPlacer::drop_disallowed(const JobView& job, PoolSet& pools, TieredMachines& sets) const {
    if (!job.spec->spread && !job.spec->one_zone) return;
    auto allowed = plan_.pools_of(job);
    if (allowed == pools) return;
    pools = std::move(allowed);
    for (auto& set : sets)
        std::erase_if(set, [&](auto machine) { return !pools[plan_.input.machines[machine].pool]; });
}

void TaskPlacer::place(std::size_t index, ImageRequirement image_requirement) {
    auto& job = plan_.input.jobs[index];
    auto& spec = *job.spec;
    auto pools = plan_.pools_of(job);
    bool may_fit = !plan_.is_exhausted(spec.request, pools);
    TieredMachines sets;
    if (may_fit) sets = candidates(job, pools, image_requirement);
    std::size_t unplaced = 0;
    std::size_t placed = 0;
    for (std::size_t i = 0; i < job.waiting_tasks.size(); ++i) {
        if (!plan_.quota_allows(spec, 1)) break;
        std::optional<std::size_t> machine;
        if (may_fit) machine = choose(job, pools, sets);
        if (machine) {
            plan_.start(index, job.waiting_tasks[i], *machine);
            ++placed;
            if (plan_.available(*machine).fits(spec.request))
                sets[tier_of(plan_, job, *machine)].push_back(*machine);
            drop_disallowed(job, pools, sets);
            continue;
        }
        if (image_requirement == ImageRequirement::cached_or_being_fetched) break;
        if (may_fit) plan_.record_exhausted(job, pools);
        may_fit = false;
        ++unplaced;
        if (!preemption_.reserve_slot(index, pools)) {
            // The job's remaining tasks would fail the same way, unless they could use other zones.
            unplaced += job.waiting_tasks.size() - i - 1;
            break;
        }
    }
    job.waiting_tasks.erase(job.waiting_tasks.begin(),
                            job.waiting_tasks.begin() + static_cast<std::ptrdiff_t>(placed));
    if (unplaced > 0) plan_.decisions.unplaced.push_back({index, unplaced});
}

}  // namespace coralhitch::scheduler
