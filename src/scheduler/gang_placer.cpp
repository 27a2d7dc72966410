#include "scheduler/gang_placer.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Resources;

namespace {
// Report periods that a gang waits before free places are reserved for it.
constexpr double reservation_wait_heartbeat_periods = 20;
constexpr auto max_nearby_distance = static_cast<std::size_t>(ImageDistance::being_fetched);
}  // namespace

bool GangPlacer::Distance::is_nearer_than(const Distance& other) const {
    return std::tie(worst, sum) < std::tie(other.worst, other.sum);
}

void GangPlacer::place(std::size_t index, ImageRequirement image_requirement) {
    auto& job = plan_.input.jobs[index];
    // The tasks of an old attempt stay where they are until they exit; the next starts when all are gone.
    if (job.active_tasks > 0) return;
    if (!plan_.quota_allows(*job.spec, static_cast<double>(job.waiting_tasks.size()))) {
        reserve_quota(job);
        return;
    }
    auto pools = plan_.pools_of(job);
    auto groups = pool_groups(job, pools);
    if (place_nearest(index, groups, image_requirement) ||
        image_requirement == ImageRequirement::cached_or_being_fetched)
        return;
    plan_.decisions.unplaced.push_back({index, job.waiting_tasks.size()});
    if (job.waiting_tasks.size() == 1) {
        preemption_.reserve_slot(index, pools);
        return;
    }
    for (auto& group : groups)
        if (preemption_.reserve_slots_for_gang(index, group)) return;
    if (has_waited_long(job)) reserve_free_slots(index, groups);
}

bool GangPlacer::has_waited_long(const JobView& job) const {
    return plan_.input.unix_now - job.ready_at >=
           plan_.settings.heartbeat_interval_s * reservation_wait_heartbeat_periods;
}

// Its team's smaller jobs would take each part of the hard limit that is given back.
void GangPlacer::reserve_quota(const JobView& job) {
    if (!has_waited_long(job) || !quota_will_suffice(*job.spec)) return;
    plan_.input.team_used[job.spec->team] +=
        job.spec->request.times(static_cast<double>(job.waiting_tasks.size()));
}

// Whether the team's hard limit allows all of it beside what does not end by itself.
bool GangPlacer::quota_will_suffice(const protocol::Job& spec) const {
    Resources stays;
    for (auto& instance : plan_.input.instances) {
        auto& other = *plan_.input.jobs[instance.job].spec;
        if (other.team == spec.team && other.kind == JobKind::service) stays += other.request;
    }
    auto* team = plan_.team(spec.team);
    return team && team_allows(*team, stays, spec.request.times(static_cast<double>(spec.tasks)));
}

// The sets of pools of which it may use one: the zones in random order if it must be in one of them.
std::vector<PoolSet> GangPlacer::pool_groups(const JobView& job, const PoolSet& pools) {
    if (!job.spec->one_zone) return {pools};
    std::vector<PoolSet> groups;
    for (std::size_t zone = 0; zone < plan_.input.zones; ++zone) {
        auto in_zone = pools;
        for (std::size_t pool = 0; pool < in_zone.size(); ++pool)
            if (plan_.input.pools[pool].zone_index != zone) in_zone[pool] = false;
        groups.push_back(std::move(in_zone));
    }
    std::shuffle(groups.begin(), groups.end(), plan_.random);
    return groups;
}

// A gang starts when the last of its tasks has the image: the group where it is nearest goes first.
bool GangPlacer::place_nearest(std::size_t index, const std::vector<PoolSet>& groups,
                               ImageRequirement image_requirement) {
    struct Group {
        Distance distance;
        const PoolSet* pools;
    };
    std::vector<Group> by_distance;
    by_distance.reserve(groups.size());
    for (auto& pools : groups)
        if (auto found = distance(plan_.input.jobs[index], pools)) by_distance.push_back({*found, &pools});
    std::stable_sort(by_distance.begin(), by_distance.end(),
                     [](auto& group, auto& other) { return group.distance.is_nearer_than(other.distance); });
    return std::any_of(by_distance.begin(), by_distance.end(), [&](auto& group) {
        bool is_near = group.distance.worst <= max_nearby_distance;
        return (is_near || image_requirement == ImageRequirement::none) && place_all(index, *group.pools);
    });
}

