#include "scheduler/plan_state.hpp"

#include <algorithm>

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Priority;
using protocol::Resources;

bool covers(const PoolSet& set, const PoolSet& part) {
    for (std::size_t pool = 0; pool < part.size(); ++pool)
        if (part[pool] && !set[pool]) return false;
    return true;
}

PlanState::PlanState(Input& plan_input, const config::Settings& plan_settings, std::mt19937_64& generator)
    : input(plan_input), settings(plan_settings), random(generator), order(plan_input, plan_settings) {
    for (auto& limits : settings.teams) teams_[limits.name] = &limits;
    for (auto& job : input.jobs) job.zones.resize(input.zones);
    by_pool_.resize(input.pools.size());
    for (std::size_t machine = 0; machine < input.machines.size(); ++machine) {
        auto& view = input.machines[machine];
        view.free_after_stops = view.free;
        if (view.usable) by_pool_[view.pool].push_back(machine);
    }
    for (auto& instance : input.instances)
        if (instance.stopping) input.machines[instance.machine].free_after_stops += request_of(instance);
    find_largest_request();
    measure_spare();
}

void PlanState::find_largest_request() {
    std::vector<bool> has_machines(input.pools.size());
    for (auto& machine : input.machines) has_machines[machine.pool] = true;
    for (auto& job : input.jobs) {
        if (job.unfinished_tasks == 0 || job.priority == Priority::low) continue;
        for (std::size_t pool = 0; pool < has_machines.size(); ++pool) {
            if (!has_machines[pool]) continue;
            double share = largest_share(job.spec->request, input.pools[pool].total);
            bool is_drawn = job.spec->kind != JobKind::gang && share <= whole_machine_share;
            if (is_drawn || share > 1 || share <= largest_request_share_) continue;
            largest_request_share_ = share;
            largest_request_ = job.spec->request;
        }
    }
}

void PlanState::measure_spare() {
    double usable_machines = 0;
    for (std::size_t machine = 0; machine < input.machines.size(); ++machine) {
        if (!input.machines[machine].usable) continue;
        ++usable_machines;
        spare_machines_ += smallest_share(input.machines[machine].free, total(machine));
    }
    double ratio = settings.op.reserve_ratio;
    withheld_spare_machines_ = usable_machines * ratio / (1 + ratio);
}

const config::Team* PlanState::team(const std::string& name) const {
    auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : found->second;
}

bool PlanState::quota_allows(const protocol::Job& job, double tasks) {
    auto* limits = team(job.team);
    return limits && team_allows(*limits, input.team_used[job.team], job.request.times(tasks));
}

Resources PlanState::available(std::size_t machine) const {
    auto& view = input.machines[machine];
    Resources unreserved = view.free_after_stops;
    unreserved -= view.reserved;
    return {std::min(unreserved.cpus, view.free.cpus), std::min(unreserved.gpus, view.free.gpus),
            std::min(unreserved.memory_gb, view.free.memory_gb)};
}

Machines PlanState::machines_that_fit(const JobView& job, const PoolSet& pools) const {
    Machines found;
    for_each_machine(job, pools, [&](auto machine) {
        if (available(machine).fits(job.spec->request)) found.push_back(machine);
    });
    return found;
}

ImageDistance PlanState::image_distance(const JobView& job, std::size_t machine) const {
    auto& view = input.machines[machine];
    if (has_image(view, job.image)) return ImageDistance::cached;
    if (view.fetching_images.empty()) return ImageDistance::absent;
    auto& fetching = view.fetching_images;
    bool is_being_fetched = std::find(fetching.begin(), fetching.end(), job.image) != fetching.end();
    return is_being_fetched ? ImageDistance::being_fetched : ImageDistance::absent_behind_others;
}

bool PlanState::needs_whole_machine(const protocol::Job& job, const PoolSet& pools) const {
    for (std::size_t pool = 0; pool < pools.size(); ++pool) {
        if (!pools[pool] || by_pool_[pool].empty()) continue;
        if (largest_share(job.request, input.pools[pool].total) > whole_machine_share) return true;
    }
    return false;
}

bool PlanState::is_exhausted(const Resources& request, const PoolSet& pools) const {
    return std::any_of(exhausted_.begin(), exhausted_.end(), [&](auto& entry) {
        return request.fits(entry.request) && covers(entry.pools, pools);
    });
}

void PlanState::record_exhausted(const JobView& job, const PoolSet& pools) {
    // The search for a job of low priority skips machines with resources that are withheld from low priority
    // only, and a job that failed on some machines skips these.
    if (job.failed_on.empty() && job.priority != Priority::low)
        exhausted_.push_back({job.spec->request, pools});
}

bool PlanState::splits_whole_machine(const protocol::Job& job, std::size_t machine) const {
    if (largest_request_share_ <= 0) return false;
    auto free = input.machines[machine].free;
    if (!free.fits(largest_request_)) return false;
    free -= job.request;
    return !free.fits(largest_request_);
}

// Returns by how much a task on the machine reduces the spare resources, in machines. The result is 0 if the
// task uses only resources that other tasks could not use, such as processors of a machine whose GPUs are all
// in use.
double PlanState::spare_machines_taken(const protocol::Job& job, std::size_t machine) const {
    auto free = input.machines[machine].free;
    double before = smallest_share(free, total(machine));
    free -= job.request;
    return before - smallest_share(free, total(machine));
}

bool PlanState::takes_withheld_spare(const JobView& job, std::size_t machine) const {
    if (job.priority != Priority::low) return false;
    constexpr double rounding_tolerance = 1e-9;
    double taken = spare_machines_taken(*job.spec, machine);
    return taken > rounding_tolerance && spare_machines_ - taken < withheld_spare_machines_;
}

void PlanState::start(std::size_t job, std::uint32_t task, std::size_t machine) {
    auto& view = input.jobs[job];
    auto& host = input.machines[machine];
    spare_machines_ -= spare_machines_taken(*view.spec, machine);
    host.free -= view.spec->request;
    host.free_after_stops -= view.spec->request;
    ++host.tasks;
    if (view.spec->kind == JobKind::service) ++host.services;
    if (image_distance(view, machine) > ImageDistance::being_fetched)
        host.fetching_images.push_back(view.image);
    ++view.zones[zone(machine)];
    ++view.active_tasks;
    input.team_used[view.spec->team] += view.spec->request;
    decisions.starts.push_back({job, task, machine});
    ++decisions.counts.tasks;
}

void PlanState::undo_last_start() {
    auto last = decisions.starts.back();
    decisions.starts.pop_back();
    auto& view = input.jobs[last.job];
    auto& host = input.machines[last.machine];
    host.free += view.spec->request;
    host.free_after_stops += view.spec->request;
    --host.tasks;
    --view.zones[zone(last.machine)];
    --view.active_tasks;
    input.team_used[view.spec->team] -= view.spec->request;
    spare_machines_ += spare_machines_taken(*view.spec, last.machine);
    --decisions.counts.tasks;
}

}  // namespace coralhitch::scheduler
