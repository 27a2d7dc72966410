#include "leader/machine_supervisor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "scheduler/scheduler.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using membership::EvictionCost;
using membership::Health;
using membership::Observation;
using protocol::JobKind;

namespace {
// Time without a heartbeat, in leases, after which a machine counts as inbound unreachable. The other half of
// the agent's lease is left then. An agent tries all controllers in turn and reaches one well within the
// first half.
constexpr double inbound_unreachable_after_leases = 1.0 / 2;
// Heartbeat periods between two probes of a machine.
constexpr double reconciled_probe_interval_heartbeat_periods = 1.0 / 2,
                 unreconciled_probe_interval_heartbeat_periods = 1.0 / 3;
// Heartbeat periods that must pass after the end of a lease before it counts as expired.
constexpr double lease_margin_heartbeat_periods = 1.0 / 3;
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
    const event_loop::WorkScope work(timers_, "machine_check", state_.cluster.machines().size());
    auto observed = observe();
    double recently_s = settings_.heartbeat_interval_s * settings_.op.suspicion_timeout_periods;
    auto last_answer_at = parts_.commands.last_answer_at();
    parts_.failure_detector.observe(observed.observations,
                                    {parts_.reconciliation.is_overloaded(observed.at),
                                     last_answer_at && observed.at - *last_answer_at < recently_s},
                                    observed.at);
    if (resigns_if_isolated()) return false;
    bool may_evict = authority_.holds() && parts_.failure_detector.may_evict();
    check_up(observed, may_evict);
    check_booting_and_marked(observed.at, may_evict);
    return true;
}

MachineSupervisor::ObservedMachines MachineSupervisor::observe() const {
    ObservedMachines observed;
    observed.at = now();
    for (auto& [id, machine] : state_.cluster.machines()) {
        if (machine.lifecycle != Machine::Lifecycle::up) continue;
        observed.machines.push_back(&machine);
        observed.observations.push_back(observe(machine, observed.at));
    }
    return observed;
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
    // Commands may not reach this machine, though its heartbeats arrive. Tasks that it has reported run until
    // the agent's lease expires, and the agent reports that. Tasks that were sent to it and never reported
    // would wait for as long, so the time without contact counts against a machine that has reported none.
    if (machine.reconciled && machine.reachability.outbound_unreachable() &&
        !machine.has_reported_instances())
        observation.unreached_s =
            at - machine.reachability.last_reached_at() - settings_.heartbeat_interval_s;
    if (std::max(observation.silence_s, observation.unreached_s) > settings_.heartbeat_interval_s / 2)
        observation.eviction_cost = eviction_cost(machine);
    return observation;
}

// Returns what would wait if the machine were dead and not evicted: nothing if it has no tasks, only the
// tasks themselves if all are running tasks of array jobs, and otherwise also others, such as the rest of a
// gang.
EvictionCost MachineSupervisor::eviction_cost(const Machine& machine) const {
    if (machine.tasks.empty()) return EvictionCost::none;
    bool only_running_arrays = std::all_of(machine.tasks.begin(), machine.tasks.end(), [](auto& entry) {
        auto& instance = entry.second;
        return instance.spec && instance.spec->kind == JobKind::array && instance.running_since.has_value();
    });
    return only_running_arrays ? EvictionCost::own_work : EvictionCost::others_wait;
}

// Resigns if this leader, rather than the machines, seems to be isolated. Returns whether it has resigned.
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

void MachineSupervisor::check_up(const ObservedMachines& observed, bool may_evict) {
    std::size_t suspected = 0;
    for (std::size_t index = 0; index < observed.machines.size(); ++index) {
        auto& machine = *observed.machines[index];
        auto health = parts_.failure_detector.evaluate(observed.observations[index]);
        {
            std::lock_guard lock(state_.mutex);
            machine.suspected = health != Health::alive || machine.reachability.outbound_unreachable();
            machine.inbound_unreachable = machine.reachability.inbound_unreachable(
                observed.at, settings_.lease_s * inbound_unreachable_after_leases);
        }
        // Each extension of its relay's delegation postpones the time at which the machine's lease counts as
        // expired. Without the revocation that lease never expired.
        if (machine.inbound_unreachable) parts_.delegations.revoke(machine.id);
        suspected += machine.is_suspect();
        check_machine(machine, observed.observations[index], health, may_evict);
    }
    metrics_.set(metrics::Metric::leader_suspected_machines, static_cast<double>(suspected));
}

