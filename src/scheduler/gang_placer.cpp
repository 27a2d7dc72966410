#include "scheduler/gang_placer.hpp"

#include <algorithm>
#include <numeric>

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Resources;

namespace {
// Report periods that a gang waits before what room there is is kept for it.
constexpr double gather_reports = 20;
constexpr auto within = static_cast<std::size_t>(ImageDistance::coming);
constexpr auto furthest = static_cast<std::size_t>(ImageDistance::busy);
constexpr auto unreachable = furthest + 1;
}  // namespace

void GangPlacer::place(std::size_t index, bool near_only) {
    auto& job = plan_.in.jobs[index];
    // The tasks of an old attempt stay where they are until they exit; the next starts when all are gone.
    if (job.active > 0) return;
    if (!plan_.team_has_room(*job.spec, static_cast<double>(job.waiting.size()))) {
        keep_quota(job);
        return;
    }
    auto pools = plan_.pools_of(job);
    auto choices = groups(job, pools);
    if (place_nearest(index, choices, near_only) || near_only) return;
    plan_.decisions.unplaced.push_back({index, job.waiting.size()});
    if (job.waiting.size() == 1) {
        preemption_.make_room(index, pools);
        return;
    }
    for (auto& group : choices)
        if (preemption_.make_room_for_all(index, group)) return;
    if (gathers(job)) gather(index, choices);
}

bool GangPlacer::gathers(const JobView& job) const {
    return plan_.in.unix_now - job.submitted >= plan_.settings.heartbeat_interval_s * gather_reports;
}

// Its team's smaller jobs would take each place under the limit that comes free.
void GangPlacer::keep_quota(const JobView& job) {
    if (!gathers(job) || !comes_free(*job.spec)) return;
    plan_.in.team_used[job.spec->team] += job.spec->request.times(static_cast<double>(job.waiting.size()));
}

// Whether the team's limit has room for all of it beside what does not end by itself.
bool GangPlacer::comes_free(const protocol::Job& spec) const {
    Resources stays;
    for (auto& instance : plan_.in.instances) {
        auto& other = *plan_.in.jobs[instance.job].spec;
        if (other.team == spec.team && other.kind == JobKind::service) stays += other.request;
    }
    auto* team = plan_.team(spec.team);
    return team && team_allows(*team, stays, spec.request.times(static_cast<double>(spec.tasks)));
}

// The sets of pools of which it may use one: the zones in random order if it must be in one of them.
std::vector<PoolSet> GangPlacer::groups(const JobView& job, const PoolSet& pools) {
    if (!job.spec->one_zone) return {pools};
    std::vector<PoolSet> found;
    for (std::size_t zone = 0; zone < plan_.in.zones; ++zone) {
        auto only = pools;
        for (std::size_t p = 0; p < only.size(); ++p)
            if (plan_.in.pools[p].zone_index != zone) only[p] = false;
        found.push_back(std::move(only));
    }
    std::shuffle(found.begin(), found.end(), plan_.random);
    return found;
}

// A gang starts when the last of its tasks has the image: the group where it is nearest goes first.
bool GangPlacer::place_nearest(std::size_t index, const std::vector<PoolSet>& groups, bool near_only) {
    struct Group {
        Distance distance;
        const PoolSet* pools;
    };
    std::vector<Group> by_distance;
    for (auto& pools : groups) by_distance.push_back({distance(plan_.in.jobs[index], pools), &pools});
    std::stable_sort(by_distance.begin(), by_distance.end(),
                     [](auto& a, auto& b) { return a.distance < b.distance; });
    for (auto& group : by_distance)
        if (group.distance.worst <= (near_only ? within : furthest) && place_all(index, *group.pools))
            return true;
    return false;
}

GangPlacer::Distance GangPlacer::distance(const JobView& job, const PoolSet& pools) {
    auto& need = job.spec->request;
    auto most = job.waiting.size();
    std::vector<std::size_t> far;
    if (plan_.known_full(need, pools)) return {unreachable, 0};
    for (auto machine : plan_.with_room(job, pools)) {
        auto room = plan_.open_room(machine);
        for (std::size_t k = 0; k < most && room.fits(need); ++k, room -= need)
            far.push_back(static_cast<std::size_t>(plan_.image_distance(job, machine)));
    }
    if (far.empty()) plan_.note_full(job, pools);
    if (far.size() < most) return {unreachable, 0};
    std::sort(far.begin(), far.end());
    auto end = far.begin() + static_cast<std::ptrdiff_t>(most);
    return {far[most - 1], std::accumulate(far.begin(), end, std::size_t{0})};
}

bool GangPlacer::place_all(std::size_t index, const PoolSet& pools) {
    auto& job = plan_.in.jobs[index];
    auto& spec = *job.spec;
    auto tier = [this](std::size_t machine) { return plan_.in.machines[machine].draining ? last_tier : 0; };
    TieredMachines sets;
    for (auto machine : plan_.with_room(job, pools)) sets[tier(machine)].push_back(machine);
    if (sets[0].empty() && sets[last_tier].empty()) {
        plan_.note_full(job, pools);
        return false;
    }
    std::size_t taken = 0;
    for (auto task : job.waiting) {
        auto machine = choose_fullest(plan_, job, sets);
        if (!machine) break;
        plan_.start(index, task, *machine);
        ++taken;
        if (plan_.open_room(*machine).fits(spec.request)) sets[tier(*machine)].push_back(*machine);
        if (!spec.spread) continue;
        for (auto& set : sets)
            std::erase_if(set, [&](auto m) { return !zone_allowed(spec, job.zones, plan_.zone(m)); });
    }
    if (taken == job.waiting.size()) {
        job.waiting.clear();
        return true;
    }
    for (; taken > 0; --taken) plan_.undo_last_start();
    return false;
}

// The larger a gang, the less often it finds room for all: smaller and younger jobs took each place that came
// free, for minutes. After some time those places are kept for the one that has waited longest, where most of
// them are, until it has enough. For one at a time: two would hold halves of what each needs.
void GangPlacer::gather(std::size_t index, const std::vector<PoolSet>& groups) {
    if (gathering_) return;
    auto& job = plan_.in.jobs[index];
    auto& need = job.spec->request;
    Machines best;
    for (auto& group : groups) {
        Machines places;
        for (auto machine : plan_.with_room(job, group)) {
            auto room = plan_.open_room(machine);
            for (; room.fits(need) && places.size() < job.waiting.size(); room -= need)
                places.push_back(machine);
        }
        if (places.size() > best.size()) best = std::move(places);
    }
    gathering_ = !best.empty();
    for (auto machine : best) plan_.in.machines[machine].reserved += need;
}

}  // namespace coralhitch::scheduler
