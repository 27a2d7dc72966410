#include "leader/plan_executor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>

#include "leader/plan_snapshot.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using protocol::JobKind;

namespace {
// Minimum intervals between two plans, and between two plans that cover the fleet, in heartbeat periods.
constexpr double plan_interval_heartbeat_periods = 1.0 / 12;
constexpr double fleet_plan_interval_heartbeat_periods = 1.0 / 2;
// Ratio of the minimum interval between the beginnings of two plans to the duration of the first.
constexpr double plan_interval_to_duration_ratio = 3;
}  // namespace

PlanExecutor::PlanExecutor(const PartContext& context, const Parts& parts, Callbacks callbacks,
                           std::uint64_t seed)
    : LeaderPart(context), parts_(parts), callbacks_(std::move(callbacks)), random_(seed) {}

// The interval grows with the duration of the last plan, up to one heartbeat period, so that slow plans leave
// processor time to the event loop. With thousands of waiting tasks, back-to-back plans delayed heartbeats
// until healthy machines were considered unreachable.
double PlanExecutor::minimum_interval_s() const {
    double load_limit_s =
        std::min(last_plan_s_ * plan_interval_to_duration_ratio, settings_.heartbeat_interval_s);
    return std::max(settings_.heartbeat_interval_s * plan_interval_heartbeat_periods, load_limit_s);
}

void PlanExecutor::request_plan() {
    if (requested_ || authority_.ended()) return;
    requested_ = true;
    double wait_s = last_plan_at_ ? std::max(0.0, *last_plan_at_ + minimum_interval_s() - now()) : 0;
    timers_.after(wait_s, guarded_([this] {
                      requested_ = false;
                      begin_plan();
                  }));
}

bool PlanExecutor::fleet_plan_due() const {
    return parts_.reconciliation.complete() &&
           now() - last_fleet_plan_at_ >
               settings_.heartbeat_interval_s * fleet_plan_interval_heartbeat_periods &&
           parts_.fleet_scaler.knows_machine_types();
}

void PlanExecutor::begin_plan() {
    // A new leader does not know what unreconciled machines run, unless it holds a replica of the previous
    // leader's state. A placement could then start a task twice, or violate a quota or a zone limit.
    if (computing_ || !callbacks_.loaded() || !authority_.holds() ||
        !parts_.reconciliation.placement_allowed())
        return;
    auto plan = std::make_shared<Plan>();
    plan->with_fleet = fleet_plan_due();
    // Most plans found nothing to place, and each of them copied the whole fleet to find that out.
    if (!plan->with_fleet && !has_startable_tasks(state_, now())) return;
    computing_ = true;
    last_plan_at_ = now();
    if (plan->with_fleet) {
        last_fleet_plan_at_ = now();
        plan->fleet_in = parts_.fleet_scaler.autoscaler_input();
    }
    auto seed = random_();
    auto done = guarded_([this, plan] {
        computing_ = false;
        apply(*plan);
    });
    // `leader` keeps the leader alive while the planner's thread reads its state.
    parts_.planner.submit([this, leader = guarded_.owner(), plan, seed, done]() -> event_loop::Task {
        compute(*plan, seed);
        return done;
    });
}

void PlanExecutor::compute(Plan& plan, std::uint64_t seed) const {
    std::mt19937_64 random(seed);
    {
        std::lock_guard lock(state_.mutex);
        plan.in = scheduler_input(state_, settings_.teams, {now(), timers_.unix_time()});
    }
    plan.out = scheduler::plan(plan.in, settings_, random);
    if (!plan.with_fleet) return;
    {
        std::lock_guard lock(state_.mutex);
        add_machines_and_demand(plan.fleet_in, state_, plan.in, plan.out, now());
    }
    plan.fleet_out = autoscaler::plan(plan.fleet_in, settings_);
}