void MachineSupervisor::check_booting_and_marked(double at, bool may_evict) {
    for (auto& [id, machine] : state_.cluster.machines()) {
        if (machine.lifecycle == Machine::Lifecycle::marked_for_deletion) check_lease(machine);
        if (machine.lifecycle != Machine::Lifecycle::booting || !may_evict ||
            !parts_.failure_detector.boot_overdue(age_in_boot_times(machine), state_.zone_of(machine), at))
            continue;
        std::lock_guard lock(state_.mutex);
        parts_.deletion.mark(machine, "has not come up in time");
    }
}

void MachineSupervisor::check_machine(Machine& machine, const Observation& observation, Health health,
                                      bool may_evict) {
    probe_if_due(machine, observation);
    bool dead = health == Health::dead;
    // On a machine whose last heartbeat is younger than a lease, no task can count as terminated by the
    // expiry of the lease. The check is skipped for such machines because it costs too much for all machines
    // in each tick.
    bool lease_may_have_expired =
        dead || is_outbound_unreachable(machine) || now() - machine.last_heartbeat_at > settings_.lease_s;
    bool lease_expired = lease_may_have_expired && check_lease(machine);
    // A reconciled machine is not evicted while a probe of it is in flight: its answer may have arrived and
    // stay unread until the probe times out. A machine that has not reconciled is probed continuously. When
    // its eviction waited for probes too, it was delayed until the lease had expired, and nothing was placed
    // meanwhile.
    bool awaits_answer = machine.reconciled && machine.probe_pending && !lease_expired;
    if (dead && !awaits_answer && (may_evict || (lease_expired && authority_.holds()))) {
        std::lock_guard lock(state_.mutex);
        parts_.failure_detector.record_eviction(observation, now());
        parts_.deletion.mark(machine, parts_.failure_detector.evidence(observation).c_str());
    } else if (may_evict && machine.preemption_deadline && machine.tasks.empty() && machine.reconciled) {
        std::lock_guard lock(state_.mutex);
        parts_.deletion.mark(machine, "has a preemption notice and no tasks");
    }
}

void MachineSupervisor::probe_if_due(Machine& machine, const Observation& observation) {
    double interval_s =
        settings_.heartbeat_interval_s * (machine.reconciled ? reconciled_probe_interval_heartbeat_periods
                                                             : unreconciled_probe_interval_heartbeat_periods);
    if (machine.last_probe_at && now() - *machine.last_probe_at <= interval_s) return;
    bool due = machine.reconciled
                   ? parts_.failure_detector.has_missed_heartbeat(observation)
                   : now() - machine.created_at >
                         settings_.heartbeat_interval_s * CommandSender::first_probe_heartbeat_periods;
    if (due) parts_.commands.probe(machine);
}

// Returns whether the machine's lease has expired. If it has, and no heartbeat has come for as long as a
// lease or the machine is outbound unreachable, ends all instances on it. The evidence that they have
// terminated is time: the agent kills its tasks lease_s after it sent the last heartbeat that was answered,
// and it sent that heartbeat before the answer. The answer to a delayed heartbeat counts as well, and so does
// one that a relay may have given.
bool MachineSupervisor::check_lease(Machine& machine) {
    double renewed_at = parts_.delegations.last_possible_renewal(machine);
    double lease_s = settings_.lease_s;
    bool expired = now() > renewed_at + lease_s * (1 + 2 * election::max_clock_drift) +
                               settings_.heartbeat_interval_s * lease_margin_heartbeat_periods;
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
           now() > machine.lease_renewed_at && !parts_.reconciliation.is_overloaded(now());
}

double MachineSupervisor::age_in_boot_times(const Machine& machine) const {
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
    std::set<std::string> stopped_gangs;
    for (auto& [task, grace_s] : stops) {
        auto* job = state_.jobs.find(task.job);
        if (!job || job->spec->kind != JobKind::gang)
            state_.cluster.stop(machine, task, grace_s);
        else if (stopped_gangs.insert(task.job).second)
            parts_.instances.stop_active(task.job, *job, grace_s);
    }
    if (!stops.empty())
        spdlog::info("component=leader event=preemption_notice machine={} stopped_tasks={}", machine.id,
                     stops.size());
}

std::map<std::string, double> MachineSupervisor::suspected() const {
    std::map<std::string, double> silent_s;
    for (auto& [id, machine] : state_.cluster.machines()) {
        if (machine.lifecycle != Machine::Lifecycle::up) continue;
        double since_heartbeat = now() - machine.last_heartbeat_at;
        if (machine.suspected ||
            (!machine.reconciled && since_heartbeat > settings_.heartbeat_interval_s / 2))
            silent_s.emplace(id, since_heartbeat + machine.inherited_silence_s);
    }
    return silent_s;
}

}  // namespace coralhitch::leader