// Of the places nearest to having the image; nothing if there are too few places.
std::optional<GangPlacer::Distance> GangPlacer::distance(const JobView& job, const PoolSet& pools) {
    auto& request = job.spec->request;
    auto wanted = job.waiting_tasks.size();
    if (plan_.is_exhausted(request, pools)) return std::nullopt;
    std::vector<std::size_t> distances;  // of all places
    for (auto machine : plan_.machines_that_fit(job, pools)) {
        auto available = plan_.available(machine);
        for (std::size_t count = 0; count < wanted && available.fits(request); ++count, available -= request)
            distances.push_back(static_cast<std::size_t>(plan_.image_distance(job, machine)));
    }
    if (distances.empty()) plan_.record_exhausted(job, pools);
    if (distances.size() < wanted) return std::nullopt;
    std::sort(distances.begin(), distances.end());
    auto end = distances.begin() + static_cast<std::ptrdiff_t>(wanted);
    return Distance{distances[wanted - 1], std::accumulate(distances.begin(), end, std::size_t{0})};
}

bool GangPlacer::place_all(std::size_t index, const PoolSet& pools) {
    auto& job = plan_.input.jobs[index];
    auto& spec = *job.spec;
    auto tier = [this](std::size_t machine) {
        return plan_.input.machines[machine].draining ? last_tier : 0;
    };
    TieredMachines sets;
    for (auto machine : plan_.machines_that_fit(job, pools)) sets[tier(machine)].push_back(machine);
    if (sets[0].empty() && sets[last_tier].empty()) {
        plan_.record_exhausted(job, pools);
        return false;
    }
    std::size_t taken = 0;
    for (auto task : job.waiting_tasks) {
        auto machine = choose_fullest(plan_, job, sets);
        if (!machine) break;
        plan_.start(index, task, *machine);
        ++taken;
        if (plan_.available(*machine).fits(spec.request)) sets[tier(*machine)].push_back(*machine);
        if (!spec.spread) continue;
        for (auto& set : sets)
            std::erase_if(set, [&](auto other) { return !zone_allowed(spec, job.zones, plan_.zone(other)); });
    }
    if (taken == job.waiting_tasks.size()) {
        job.waiting_tasks.clear();
        return true;
    }
    for (; taken > 0; --taken) plan_.undo_last_start();
    return false;
}

// At most as many as the gang has waiting tasks; a machine with several is there several times.
Machines GangPlacer::free_slots(const JobView& job, const PoolSet& pools) const {
    auto& request = job.spec->request;
    Machines places;
    for (auto machine : plan_.machines_that_fit(job, pools)) {
        auto available = plan_.available(machine);
        for (; available.fits(request) && places.size() < job.waiting_tasks.size(); available -= request)
            places.push_back(machine);
    }
    return places;
}

// The larger a gang, the less often it finds places for all: smaller and younger jobs took each one that came
// free, for minutes. After some time those places are reserved for the one that has waited longest, where
// most of them are, until it has enough. For one at a time: two would hold halves of what each requests.
void GangPlacer::reserve_free_slots(std::size_t index, const std::vector<PoolSet>& groups) {
    if (has_reserved_slots_) return;
    auto& job = plan_.input.jobs[index];
    Machines best;
    for (auto& group : groups) {
        auto places = free_slots(job, group);
        if (places.size() > best.size()) best = std::move(places);
    }
    has_reserved_slots_ = !best.empty();
    for (auto machine : best) plan_.input.machines[machine].reserved += job.spec->request;
}

}  // namespace coralhitch::scheduler
