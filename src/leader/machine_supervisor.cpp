#include "leader/machine_supervisor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "scheduler/scheduler.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using membership::EvictionCost;
using membership::Health;
using membership::Observation;
using protocol::JobKind;

namespace {
// Half of a worker's lease is left then; it tries all controllers in turn and comes back well within the
// first.
constexpr double missing_heartbeat_leases = 1.0 / 2;
// Report periods between two probes of a machine.
constexpr double reconciled_probe_reports = 1.0 / 2, unreconciled_probe_reports = 1.0 / 3;
// Report periods that pass after a lease's end before it counts as expired.
constexpr double lease_margin_reports = 1.0 / 3;
}  // namespace

MachineSupervisor::MachineSupervisor(const PartContext& context, metrics::Metrics& metrics,
                                     const std::vector<protocol::MachineType>& types, const Parts& parts,
                                     Hooks hooks)
    : LeaderPart(context),
      leadership_(context.authority),
      metrics_(metrics),
      types_(types),
      parts_(parts),
      hooks_(std::move(hooks)) {}

bool MachineSupervisor::check() {
    auto checked = observe();
    double recently_s = settings_.heartbeat_interval_s * settings_.op.suspicion_timeout_periods;
    auto last_answer_at = parts_.commands.last_answer_at();
    parts_.failure_detector.observe(checked.observations,
                                    {parts_.reconciliation.overloaded(checked.at),
                                     last_answer_at && checked.at - *last_answer_at < recently_s},
                                    checked.at);
    if (resigns_if_isolated()) return false;
    bool may_evict = authority_.holds() && parts_.failure_detector.may_evict();
    check_up(checked, may_evict);
    check_booting_and_marked(checked.at, may_evict);
    return true;
}

MachineSupervisor::Checked MachineSupervisor::observe() const {
    Checked checked;
    checked.at = now();
    for (auto& [id, machine] : state_.cluster.machines()) {
        if (machine.life != Machine::Life::up) continue;
        checked.machines.push_back(&machine);
        checked.observations.push_back(observe(machine, checked.at));
    }
    return checked;
}

Observation MachineSupervisor::observe(const Machine& machine, double at) const {
    Observation observation{machine.id,
                            machine.route,
                            state_.zone_of(machine),
                            parts_.reconciliation.attributable_silence_s(machine, at),
                            machine.last_heartbeat_at,
                            machine.reconciled,
                            machine.known_from_replica,
                            {}};
    // What runs there goes on until its worker's lease expires, and that is reported. What was sent there and
    // has not been reported would wait for as long.
    if (machine.reconciled && machine.reachability.outbound_unreachable() &&
        !machine.has_reported_instances())
        observation.unreached_s =
            at - machine.reachability.last_reached_at() - settings_.heartbeat_interval_s;
    if (std::max(observation.silence_s, observation.unreached_s) > settings_.heartbeat_interval_s / 2)
        observation.eviction_cost = eviction_cost(machine);
    return observation;
}

// Who would wait for a machine that is dead.
EvictionCost MachineSupervisor::eviction_cost(const Machine& machine) const {
    if (machine.tasks.empty()) return EvictionCost::none;
    bool only_running_arrays = std::all_of(machine.tasks.begin(), machine.tasks.end(), [](auto& entry) {
        auto& instance = entry.second;
        return instance.spec && instance.spec->kind == JobKind::array && instance.running_since.has_value();
    });
    return only_running_arrays ? EvictionCost::own_work : EvictionCost::others_wait;
}

// Whether the leader seems to be the one that is cut off, and has resigned for it.
bool MachineSupervisor::resigns_if_isolated() {
    auto& detector = parts_.failure_detector;
    auto& suspicion = detector.self_suspicion();
    if (!suspicion) return false;
    auto seen_by_peers = hooks_.heartbeats_seen_by_peers(suspicion->missed_heartbeats);
    detector.set_heartbeats_seen_by_peers(seen_by_peers);
    if (!detector.should_resign() || !hooks_.resign_leadership()) return false;
    spdlog::info(
        "component=leader event=resigned reason=isolated silent_machines={} machines={} "
        "seen_by_peer={}",
        suspicion->missed_heartbeats.size(), detector.machines_up(), *seen_by_peers);
    leadership_.resign(settings_.lease_s);
    return true;
}

void MachineSupervisor::check_up(const Checked& checked, bool may_evict) {
    std::size_t suspected = 0;
    for (std::size_t index = 0; index < checked.machines.size(); ++index) {
        auto& machine = *checked.machines[index];
        auto health = parts_.failure_detector.evaluate(checked.observations[index]);
        {
            std::lock_guard lock(state_.mutex);
            machine.suspected = health != Health::alive || machine.reachability.outbound_unreachable();
            machine.inbound_unreachable = machine.reachability.inbound_unreachable(
                checked.at, settings_.lease_s * missing_heartbeat_leases);
        }
        // Each grant to its relay would move the time at which its lease expires, and it never did.
        if (machine.inbound_unreachable) parts_.delegations.revoke(machine.id);
        suspected += machine.is_suspect();
        check_machine(machine, checked.observations[index], health, may_evict);
    }
    metrics_.set(metrics::Metric::leader_suspected_machines, static_cast<double>(suspected));
}