void PlanExecutor::apply(const Plan& plan) {
    last_plan_s_ = now() - *last_plan_at_;
    if (!authority_.holds()) return;
    const event_loop::WorkScope work(timers_, "plan", plan.out.starts.size());
    parts_.metrics.observe_planning_round(last_plan_s_);
    log_plan(plan);
    std::vector<PlannedStart> started;
    {
        std::lock_guard lock(state_.mutex);
        if (!parts_.reconciliation.placement_allowed()) return;
        started = apply_starts(plan);
        if (parts_.reconciliation.complete()) apply_stops(plan);
        if (plan.with_fleet) apply_scale_in(plan);
    }
    callbacks_.plan_applied(started);
    count_draws(plan.out.counts);
    if (plan.with_fleet && callbacks_.machines_listed())
        parts_.fleet_scaler.scale_out(plan.fleet_out.scale_out);
}

std::size_t PlanExecutor::group_size(const Plan& plan, std::size_t first) {
    auto& starts = plan.out.starts;
    auto job = starts[first].job;
    if (plan.in.jobs[job].spec->kind != JobKind::gang) return 1;
    auto other = std::find_if(starts.begin() + static_cast<std::ptrdiff_t>(first), starts.end(),
                              [&](auto& start) { return start.job != job; });
    return static_cast<std::size_t>(other - starts.begin()) - first;
}

std::vector<PlannedStart> PlanExecutor::apply_starts(const Plan& plan) {
    std::span<const scheduler::Start> starts = plan.out.starts;
    // Most plans start nothing, and summing up the usage of the teams iterates over the whole fleet.
    if (starts.empty()) return {};
    AppliedStarts applied{cluster::team_usage(state_.cluster, settings_.teams), {}, {}, {}};
    for (std::size_t first = 0; first < starts.size();) {
        auto count = group_size(plan, first);
        auto attempt = parts_.attempts.next();
        if (!attempt) break;  // attempt numbers are used up; a later plan starts the remaining tasks
        start_group(plan, starts.subspan(first, count), *attempt, applied);
        first += count;
    }
    instances_examined_ += applied.capacities.instances_examined();
    return std::move(applied.started);
}

void PlanExecutor::start_group(const Plan& plan, std::span<const scheduler::Start> group,
                               protocol::AttemptNumber attempt, AppliedStarts& applied) {
    auto& planned = *plan.in.jobs[group.front().job].spec;
    auto* job = state_.jobs.find(planned.id);
    auto* team = job ? find_team(*job) : nullptr;
    if (!team || (planned.kind == JobKind::gang && !job->active.empty())) return;
    auto& spec = *job->spec;
    auto& used = applied.used[spec.team];
    auto& zones = zones_of(*job, applied);
    std::vector<PlacedInstance> placed;
    for (auto& start : group) {
        auto* machine = state_.cluster.find(plan.in.machines[start.machine].id);
        // No command has been sent for the group yet, so a gang is started either as a whole or not at all.
        if (!machine || !may_start(*job, start.task, *machine, zones, applied.capacities) ||
            !scheduler::team_allows(*team, used, spec.request))
            return undo_placements(*job, placed, applied);
        used += spec.request;
        applied.capacities.take(*machine, spec.request);
        state_.cluster.place(*machine, {spec.id, start.task}, job->spec, attempt, now());
        job->active_instances_stopped = false;
        job->active[start.task] = {machine->id, attempt, state_.zone_of(*machine)};
        ++zones[state_.zone_of(*machine)];
        placed.push_back({machine, start.task});
    }
    for (auto& [machine, task] : placed) {
        applied.started.push_back({machine->id, {spec.id, task}});
        parts_.team_activity.started(spec.team);
        spdlog::debug("component=leader event=task_placed task={}/{} attempt={} machine={}", spec.id, task,
                      attempt, machine->id);
    }
}

scheduler::ZoneCounts& PlanExecutor::zones_of(const jobs::JobEntry& job, AppliedStarts& applied) {
    auto [position, inserted] = applied.zones.try_emplace(&job);
    if (inserted) {
        position->second = zone_counts(job, state_.cluster.zone_count());
        instances_examined_ += job.active.size();
    }
    return position->second;
}

void PlanExecutor::undo_placements(jobs::JobEntry& job, std::span<const PlacedInstance> placed,
                                   AppliedStarts& applied) const {
    auto& zones = applied.zones.at(&job);
    for (auto& [machine, task] : placed) {
        --zones[state_.zone_of(*machine)];
        machine->tasks.erase({job.spec->id, task});
        job.active.erase(task);
        applied.used[job.spec->team] -= job.spec->request;
        applied.capacities.give_back(*machine, job.spec->request);
    }
}

