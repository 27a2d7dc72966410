#include "scheduler/task_placer.hpp"

namespace coralhitch::scheduler {

TieredMachines TaskPlacer::candidates(const JobView& job, const PoolSet& pools, bool near_only) const {
    TieredMachines sets;
    for (auto machine : plan_.with_room(job, pools)) {
        bool near = plan_.image_distance(job, machine) <= ImageDistance::coming;
        if ((near_only && !near) || plan_.kept_spare(job, machine)) continue;
        sets[tier_of(plan_, job, machine)].push_back(machine);
    }
    return sets;
}

std::optional<std::size_t> TaskPlacer::choose(const JobView& job, const PoolSet& pools,
                                              TieredMachines& sets) {
    std::optional<std::size_t> machine;
    do {  // an earlier task may have taken the last room that was to spare
        machine = plan_.needs_whole_machine(*job.spec, pools) ? choose_fullest(plan_, job, sets)
                                                              : choose_of_two(plan_, sets);
    } while (machine && plan_.kept_spare(job, *machine));
    return machine;
}

// Where the job's zones matter, each start may close some to the tasks that follow.
void TaskPlacer::narrow(const JobView& job, PoolSet& pools, TieredMachines& sets) const {
    if (!job.spec->spread && !job.spec->one_zone) return;
    auto now = plan_.pools_of(job);
    if (now == pools) return;
    pools = std::move(now);
    for (auto& set : sets)
        std::erase_if(set, [&](auto machine) { return !pools[plan_.in.machines[machine].pool]; });
}

void TaskPlacer::place(std::size_t index, bool near_only) {
    auto& job = plan_.in.jobs[index];
    auto& spec = *job.spec;
    auto pools = plan_.pools_of(job);
    bool room = !plan_.known_full(spec.request, pools);
    TieredMachines sets;
    if (room) sets = candidates(job, pools, near_only);
    std::size_t missing = 0, placed = 0;
    for (std::size_t k = 0; k < job.waiting.size(); ++k) {
        if (!plan_.team_has_room(spec, 1)) break;
        std::optional<std::size_t> machine;
        if (room) machine = choose(job, pools, sets);
        if (machine) {
            plan_.start(index, job.waiting[k], *machine);
            ++placed;
            if (plan_.open_room(*machine).fits(spec.request))
                sets[tier_of(plan_, job, *machine)].push_back(*machine);
            narrow(job, pools, sets);
            continue;
        }
        if (near_only) break;
        if (room) plan_.note_full(job, pools);
        room = false;
        ++missing;
        if (!preemption_.make_room(index, pools)) {
            // No other task of this job fits either, unless its zone is another one.
            missing += job.waiting.size() - k - 1;
            break;
        }
    }
    job.waiting.erase(job.waiting.begin(), job.waiting.begin() + static_cast<std::ptrdiff_t>(placed));
    if (missing) plan_.decisions.unplaced.push_back({index, missing});
}

}  // namespace coralhitch::scheduler
