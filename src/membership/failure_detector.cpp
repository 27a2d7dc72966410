#include "membership/failure_detector.hpp"

#include <algorithm>
#include <cstdio>

#include "protocol/agent_api.hpp"

namespace coralhitch::membership {

namespace {
// The suffix of a name is its unit: `_periods` are heartbeat periods, `_leases` agent leases, and `_boots`
// nominal boot times of the machine type.

// A heartbeat counts as missed after this much silence.
constexpr double missed_periods = 1.27;
// Long enough for two direct commands to go unanswered.
constexpr double unreconciled_periods = 0.9;
// If more than this share of the machines is silent, the leader first suspects itself of being cut off.
constexpr double mass_silence_share = 1.0 / 3;
// The leader, or a zone, is cut off if a smaller share of the machines than this has sent recent heartbeats.
constexpr double isolated_share = 1.0 / 8;
// In smaller fleets and zones that share is not evidence. In a zone of `min_unreachable_zone_at_once`
// machines it is evidence at once, in a smaller zone only after a heartbeat period.
constexpr std::size_t min_isolated_fleet = 16, min_unreachable_zone = 4, min_unreachable_zone_at_once = 8;
// The longest time between two heartbeats of a healthy agent.
constexpr double max_interval_periods = 1.25;
// The time that an agent takes to switch to another controller: its timeout, a pause and a heartbeat.
constexpr double reroute_periods = 2;
// Bounds of the silence for which a zone counts as silent.
constexpr double zone_silent_periods = 2, zone_silent_leases = 4;
// Timeout of a machine with only independent tasks, as a multiple of the timeout of one that others wait for.
// It is longer, up to one agent lease, because an eviction costs independent tasks as much work as the wait.
constexpr double own_work_timeouts = 2.5;
// Timeouts in an unreachable zone: of a reconciled machine with tasks, of an unreconciled machine with tasks,
// and of a machine without tasks. While a machine is unreconciled, the leader is new: the expiry of leases is
// not yet evidence that tasks have terminated, and it does not know how long the zone has been unreachable.
constexpr double zone_tasks_leases = 1.1, zone_unreconciled_leases = 2.0 / 3, zone_empty_leases = 2;
// Timeout of a machine without tasks in a reachable zone.
constexpr double empty_leases = 1;
// The time that an eviction costs, including the boot of a new machine and the fetching of images. The leader
// waits another heartbeat period for a silent machine if the probability that the machine returns within that
// period, multiplied by this cost, is more than the period.
constexpr double eviction_cost_periods = 4;
// Ended silences are remembered for this long.
constexpr double history_leases = 8;
// The estimate of the slowest recent boot begins at `initial_boots` under a new leader and stays between
// `usual_boots`, which most boots do not exceed, and `max_boots`. Each machine that comes up reduces the
// estimate to the share `boots_retained`, unless its own boot was slower than that. A machine is overdue
// after `overdue_ratio` times the estimate.
constexpr double usual_boots = 2, max_boots = 8, initial_boots = 4, boots_retained = 0.95,
                 overdue_ratio = 1.5;

double share(std::size_t of, double ratio) {
    return static_cast<double>(of) * ratio;
}
}  // namespace

FailureDetector::FailureDetector(const FailureDetectorLimits& limits)
    : limits_(limits),
      base_timeout_s_(limits.heartbeat_interval_s * limits.suspicion_timeout_periods),
      recent_s_(std::max(base_timeout_s_ - limits.heartbeat_interval_s, limits.heartbeat_interval_s / 2)),
      history_(limits.lease_s * history_leases),
      slowest_boot_(initial_boots) {}

// --- Recording ------------------------------------------------------------------------------------------

void FailureDetector::record_heartbeat(std::size_t zone, double now) {
    if (zones_.size() <= zone) zones_.resize(zone + 1);
    auto& last = zones_[zone].last_heartbeat_at;
    last = std::max(last.value_or(now), now);
}

bool FailureDetector::zone_silent(std::size_t zone, double now) const {
    if (zone >= zones_.size() || !zones_[zone].last_heartbeat_at) return false;
    double silence_s = now - *zones_[zone].last_heartbeat_at;
    return silence_s > limits_.heartbeat_interval_s * zone_silent_periods &&
           silence_s < limits_.lease_s * zone_silent_leases;
}

// --- Suspicion ------------------------------------------------------------------------------------------

// For a machine that is not reconciled, a heartbeat counts as missed as soon as the machine could be evicted.
// A new leader that is cut off from the agents must suspect itself before it evicts machines.
bool FailureDetector::has_missed_heartbeat(const Observation& machine) const {
    return machine.silence_s >
           limits_.heartbeat_interval_s * (machine.reconciled ? missed_periods : unreconciled_periods);
}

void FailureDetector::observe(std::span<Observation> machines, const LeaderCondition& leader, double now) {
    count_unreached_as_silent(machines);
    start_observation(machines.size(), leader, now);
    auto fleet = count_by_zone(machines);
    find_unreachable_zones(now);
    find_lost_routes(machines, now);
    record_ended_silences(machines, now);
    update_self_suspicion(machines, fleet);
}

// Treats machines that no message reaches as silent. If many are unreached at once, the network or this
// leader is the likely cause, so they are not treated as silent.
void FailureDetector::count_unreached_as_silent(std::span<Observation> machines) const {
    auto unreached = std::count_if(machines.begin(), machines.end(),
                                   [](auto& machine) { return machine.unreached_s > 0; });
    if (static_cast<double>(unreached) >= share(machines.size(), mass_silence_share)) return;
    for (auto& machine : machines) machine.silence_s = std::max(machine.silence_s, machine.unreached_s);
}

void FailureDetector::start_observation(std::size_t machines, const LeaderCondition& leader, double now) {
    leader_ = leader;
    self_suspicion_.reset();
    seen_by_peers_.reset();
    while (!evictions_.empty() && now - evictions_.front() > limits_.lease_s) evictions_.pop_front();
    for (auto& zone : zones_) zone.up = zone.recent = 0;
    machines_up_ = machines;
    longest_silence_s_ = 0;
}

FailureDetector::FleetCounts FailureDetector::count_by_zone(std::span<const Observation> machines) {
    FleetCounts fleet;
    for (auto& machine : machines) {
        if (zones_.size() <= machine.zone) zones_.resize(machine.zone + 1);
        bool recent = machine.silence_s < recent_s_;
        fleet.recent += recent;
        ++zones_[machine.zone].up;
        zones_[machine.zone].recent += recent;
        longest_silence_s_ = std::max(longest_silence_s_, machine.silence_s);
        if (machine.silence_s < base_timeout_s_ * 2)
            fleet.new_silence_s = std::max(fleet.new_silence_s, machine.silence_s);
    }
    return fleet;
}

// Finds zones that send almost no heartbeats while other zones send theirs as usual, and are therefore cut
// off. The machines of such a zone continue their tasks, and a network partition usually ends. When each
// machine was deleted at its usual timeout, a partition of ten seconds cost 605 machines.
void FailureDetector::find_unreachable_zones(double now) {
    unreachable_zones_.clear();
    std::size_t recent = 0, up = 0;  // in the other zones
    for (std::size_t index = 0; index < zones_.size(); ++index) {
        auto& zone = zones_[index];
        // In a zone of few machines it may be chance that none sent a heartbeat for half a period.
        bool long_enough = zone.up >= min_unreachable_zone_at_once || !zone.last_heartbeat_at ||
                           now - *zone.last_heartbeat_at > limits_.heartbeat_interval_s;
        if (zone.up >= min_unreachable_zone && long_enough &&
            static_cast<double>(zone.recent) <= share(zone.up, isolated_share)) {
            unreachable_zones_.insert(index);
        } else {
            recent += zone.recent;
            up += zone.up;
        }
    }
    // If less than a quarter of the machines in the other zones sent recent heartbeats, the leader itself is
    // cut off, rather than these zones.
    if (up == 0 || static_cast<double>(recent) < share(up, isolated_share * 2)) unreachable_zones_.clear();
}

// Finds routes by which no heartbeats arrive any more. When a relay ends or is cut off from its machines, or
// the leader is cut off from the machines that send heartbeats to it directly, their agents switch to another
// controller within seconds. If these were fewer than a third of the fleet, the leader used to delete them
// before that: it deleted 390 healthy machines with replicas on them when it lost its own agents while the
// relays still reached it. A machine therefore gets more time unless other heartbeats arrive by its route.
void FailureDetector::find_lost_routes(std::span<const Observation> machines, double now) {
    std::map<std::string_view, double> latest_by_route;
    for (auto& machine : machines)
        if (machine.reconciled) {
            auto& latest = latest_by_route[machine.route];
            latest = std::max(latest, machine.last_heartbeat_at);
        }
    std::erase_if(lost_routes_, [&](auto& route) { return route.second < now; });
    for (auto& machine : machines)
        if (machine.reconciled && now - machine.last_heartbeat_at > base_timeout_s_ &&
            latest_by_route[machine.route] <=
                machine.last_heartbeat_at + limits_.heartbeat_interval_s * max_interval_periods)
            lost_routes_[std::string(machine.route)] = now + limits_.heartbeat_interval_s * reroute_periods;
}

// Records the lengths of silences that have ended. Machines in unreachable zones are ignored, since their
// silence is that of the zone.
void FailureDetector::record_ended_silences(std::span<const Observation> machines, double now) {
    history_.drop_expired(now);
    std::map<std::string, double, std::less<>> silent;
    for (auto& machine : machines) {
        if (!machine.reconciled || zone_unreachable(machine.zone)) continue;
        if (has_missed_heartbeat(machine)) {
            silent.emplace(machine.id, machine.silence_s);
        } else if (auto it = silent_machines_.find(machine.id); it != silent_machines_.end()) {
            history_.record_return(it->second, now);
        }
    }
    silent_machines_ = std::move(silent);
}

void FailureDetector::update_self_suspicion(std::span<const Observation> machines, const FleetCounts& fleet) {
    SelfSuspicion suspicion;
    std::size_t up = 0, missed = 0, recent = 0;  // machines that are not in an unreachable zone
    for (auto& machine : machines) {
        bool has_missed = has_missed_heartbeat(machine);
        if (has_missed) suspicion.missed_heartbeats.emplace(machine.id, machine.silence_s);
        if (zone_unreachable(machine.zone)) continue;
        ++up;
        missed += has_missed;
        recent += machine.silence_s < recent_s_;
    }
    // Recently evicted machines still count as silent. Otherwise a leader that is cut off from the agents
    // would delete the fleet one by one, seeing only a few silent machines each time.
    std::size_t evicted = evictions_.size(), whole_fleet = machines_up_ + evicted;
    bool silence_is_new = fleet.new_silence_s > base_timeout_s_;
    // By the time the first silent machine reaches its timeout, more than half of a healthy fleet has sent a
    // heartbeat. A leader that has received almost none is cut off, or was paused, even if less than a third
    // has missed a heartbeat yet. Without this check it deleted the machines that were silent first, dozens
    // of healthy ones.
    suspicion.isolated = silence_is_new && whole_fleet >= min_isolated_fleet &&
                         static_cast<double>(fleet.recent) < share(whole_fleet, isolated_share);
    if (suspicion.isolated)
        for (auto& machine : machines)
            if (machine.silence_s >= recent_s_)
                suspicion.missed_heartbeats.emplace(machine.id, machine.silence_s);
    // If a third of the fleet is silent, recent heartbeats are fewer than expected before a third has missed
    // one. Without this check, a tenth of the fleet, the machines that reached their timeout first, was
    // deleted before the leader began to suspect itself.
    bool mass_silence_likely =
        silence_is_new && up >= min_isolated_fleet &&
        static_cast<double>(recent) <
            share(up, recent_s_ / limits_.heartbeat_interval_s * (1 - mass_silence_share));
    mass_silence_ = suspicion.isolated || mass_silence_likely ||
                    static_cast<double>(missed + evicted) > share(up + evicted, mass_silence_share);
    bool many = static_cast<double>(suspicion.missed_heartbeats.size() + evicted) >
                share(whole_fleet, mass_silence_share);
    if (!leader_.overloaded && (suspicion.isolated || mass_silence_likely || many))
        self_suspicion_ = std::move(suspicion);
}

// --- Asking peers ---------------------------------------------------------------------------------------

// Agents that get no reply switch to the other controllers. If those receive heartbeats, one of them should
// lead. If they receive none within the time that an agent takes to switch, the machines are dead.
bool FailureDetector::should_resign() const {
    if (!self_suspicion_ || !seen_by_peers_ || *seen_by_peers_ == 0 || longest_silence_s_ <= base_timeout_s_)
        return false;
    // Recently evicted machines are silent as well, but peers are not asked about them. When they were not
    // counted, a leader that had evicted seven unreachable machines resigned because of one more.
    std::size_t evicted = evictions_.size();
    double enough = self_suspicion_->isolated
                        ? share(machines_up_ + evicted, isolated_share)
                        : share(self_suspicion_->missed_heartbeats.size() + evicted, 0.5);
    return static_cast<double>(*seen_by_peers_) >= enough;
}

// --- Evaluation -----------------------------------------------------------------------------------------

bool FailureDetector::may_evict() const {
    return !leader_.overloaded &&
           (!self_suspicion_ ||
            (seen_by_peers_ && *seen_by_peers_ * 2 < self_suspicion_->missed_heartbeats.size()));
}

// Returns the timeout of a machine whose tasks are unknown because it is neither reconciled nor in the
// replica. No task is placed while there is such a machine, so the timeout is short: a healthy machine
// answers a direct command at once. If no machine answers this leader's probes, it receives only relayed
// heartbeats, and an agent may fail to reach every other controller before it finds one that receives its
// heartbeat. The timeout then allows for these retries.
double FailureDetector::unreconciled_timeout_s() const {
    double timeout_s = leader_.probes_answered
                           ? std::min(base_timeout_s_, limits_.heartbeat_interval_s * unreconciled_periods)
                           : base_timeout_s_ + limits_.heartbeat_interval_s +
                                 static_cast<double>(limits_.peers) * protocol::heartbeat_retry_s;
    if (self_suspicion_)
        timeout_s = std::max(timeout_s, base_timeout_s_ + limits_.heartbeat_interval_s * reroute_periods);
    return timeout_s;
}

// The tasks of a machine in an unreachable zone run until its lease expires. The expiry is then evidence that
// they have terminated, without a deletion of the machine.
double FailureDetector::unreachable_zone_timeout_s(const Observation& machine) const {
    if (machine.eviction_cost == EvictionCost::none) return limits_.lease_s * zone_empty_leases;
    return limits_.lease_s * (machine.reconciled ? zone_tasks_leases : zone_unreconciled_leases);
}

double FailureDetector::suspicion_timeout_s(const Observation& machine) const {
    double reroute_s = limits_.heartbeat_interval_s * reroute_periods;
    double timeout_s = base_timeout_s_ + (self_suspicion_ && mass_silence_ ? reroute_s : 0);
    if (!machine.reconciled) {
        if (!machine.known_from_replica) return unreconciled_timeout_s();
        timeout_s = std::max(timeout_s, unreconciled_timeout_s());  // this machine does not block placement
    }
    if (lost_routes_.contains(machine.route)) timeout_s += reroute_s;
    if (zone_unreachable(machine.zone)) return std::max(timeout_s, unreachable_zone_timeout_s(machine));
    if (machine.eviction_cost == EvictionCost::none)
        return std::max(timeout_s, limits_.lease_s * empty_leases);
    if (machine.eviction_cost == EvictionCost::own_work)
        timeout_s = std::max(timeout_s, std::min(timeout_s * own_work_timeouts, limits_.lease_s));
    // The leader waits on while a machine that has been silent for this long is likely enough to return.
    if (machine.silence_s >= timeout_s &&
        history_.return_probability(machine.silence_s, limits_.heartbeat_interval_s) * eviction_cost_periods >
            1)
        return machine.silence_s + limits_.heartbeat_interval_s;
    return timeout_s;
}

Health FailureDetector::evaluate(const Observation& machine) const {
    if (machine.silence_s > limits_.heartbeat_interval_s * unreconciled_periods &&
        machine.silence_s > suspicion_timeout_s(machine))
        return Health::dead;
    return has_missed_heartbeat(machine) || zone_unreachable(machine.zone) ? Health::suspected
                                                                           : Health::alive;
}

void FailureDetector::record_eviction(const Observation& machine, double now) {
    evictions_.push_back(now);
    if (machine.reconciled && !zone_unreachable(machine.zone))
        history_.record_eviction(machine.silence_s, now);
    silent_machines_.erase(std::string(machine.id));
}

std::string FailureDetector::evidence(const Observation& machine) const {
    static constexpr const char* costs[] = {"none", "own_work", "others_wait"};
    char text[200];
    std::snprintf(text, sizeof text,
                  "silence_s=%.1f suspicion_timeout_s=%.1f eviction_cost=%s reconciled=%s "
                  "zone_unreachable=%s not_seen_by_peers=%s",
                  machine.silence_s, suspicion_timeout_s(machine),
                  costs[static_cast<std::size_t>(machine.eviction_cost)],
                  machine.reconciled ? "true" : "false", zone_unreachable(machine.zone) ? "true" : "false",
                  self_suspicion_ ? "true" : "false");
    return text;
}

// --- Booting machines -----------------------------------------------------------------------------------

// Updates the estimate of the slowest recent boot. At times, new machines take several times as long as usual
// to come up. When the timeout was fixed at the usual time, each of them was deleted just before it would
// have come up, and the machine rented instead was no faster: only 300 machines were up when 500 were needed.
// A new leader has seen no boots yet, so it begins with a long estimate.
void FailureDetector::record_boot(double boots) {
    slowest_boot_ = std::clamp(std::max(boots, slowest_boot_ * boots_retained), usual_boots, max_boots);
}
// In a zone that is cut off, a machine may be up already, and will be needed when the zone is reachable
// again.
bool FailureDetector::boot_overdue(double boots, std::size_t zone, double now) const {
    return boots > slowest_boot_ * overdue_ratio && !zone_silent(zone, now);
}

}  // namespace coralhitch::membership
