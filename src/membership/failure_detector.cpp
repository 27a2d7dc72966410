#include "membership/failure_detector.hpp"

#include <algorithm>
#include <cstdio>

#include "protocol/agent_api.hpp"

namespace coralhitch::membership {

namespace {
// Names say the unit: `_reports` heartbeat periods, `_leases` agent leases, `_boots` nominal boot times.

constexpr double missed_reports = 1.27;
// Time for two direct commands to go unanswered.
constexpr double unreconciled_reports = 0.9;
// Above this share of silent machines the leader suspects itself first.
constexpr double mass_silence_share = 1.0 / 3;
// With recent heartbeats from fewer machines than this share, the leader, or a zone, is cut off.
constexpr double isolated_share = 1.0 / 8;
// Smaller fleets and zones say nothing of that; a zone of so many does at once.
constexpr std::size_t min_isolated_fleet = 16, min_unreachable_zone = 4, min_unreachable_zone_at_once = 8;
// An agent that is well lets no more time pass between two heartbeats.
constexpr double max_interval_reports = 1.25;
// How long an agent takes to turn to another controller: its timeout, a pause and a heartbeat.
constexpr double reroute_reports = 2;
constexpr double zone_silent_reports = 2, zone_silent_leases = 4;
// In timeouts of machines that others wait for: work that nobody else waits for has as much to lose.
constexpr double own_work_timeouts = 2.5;
// Where a whole zone is unreachable: for what is on a machine, and for the machine itself. A new leader has
// no proof by time so soon, and does not know for how long the zone was unreachable before.
constexpr double zone_tasks_leases = 1.1, zone_unreconciled_leases = 2.0 / 3, zone_empty_leases = 2;
constexpr double empty_leases = 1;
// Waiting goes on while it is worth it: an eviction costs so much, boots and fetches included.
constexpr double eviction_cost_reports = 4;
constexpr double history_leases = 8;
// What a machine takes at the most as a rule; what is never waited for; and what a new leader assumes of the
// slowest one. A machine is given up after half as long again as the slowest lately took. Each that comes up
// lets an older, slower one be forgotten by so much.
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
    return silence_s > limits_.heartbeat_interval_s * zone_silent_reports &&
           silence_s < limits_.lease_s * zone_silent_leases;
}

// --- Suspicion ------------------------------------------------------------------------------------------

// No later than the machine could be evicted: a new leader that is cut off from the agents must see that
// first.
bool FailureDetector::missed_heartbeat(const Observation& machine) const {
    return machine.silence_s >
           limits_.heartbeat_interval_s * (machine.reconciled ? missed_reports : unreconciled_reports);
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

// Many at once that nothing reaches: not they, but the way to them, or this leader, is at fault.
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

// Next to no heartbeats come from a zone, while others send theirs as usual: it was cut off. Its machines go
// on with what they have, and a cut ends as a rule; deleted one after the other as each became due, 605
// machines were lost to a cut of ten seconds.
void FailureDetector::find_unreachable_zones(double now) {
    unreachable_zones_.clear();
    std::size_t recent = 0, up = 0;  // in the other zones
    for (std::size_t index = 0; index < zones_.size(); ++index) {
        auto& zone = zones_[index];
        // Of few machines it may be chance that none sent a heartbeat for half a period.
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
    // From the others, a quarter at least: otherwise it is the leader that receives nothing.
    if (up == 0 || static_cast<double>(recent) < share(up, isolated_share * 2)) unreachable_zones_.clear();
}

// When a controller that relays heartbeats ends or is cut off from the machines, or the leader is from those
// that report to itself, they turn to another within some seconds. Fewer than a third of the fleet, they used
// to be deleted before: 390 machines that were well, replicas on them, when a leader lost its agents while
// the others went on relaying to it. So a machine is overdue only if others come through by the route it came
// by.
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
                machine.last_heartbeat_at + limits_.heartbeat_interval_s * max_interval_reports)
            lost_routes_[std::string(machine.route)] = now + limits_.heartbeat_interval_s * reroute_reports;
}

// Silences of single machines. One that is over tells how long such take.
void FailureDetector::record_ended_silences(std::span<const Observation> machines, double now) {
    history_.drop_expired(now);
    std::map<std::string, double, std::less<>> silent;
    for (auto& machine : machines) {
        if (!machine.reconciled || zone_unreachable(machine.zone)) continue;
        if (missed_heartbeat(machine)) {
            silent.emplace(machine.id, machine.silence_s);
        } else if (auto it = silent_machines_.find(machine.id); it != silent_machines_.end()) {
            history_.record_return(it->second, now);
        }
    }
    silent_machines_ = std::move(silent);
}

void FailureDetector::update_self_suspicion(std::span<const Observation> machines, const FleetCounts& fleet) {
    SelfSuspicion suspicion;
    std::size_t up = 0, missed = 0, recent = 0;  // of what no unreachable zone explains
    for (auto& machine : machines) {
        bool has_missed = missed_heartbeat(machine);
        if (has_missed) suspicion.missed_heartbeats.emplace(machine.id, machine.silence_s);
        if (zone_unreachable(machine.zone)) continue;
        ++up;
        missed += has_missed;
        recent += machine.silence_s < recent_s_;
    }
    // Those evicted a moment ago count as silent still. Otherwise a leader that is cut off from the agents
    // would delete the fleet one by one, each time seeing only a few silent machines.
    std::size_t evicted = evictions_.size(), whole_fleet = machines_up_ + evicted;
    bool silence_is_new = fleet.new_silence_s > base_timeout_s_;
    // While the first machine becomes due, more than half of a fleet that is well reports. A leader that
    // receives next to nothing from many is cut off from them, or stood still, though less than a third has
    // missed a heartbeat yet: it used to delete those that fell silent first, dozens of machines that were
    // well.
    suspicion.isolated = silence_is_new && whole_fleet >= min_isolated_fleet &&
                         static_cast<double>(fleet.recent) < share(whole_fleet, isolated_share);
    if (suspicion.isolated)
        for (auto& machine : machines)
            if (machine.silence_s >= recent_s_)
                suspicion.missed_heartbeats.emplace(machine.id, machine.silence_s);
    // That a third is silent shows in what is missing before a third has missed a heartbeat: the first that
    // became due used to be deleted, a tenth of the fleet, before their leader began to suspect itself.
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

// Agents that get no reply turn to the other controllers, so these know: if they receive heartbeats, one of
// them should lead; if they receive none after the time an agent takes to turn to them, the machines are
// gone.
bool FailureDetector::should_resign() const {
    if (!self_suspicion_ || !seen_by_peers_ || *seen_by_peers_ == 0 || longest_silence_s_ <= base_timeout_s_)
        return false;
    // What was evicted a moment ago is silent here, too, and no peer is asked about it: a leader that had
    // evicted seven machines that nothing reaches resigned for the sake of one more.
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

// Nothing is placed while such a machine may hold anything, and one that is well answers a direct command at
// once. Not so if this leader reaches none itself, and receives only what others relay: an agent may try
// every other controller in vain before it comes to one that receives its heartbeat.
double FailureDetector::unreconciled_timeout_s() const {
    double timeout_s = leader_.probes_answered
                           ? std::min(base_timeout_s_, limits_.heartbeat_interval_s * unreconciled_reports)
                           : base_timeout_s_ + limits_.heartbeat_interval_s +
                                 static_cast<double>(limits_.peers) * protocol::heartbeat_retry_s;
    if (self_suspicion_)
        timeout_s = std::max(timeout_s, base_timeout_s_ + limits_.heartbeat_interval_s * reroute_reports);
    return timeout_s;
}

// Its tasks run on until its lease expires, and are then proven terminated without a deletion.
double FailureDetector::unreachable_zone_timeout_s(const Observation& machine) const {
    if (machine.eviction_cost == EvictionCost::none) return limits_.lease_s * zone_empty_leases;
    return limits_.lease_s * (machine.reconciled ? zone_tasks_leases : zone_unreconciled_leases);
}

double FailureDetector::suspicion_timeout_s(const Observation& machine) const {
    double reroute_s = limits_.heartbeat_interval_s * reroute_reports;
    double timeout_s = base_timeout_s_ + (self_suspicion_ && mass_silence_ ? reroute_s : 0);
    if (!machine.reconciled) {
        if (!machine.known_from_replica) return unreconciled_timeout_s();
        timeout_s = std::max(timeout_s, unreconciled_timeout_s());  // it holds nothing up
    }
    if (lost_routes_.contains(machine.route)) timeout_s += reroute_s;
    if (zone_unreachable(machine.zone)) return std::max(timeout_s, unreachable_zone_timeout_s(machine));
    if (machine.eviction_cost == EvictionCost::none)
        return std::max(timeout_s, limits_.lease_s * empty_leases);
    if (machine.eviction_cost == EvictionCost::own_work)
        timeout_s = std::max(timeout_s, std::min(timeout_s * own_work_timeouts, limits_.lease_s));
    // As long as one that has been silent for so long is likely enough to return.
    if (machine.silence_s >= timeout_s &&
        history_.return_probability(machine.silence_s, limits_.heartbeat_interval_s) * eviction_cost_reports >
            1)
        return machine.silence_s + limits_.heartbeat_interval_s;
    return timeout_s;
}

Health FailureDetector::evaluate(const Observation& machine) const {
    if (machine.silence_s > limits_.heartbeat_interval_s * unreconciled_reports &&
        machine.silence_s > suspicion_timeout_s(machine))
        return Health::dead;
    return missed_heartbeat(machine) || zone_unreachable(machine.zone) ? Health::suspected : Health::alive;
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

// At times new machines come up several times as late. Given up after the usual time, each of them was
// deleted a moment before it would have come, and another rented that was no faster: 300 machines stood for
// 500 needed. A new leader knows nothing of that yet, so it begins with a long time.
void FailureDetector::record_boot(double boots) {
    slowest_boot_ = std::clamp(std::max(boots, slowest_boot_ * boots_retained), usual_boots, max_boots);
}
// In a zone that is cut off it may be up, and is needed as soon as the cut ends.
bool FailureDetector::boot_overdue(double boots, std::size_t zone, double now) const {
    return boots > slowest_boot_ * overdue_ratio && !zone_silent(zone, now);
}

}  // namespace coralhitch::membership