void MachineSupervisor::check_booting_and_marked(double at, bool may_evict) {
    for (auto& [id, machine] : state_.cluster.machines()) {
        if (machine.life == Machine::Life::marked_for_deletion) check_lease(machine);
        if (machine.life != Machine::Life::booting || !may_evict ||
            !parts_.failure_detector.boot_overdue(boot_times(machine), state_.zone_of(machine), at))
            continue;
        std::lock_guard lock(state_.mutex);
        parts_.deletion.mark(machine, "does not come up");
    }
}

void MachineSupervisor::check_machine(Machine& machine, const Observation& observation, Health health,
                                      bool may_evict) {
    probe_if_due(machine, observation);
    bool dead = health == Health::dead;
    // A machine that has reported within a lease has nothing to be proven terminated: not worth it each tick.
    bool look_at_lease =
        dead || is_outbound_unreachable(machine) || now() - machine.last_heartbeat_at > settings_.lease_s;
    bool lease_expired = look_at_lease && check_lease(machine);
    // One that has reconciled is not evicted while it is being probed: its answer may lie unread until the
    // time for it is up. One that has not is probed again and again, without a pause; it was waited for then
    // until its lease had expired, and nothing was placed meanwhile.
    bool awaits_answer = machine.reconciled && machine.probing && !lease_expired;
    if (dead && !awaits_answer && (may_evict || (lease_expired && authority_.holds()))) {
        std::lock_guard lock(state_.mutex);
        parts_.failure_detector.record_eviction(observation, now());
        parts_.deletion.mark(machine, parts_.failure_detector.evidence(observation).c_str());
    } else if (may_evict && machine.preemption_deadline && machine.tasks.empty() && machine.reconciled) {
        std::lock_guard lock(state_.mutex);
        parts_.deletion.mark(machine, "has notice and is empty");
    }
}

void MachineSupervisor::probe_if_due(Machine& machine, const Observation& observation) {
    double interval_s = settings_.heartbeat_interval_s *
                        (machine.reconciled ? reconciled_probe_reports : unreconciled_probe_reports);
    if (machine.last_probe_at && now() - *machine.last_probe_at <= interval_s) return;
    bool due = machine.reconciled ? parts_.failure_detector.missed_heartbeat(observation)
                                  : now() - machine.created_at >
                                        settings_.heartbeat_interval_s * CommandSender::first_probe_reports;
    if (due) parts_.commands.probe(machine);
}

// Whether the machine's lease has expired; what was on it is ended then. Proof by time: the worker kills its
// tasks lease_s after it sent the last heartbeat that was answered. That heartbeat was sent before its
// answer; an answer to a delayed heartbeat counts too, and a relay may have given it.
bool MachineSupervisor::check_lease(Machine& machine) {
    double renewed_at = parts_.delegations.last_possible_renewal(machine);
    double lease_s = settings_.lease_s;
    bool expired = now() > renewed_at + lease_s * (1 + 2 * election::max_clock_drift) +
                               settings_.heartbeat_interval_s * lease_margin_reports;
    bool silent = now() - machine.last_heartbeat_at > lease_s || is_outbound_unreachable(machine);
    if (expired && silent && (!machine.tasks.empty() || !machine.reconciled)) {
        spdlog::info("component=leader event=lease_expired machine={} tasks={}", machine.id,
                     machine.tasks.size());
        std::lock_guard lock(state_.mutex);
        for (auto& end : state_.cluster.expire_lease(machine)) parts_.instances.instance_ended(end);
        hooks_.request_plan();
    }
    return expired;
}

bool MachineSupervisor::is_outbound_unreachable(const Machine& machine) const {
    return !machine.reconciled && machine.reachability.outbound_unreachable() &&
           now() > machine.lease_renewed_at && !parts_.reconciliation.overloaded(now());
}

double MachineSupervisor::boot_times(const Machine& machine) const {
    for (auto& type : types_)
        if (type.name == machine.type && type.boot_s > 0) return (now() - machine.created_at) / type.boot_s;
    return 0;
}

void MachineSupervisor::handle_preemption_notice(Machine& machine) {
    struct Stop {
        protocol::TaskId task;
        double grace_s = 0;
    };
    std::vector<Stop> stops;
    double left_s = std::max(0.0, *machine.preemption_deadline - now());
    for (auto& [task, instance] : machine.tasks)
        if (instance.spec && instance.confirmed && !instance.stop_requested &&
            (instance.spec->checkpoint_interval_s > 0 || instance.spec->kind == JobKind::service))
            stops.push_back({task, std::min(scheduler::checkpoint_grace_s(*instance.spec), left_s)});
    for (auto& [task, grace_s] : stops) {
        auto* job = state_.jobs.find(task.job);
        if (job && job->spec->kind == JobKind::gang)
            parts_.instances.stop_active(task.job, *job, grace_s);
        else
            state_.cluster.stop(machine, task, grace_s);
    }
    if (!stops.empty())
        spdlog::info("component=leader event=preemption_notice machine={} stopped_tasks={}", machine.id,
                     stops.size());
}

std::map<std::string, double> MachineSupervisor::suspected() const {
    std::map<std::string, double> silent_s;
    for (auto& [id, machine] : state_.cluster.machines()) {
        if (machine.life != Machine::Life::up) continue;
        double since_heartbeat = now() - machine.last_heartbeat_at;
        if (machine.suspected ||
            (!machine.reconciled && since_heartbeat > settings_.heartbeat_interval_s / 2))
            silent_s.emplace(id, since_heartbeat + machine.silence_hint_s);
    }
    return silent_s;
}

}  // namespace coralhitch::leader
