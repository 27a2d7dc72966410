#include "scheduler/gang_placer.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Resources;

namespace {
// Time that a gang waits before free slots are reserved for it.
constexpr double reservation_wait_heartbeat_periods = 20;
constexpr auto max_nearby_distance = static_cast<std::size_t>(ImageDistance::being_fetched);
}  // namespace

bool GangPlacer::Distance::is_nearer_than(const Distance& other) const {
    return std::tie(worst, sum) < std::tie(other.worst, other.sum);
}

void GangPlacer::place(std::size_t index, ImageRequirement image_requirement) {
    auto& job = plan_.input.jobs[index];
    // Instances of the previous attempt occupy their machines until they exit. The next attempt starts once
    // all of them have terminated.
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

// Counts the whole gang as used quota of its team, so that the team's smaller jobs do not take each part of
// the hard limit as it becomes free.
void GangPlacer::reserve_quota(const JobView& job) {
    if (!has_waited_long(job) || !quota_will_suffice(*job.spec)) return;
    plan_.input.team_used[job.spec->team] +=
        job.spec->request.times(static_cast<double>(job.waiting_tasks.size()));
}

// Returns whether the team's hard limit can hold the whole gang in addition to the team's services, which do
// not end by themselves.
bool GangPlacer::quota_will_suffice(const protocol::Job& spec) const {
    Resources used_by_services;
    for (auto& instance : plan_.input.instances) {
        auto& other = *plan_.input.jobs[instance.job].spec;
        if (other.team == spec.team && other.kind == JobKind::service) used_by_services += other.request;
    }
    auto* team = plan_.team(spec.team);
    return team && team_allows(*team, used_by_services, spec.request.times(static_cast<double>(spec.tasks)));
}

// Returns sets of pools, each of which may hold the whole gang: one set for each zone, in random order, if
// the gang must be in one zone, otherwise a single set with all of `pools`.
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

// Places the gang in the group of pools with the smallest image distance that has enough slots. The largest
// distance counts first, because a gang starts only when the last of its machines has the image.
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
        bool is_nearby = group.distance.worst <= max_nearby_distance;
        return (is_nearby || image_requirement == ImageRequirement::none) && place_all(index, *group.pools);
    });
}

// Returns the distance over the free slots nearest to the image, one for each waiting task, or nothing if the
// pools have fewer free slots than that.
std::optional<GangPlacer::Distance> GangPlacer::distance(const JobView& job, const PoolSet& pools) {
    auto& request = job.spec->request;
    auto wanted = job.waiting_tasks.size();
    if (plan_.is_exhausted(request, pools)) return std::nullopt;
    std::vector<std::size_t> distances;  // one for each free slot
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

// Returns the machines with free slots, one entry for each slot and at most as many as the gang has waiting
// tasks.
Machines GangPlacer::free_slots(const JobView& job, const PoolSet& pools) const {
    auto& request = job.spec->request;
    Machines slots;
    for (auto machine : plan_.machines_that_fit(job, pools)) {
        auto available = plan_.available(machine);
        for (; available.fits(request) && slots.size() < job.waiting_tasks.size(); available -= request)
            slots.push_back(machine);
    }
    return slots;
}

// Reserves the gang's free slots, in the group of pools that has the most, for the rest of this plan.
//
// The larger a gang is, the less often enough slots are free at once: smaller and younger jobs took each slot
// as it became free, for minutes. So the free slots are kept for the gang that has waited longest until it
// has enough. Only one gang in a plan gets reservations, because two gangs would each hold half of the slots
// that they need.
void GangPlacer::reserve_free_slots(std::size_t index, const std::vector<PoolSet>& groups) {
    if (has_reserved_slots_) return;
    auto& job = plan_.input.jobs[index];
    Machines best;
    for (auto& group : groups) {
        auto slots = free_slots(job, group);
        if (slots.size() > best.size()) best = std::move(slots);
    }
    has_reserved_slots_ = !best.empty();
    for (auto machine : best) plan_.input.machines[machine].reserved += job.spec->request;
}

}  // namespace coralhitch::scheduler