const config::Team* PlanExecutor::find_team(const jobs::JobEntry& job) const {
    auto it = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                           [&](auto& team) { return team.name == job.spec->team; });
    return it == settings_.teams.end() ? nullptr : &*it;
}

bool PlanExecutor::may_start(const jobs::JobEntry& job, std::uint32_t task, const Machine& machine,
                             const scheduler::ZoneCounts& zones, MachineCapacities& capacities) const {
    auto& spec = *job.spec;
    bool waits = !job.cancelled && !job.is_blocked() && job.orphaned_instances == 0 && !job.is_done(task) &&
                 !job.active.contains(task);
    return waits && machine.usable(now()) && !machine.tasks.contains({spec.id, task}) &&
           capacities.fits(machine, spec.request) &&
           scheduler::type_allowed(spec, machine.type, machine.zone, machine.spot) &&
           scheduler::zone_allowed(spec, zones, state_.zone_of(machine));
}

void PlanExecutor::apply_stops(const Plan& plan) {
    for (auto& stop : plan.out.stops) {
        auto& instance = plan.in.instances[stop.instance];
        auto& spec = *plan.in.jobs[instance.job].spec;
        auto* machine = state_.cluster.find(plan.in.machines[instance.machine].id);
        if (!machine || !machine->tasks.contains({spec.id, instance.task})) continue;
        spdlog::debug("component=leader event=task_preempted task={}/{} for_job={}", spec.id, instance.task,
                      plan.in.jobs[stop.for_job].spec->id);
        state_.cluster.stop(*machine, {spec.id, instance.task}, scheduler::checkpoint_grace_s(spec));
    }
}

void PlanExecutor::apply_scale_in(const Plan& plan) {
    for (auto& [id, machine] : state_.cluster.machines())
        machine.draining = plan.fleet_out.drain.contains(id);
    for (auto& id : plan.fleet_out.scale_in) {
        auto* machine = state_.cluster.find(id);
        if (machine && machine->tasks.empty() &&
            (machine->reconciled || machine->lifecycle == Machine::Lifecycle::booting))
            callbacks_.mark_for_deletion(*machine, "is surplus");
    }
}

void PlanExecutor::log_plan(const Plan& plan) const {
    if (!spdlog::should_log(spdlog::level::debug)) return;
    std::array<std::size_t, 3> unplaced{};  // number of tasks, indexed by JobKind
    for (auto& [job, count] : plan.out.unplaced)
        unplaced[static_cast<std::size_t>(plan.in.jobs[job].spec->kind)] += count;
    std::size_t usable = 0, empty = 0;
    protocol::Resources free;
    for (auto& machine : plan.in.machines) {
        if (!machine.usable) continue;
        ++usable;
        free += machine.free;
        empty += machine.tasks == 0;
    }
    spdlog::debug(
        "component=leader event=plan starts={} stops={} unplaced_array={} unplaced_gang={} "
        "unplaced_service={} machines={} usable={} empty={} free_cpus={} free_gpus={}",
        plan.out.starts.size(), plan.out.stops.size(), unplaced[0], unplaced[1], unplaced[2],
        plan.in.machines.size(), usable, empty, free.cpus, free.gpus);
}

void PlanExecutor::count_draws(const scheduler::PlanCounts& counts) {
    auto& metrics = parts_.metrics;
    metrics.increment(metrics::Metric::scheduler_tasks_placed, static_cast<double>(counts.tasks));
    metrics.increment(metrics::Metric::scheduler_draws, static_cast<double>(counts.draws));
    metrics.increment(metrics::Metric::scheduler_redraws, static_cast<double>(counts.redraws));
    metrics.increment(metrics::Metric::scheduler_fallbacks, static_cast<double>(counts.fallbacks));
    metrics.increment(metrics::Metric::scheduler_tasks_packed, static_cast<double>(counts.packed));
    metrics.increment(metrics::Metric::scheduler_tasks_preempted, static_cast<double>(counts.preempted));
}

}  // namespace coralhitch::leader
