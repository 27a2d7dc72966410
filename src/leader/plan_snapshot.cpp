#include "leader/plan_snapshot.hpp"

#include <algorithm>
#include <unordered_map>

#include "cluster/team_usage.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using protocol::JobKind;

namespace {
// Maximum number of tasks of one job in a plan. Gangs are offered as a whole, crash-looping jobs one task at
// a time.
constexpr std::size_t max_tasks_per_job_and_plan = 64;

// Maps the job's specification to the index of the job in the scheduler's input.
using JobIndex = std::unordered_map<const protocol::Job*, std::size_t>;

// Returns the indexes of the job's tasks that the plan may start.
std::vector<std::uint32_t> tasks_to_start(jobs::JobEntry& job) {
    if (job.is_crash_looping() && !job.active.empty()) return {};
    if (job.spec->kind == JobKind::gang) return job.pending_tasks(job.spec->tasks);
    return job.pending_tasks(job.is_crash_looping() ? 1 : max_tasks_per_job_and_plan);
}

scheduler::JobView view_of(jobs::JobEntry& job, std::size_t zones, double now) {
    scheduler::JobView view;
    view.spec = job.spec;
    view.priority = job.priority;
    view.ready_at = job.ready_at;
    view.due_at = job.due_at;
    view.startable = may_start_tasks(job, now);
    if (view.startable) view.waiting_tasks = tasks_to_start(job);
    view.unfinished_tasks = job.unfinished_count();
    view.zones = zone_counts(job, zones);
    view.active_tasks = static_cast<int>(job.active.size());
    view.failed_on = job.failed_on;
    view.image = job.image;
    return view;
}

scheduler::MachineView view_of(const Machine& machine, double now) {
    scheduler::MachineView view;
    view.id = machine.id;
    view.pool = machine.pool;
    view.usable = machine.usable(now) && !machine.has_instance_of_unknown_job();
    view.draining = machine.draining;
    view.free = machine.free();
    view.tasks = static_cast<int>(machine.tasks.size());
    view.images = machine.image_cache.images();
    return view;
}

// Adds the machine, and those of its instances whose jobs are part of the input.
void add_machine(scheduler::Input& in, const Machine& machine, const JobIndex& job_index) {
    auto view = view_of(machine, in.now);
    for (auto& [task, instance] : machine.tasks) {
        auto it = job_index.find(instance.spec.get());
        if (it == job_index.end()) continue;
        if (instance.spec->kind == JobKind::service) ++view.services;
        if (instance.state == protocol::TaskState::fetching && !instance.stop_requested) {
            auto image = in.jobs[it->second].image;
            if (!scheduler::has_image(view, image)) view.fetching_images.push_back(image);
        }
        in.instances.push_back(
            {it->second, in.machines.size(), task.index,
             instance.stop_requested || instance.state == protocol::TaskState::checkpointing,
             instance.placed_at, instance.running_since});
    }
    in.machines.push_back(std::move(view));
}
}  // namespace

bool may_start_tasks(const jobs::JobEntry& job, double now) {
    return !job.cancelled && !job.is_blocked() && !job.all_done() && now >= job.backoff_until &&
           job.orphaned_instances == 0;
}

bool has_startable_tasks(LeaderState& state, double now) {
    return std::any_of(state.jobs.entries().begin(), state.jobs.entries().end(), [&](auto& entry) {
        return may_start_tasks(entry.second, now) && entry.second.has_pending_tasks();
    });
}

scheduler::ZoneCounts zone_counts(const jobs::JobEntry& job, std::size_t zones) {
    scheduler::ZoneCounts counts(zones);
    for (auto& [task, active] : job.active) ++counts[active.zone_index];
    return counts;
}

scheduler::Input scheduler_input(LeaderState& state, const std::vector<config::Team>& teams,
                                 const SnapshotTime& time) {
    scheduler::Input in;
    in.now = time.now;
    in.unix_now = time.unix_now;
    in.pools = state.cluster.pools();
    in.zones = state.cluster.zone_count();
    in.machines.reserve(state.cluster.machines().size());
    in.jobs.reserve(state.jobs.entries().size());
    JobIndex job_index;
    for (auto& [id, job] : state.jobs.entries()) {
        // A job that waits for dependencies uses no quota, preempts no task, and causes no scale-out.
        if (job.is_blocked() && job.active.empty()) continue;
        job_index[job.spec.get()] = in.jobs.size();
        in.jobs.push_back(view_of(job, in.zones, in.now));
    }
    cluster::TeamUsage used;
    for (auto& [id, machine] : state.cluster.machines()) {
        used.add(machine);
        add_machine(in, machine, job_index);
    }
    in.team_used = used.of(teams);
    return in;
}

void add_machines_and_demand(autoscaler::Input& in, LeaderState& state, const scheduler::Input& planned,
                             const scheduler::Decisions& decisions, double now) {
    in.other_machines = state.cluster.machines().size();
    for (auto& view : planned.machines) {
        auto* machine = state.cluster.find(view.id);
        if (!machine || machine->lifecycle == Machine::Lifecycle::marked_for_deletion ||
            machine->preemption_deadline)
            continue;
        bool booting = machine->lifecycle == Machine::Lifecycle::booting;
        bool suspected = machine->is_suspect() && machine->usable_ignoring_suspicion(planned.now) &&
                         !machine->has_instance_of_unknown_job();
        if (!booting && !view.usable && !suspected) continue;
        // Free resources, tasks and services include the starts that this plan has decided on.
        autoscaler::MachineView out;
        out.id = view.id;
        out.pool = view.pool;
        out.booting = booting;
        out.suspected = suspected;
        out.free = view.free;
        out.empty = machine->tasks.empty() && view.tasks == 0;
        out.draining = view.draining;
        out.tasks = view.tasks;
        out.services = view.services;
        out.idle_s = now - (booting ? machine->created_at : machine->idle_since);
        in.machines.push_back(std::move(out));
        --in.other_machines;
    }
    for (auto& unplaced : decisions.unplaced) {
        auto& job = planned.jobs[unplaced.job];
        in.demand.push_back({job.spec.get(), unplaced.count, job.zones});
    }
}

}  // namespace coralhitch::leader
