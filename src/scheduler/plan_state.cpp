#include "scheduler/plan_state.hpp"

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Priority;
using protocol::Resources;

bool covers(const PoolSet& a, const PoolSet& b) {
    for (std::size_t p = 0; p < b.size(); ++p)
        if (b[p] && !a[p]) return false;
    return true;
}

PlanState::PlanState(Input& input, const config::Settings& given, std::mt19937_64& generator)
    : in(input), settings(given), random(generator), order(input, given) {
    for (auto& t : settings.teams) teams_[t.name] = &t;
    for (auto& job : in.jobs) job.zones.resize(in.zones);
    for (auto& m : in.machines) m.soon = m.free;
    by_pool_.resize(in.pools.size());
    for (std::size_t m = 0; m < in.machines.size(); ++m)
        if (in.machines[m].usable) by_pool_[in.machines[m].pool].push_back(m);
    for (auto& i : in.instances)
        if (i.stopping) in.machines[i.machine].soon += need_of(i);
    find_largest();
}

void PlanState::find_largest() {
    std::vector<bool> used(in.pools.size());
    for (auto& m : in.machines) used[m.pool] = true;
    for (auto& job : in.jobs) {
        if (job.open == 0 || job.priority == Priority::low) continue;
        for (std::size_t p = 0; p < used.size(); ++p) {
            if (!used[p]) continue;
            double share = largest_share(job.spec->request, in.pools[p].total);
            bool drawn = job.spec->kind != JobKind::gang && share <= whole_machine_share;
            if (drawn || share > 1 || share <= largest_share_) continue;
            largest_share_ = share;
            largest_ = job.spec->request;
        }
    }
    double usable = 0;
    for (std::size_t m = 0; m < in.machines.size(); ++m) {
        if (!in.machines[m].usable) continue;
        ++usable;
        spare_ += least_share(in.machines[m].free, total(m));
    }
    double ratio = settings.op.reserve_ratio;
    kept_ = usable * ratio / (1 + ratio);
}

const config::Team* PlanState::team(const std::string& name) const {
    auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : found->second;
}

bool PlanState::team_has_room(const protocol::Job& job, double tasks) {
    auto* limits = team(job.team);
    return limits && team_allows(*limits, in.team_used[job.team], job.request.times(tasks));
}

Resources PlanState::open_room(std::size_t machine) const {
    auto& view = in.machines[machine];
    Resources room = view.soon;
    room -= view.reserved;
    room.cpus = std::min(room.cpus, view.free.cpus);
    room.gpus = std::min(room.gpus, view.free.gpus);
    room.memory_gb = std::min(room.memory_gb, view.free.memory_gb);
    return room;
}

Machines PlanState::with_room(const JobView& job, const PoolSet& pools) const {
    Machines found;
    each_machine(job, pools, [&](auto m) {
        if (open_room(m).fits(job.spec->request)) found.push_back(m);
    });
    return found;
}

ImageDistance PlanState::image_distance(const JobView& job, std::size_t machine) const {
    auto& view = in.machines[machine];
    if (has_image(view, job.image)) return ImageDistance::there;
    if (view.coming.empty()) return ImageDistance::cold;
    bool coming = std::find(view.coming.begin(), view.coming.end(), job.image) != view.coming.end();
    return coming ? ImageDistance::coming : ImageDistance::busy;
}

bool PlanState::needs_whole_machine(const protocol::Job& job, const PoolSet& pools) const {
    for (std::size_t p = 0; p < pools.size(); ++p) {
        if (!pools[p] || by_pool_[p].empty()) continue;
        if (largest_share(job.request, in.pools[p].total) > whole_machine_share) return true;
    }
    return false;
}

bool PlanState::known_full(const Resources& request, const PoolSet& pools) const {
    return std::any_of(full_.begin(), full_.end(),
                       [&](auto& f) { return request.fits(f.request) && covers(f.pools, pools); });
}
void PlanState::note_full(const JobView& job, const PoolSet& pools) {
    // What low priority leaves alone is there for others.
    if (job.failed_on.empty() && job.priority != Priority::low) full_.push_back({job.spec->request, pools});
}

bool PlanState::breaks_up(const protocol::Job& job, std::size_t machine) const {
    if (largest_share_ <= 0) return false;
    auto room = in.machines[machine].free;
    if (!room.fits(largest_)) return false;
    room -= job.request;
    return !room.fits(largest_);
}

// What a task takes of the room that others could use: nothing, if it only needs what is left over there, as
// processors are on a machine whose GPUs are all in use.
double PlanState::taken_of_spare(const protocol::Job& job, std::size_t machine) const {
    auto room = in.machines[machine].free;
    double before = least_share(room, total(machine));
    room -= job.request;
    return before - least_share(room, total(machine));
}

bool PlanState::kept_spare(const JobView& job, std::size_t machine) const {
    if (job.priority != Priority::low) return false;
    constexpr double nothing = 1e-9;
    double taken = taken_of_spare(*job.spec, machine);
    return taken > nothing && spare_ - taken < kept_;
}

void PlanState::start(std::size_t job, std::uint32_t task, std::size_t machine) {
    auto& view = in.jobs[job];
    auto& there = in.machines[machine];
    spare_ -= taken_of_spare(*view.spec, machine);
    there.free -= view.spec->request;
    there.soon -= view.spec->request;
    ++there.tasks;
    if (view.spec->kind == JobKind::service) ++there.services;
    if (image_distance(view, machine) > ImageDistance::coming) there.coming.push_back(view.image);
    ++view.zones[zone(machine)];
    ++view.active;
    in.team_used[view.spec->team] += view.spec->request;
    decisions.starts.push_back({job, task, machine});
    ++decisions.counts.tasks;
}

void PlanState::undo_last_start() {
    auto last = decisions.starts.back();
    decisions.starts.pop_back();
    auto& view = in.jobs[last.job];
    auto& there = in.machines[last.machine];
    there.free += view.spec->request;
    there.soon += view.spec->request;
    --there.tasks;
    --view.zones[zone(last.machine)];
    --view.active;
    in.team_used[view.spec->team] -= view.spec->request;
    spare_ += taken_of_spare(*view.spec, last.machine);
    --decisions.counts.tasks;
}

}  // namespace coralhitch::scheduler
