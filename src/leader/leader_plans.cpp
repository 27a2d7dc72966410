// The leader's plans: what it sees, what it starts and stops, what it rents and returns.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>

#include "leader/leader.hpp"

namespace coralhitch::leader {
using cluster::Machine;
using protocol::JobKind;

namespace {
constexpr double plan_gap_reports = 1.0 / 12;
constexpr double plan_rest = 3;  // from one plan to the next, in times of what the last one took
constexpr double capacity_reports = 1.0 / 2;
constexpr double refused_reports = 3;
constexpr std::size_t tasks_per_plan = 64;
}  // namespace

void Leader::plan_soon() {
    if (plan_wanted_ || authority_.ended()) return;
    plan_wanted_ = true;
    // A plan that takes long leaves the processor to the loop for as long again and more: with thousands of
    // tasks waiting, plan upon plan kept reports waiting until machines that were well counted as silent.
    double rest = std::min(plan_took_ * plan_rest, dependencies_.settings.report_s);
    double gap = std::max(dependencies_.settings.report_s * plan_gap_reports, rest);
    double wait = std::max(0.0, last_plan_ + gap - now());
    dependencies_.timers.after(wait, guarded_([this] {
                                   plan_wanted_ = false;
                                   plan();
                               }));
}

// Whether the job may start tasks now, as far as it is up to the job.
bool Leader::may_wait(const jobs::JobEntry& e) const {
    return !e.cancelled && !e.awaiting() && !e.all_done() && now() >= e.not_before && e.orphans == 0;
}
bool Leader::anything_waits() {
    return std::any_of(state_.jobs.all().begin(), state_.jobs.all().end(),
                       [&](auto& j) { return may_wait(j.second) && j.second.any_waiting(); });
}

void Leader::plan() {
    // Unless the leader before told it, a new leader can't know what unreconciled machines hold, so neither a
    // task, a quota nor a zone is safe.
    if (planning_ || !loaded_ || !authority_.holds() || !reconciliation_.may_place()) return;
    auto plan = std::make_shared<Plan>();
    plan->with_capacity = reconciliation_.all_reconciled() &&
                          now() - last_capacity_ > dependencies_.settings.report_s * capacity_reports &&
                          !dependencies_.types.empty();
    // Most plans found nothing to place: each copied the whole fleet to see that.
    if (!plan->with_capacity && !anything_waits()) return;
    planning_ = true;
    last_plan_ = now();
    if (plan->with_capacity) {
        last_capacity_ = now();
        plan->fleet = rentals();
    }
    auto seed = random_();
    auto done = guarded_([this, plan] {
        planning_ = false;
        apply(*plan);
    });
    dependencies_.planner.submit([self = shared_from_this(), plan, seed, done]() -> event_loop::Task {
        std::mt19937_64 random(seed);
        {
            std::lock_guard lock(self->state_.mutex);
            plan->in = self->snapshot();
        }
        plan->out = scheduler::plan(plan->in, self->dependencies_.settings, random);
        if (plan->with_capacity) {
            {
                std::lock_guard lock(self->state_.mutex);
                self->fill_capacity(*plan);
            }
            plan->capacity = autoscaler::plan(plan->fleet, self->dependencies_.settings);
        }
        return done;
    });
}

std::size_t Leader::zone_of(const Machine& m) const {
    return state_.cluster.pools()[m.pool].zone_index;
}
scheduler::ZoneCounts Leader::zones_of(const jobs::JobEntry& e) const {
    scheduler::ZoneCounts zones(state_.cluster.zones());
    for (auto& [task, a] : e.active) ++zones[a.zone];
    return zones;
}
scheduler::Input Leader::snapshot() {
    scheduler::Input in;
    in.now = now();
    in.unix_now = dependencies_.timers.unix_time();
    in.pools = state_.cluster.pools();
    in.zones = state_.cluster.zones();
    in.machines.reserve(state_.cluster.machines().size());
    in.jobs.reserve(state_.jobs.all().size());
    std::unordered_map<const protocol::Job*, std::size_t> job_index;
    for (auto& [id, e] : state_.jobs.all()) {
        // Waits for other jobs: holds no part of a guarantee, displaces nobody, nothing is rented for it.
        if (e.awaiting() && e.active.empty()) continue;
        scheduler::JobView j;
        j.spec = e.spec;
        j.priority = e.priority;
        j.submitted = e.ready;
        j.due = e.due;
        j.startable = may_wait(e);
        std::size_t most = e.spec->kind == JobKind::gang ? e.spec->tasks
                           : e.on_probation()            ? 1
                                                         : tasks_per_plan;
        if (j.startable && !(e.on_probation() && !e.active.empty())) j.waiting = e.waiting(most);
        j.open = e.done.size() - e.done_count;
        j.zones = zones_of(e);
        j.active = static_cast<int>(e.active.size());
        j.failed_on = e.failed_on;
        j.image = e.image;
        job_index[e.spec.get()] = in.jobs.size();
        in.jobs.push_back(std::move(j));
    }
    cluster::Usage used;
    for (auto& [id, m] : state_.cluster.machines()) {
        used.add(m);
        scheduler::MachineView v;
        v.id = id;
        v.pool = m.pool;
        v.usable = m.usable(in.now) && !m.has_orphaned_instance();
        v.draining = m.draining;
        v.free = m.free();
        v.tasks = static_cast<int>(m.tasks.size());
        v.images = m.images;
        for (auto& [task, i] : m.tasks) {
            auto it = job_index.find(i.spec.get());
            if (it == job_index.end()) continue;
            if (i.spec->kind == JobKind::service) ++v.services;
            if (i.state == protocol::TaskState::fetching && !i.stop) {
                auto image = in.jobs[it->second].image;
                if (!scheduler::has_image(v, image)) v.coming.push_back(image);
            }
            in.instances.push_back({it->second, in.machines.size(), task.index,
                                    i.stop || i.state == protocol::TaskState::saving, i.placed,
                                    i.running_since});
        }
        in.machines.push_back(std::move(v));
    }
    in.team_used = used.of(dependencies_.settings.teams);
    return in;
}

// What was asked for and is not up yet counts as booting.
autoscaler::Input Leader::rentals() const {
    autoscaler::Input in;
    in.types = dependencies_.types;
    in.pools = state_.cluster.pools();
    in.zones = state_.cluster.zones();
    for (std::size_t z = 0; z < in.zones; ++z) in.dark.push_back(failure_detector_.dark(z, now()));
    for (auto& [name, r] : rentals_)
        for (int k = 0; k < r.count; ++k) {
            autoscaler::MachineView v;
            v.id = name;
            v.pool = r.pool;
            v.booting = true;
            in.machines.push_back(std::move(v));
        }
    for (auto& [pool, until] : refused_)
        if (until > now()) in.refused.insert(pool);
    return in;
}
void Leader::fill_capacity(Plan& p) {
    auto& in = p.fleet;
    in.others = state_.cluster.machines().size();
    for (auto& v : p.in.machines) {
        auto* m = state_.cluster.find(v.id);
        if (!m || m->life == Machine::Life::marked_for_deletion || m->preemption_notice_until >= 0) continue;
        bool booting = m->life == Machine::Life::booting;
        bool suspected = m->is_suspect() && m->fit(p.in.now) && !m->has_orphaned_instance();
        if (!booting && !v.usable && !suspected) continue;
        // With what the plan has just decided to start.
        autoscaler::MachineView c;
        c.id = v.id;
        c.pool = v.pool;
        c.booting = booting;
        c.suspected = suspected;
        c.free = v.free;
        c.empty = m->tasks.empty() && v.tasks == 0;
        c.draining = v.draining;
        c.tasks = v.tasks;
        c.services = v.services;
        c.idle_for = now() - (booting ? m->created : m->idle_since);
        in.machines.push_back(std::move(c));
        --in.others;
    }
    for (auto& u : p.out.unplaced) {
        auto& j = p.in.jobs[u.job];
        in.needs.push_back({j.spec.get(), u.count, j.zones});
    }
}

bool Leader::may_start(jobs::JobEntry& e, std::uint32_t task, Machine& m,
                       const scheduler::ZoneCounts& zones) {
    auto& spec = *e.spec;
    return !e.cancelled && !e.awaiting() && e.orphans == 0 && !e.is_done(task) && !e.active.contains(task) &&
           m.usable(now()) && !m.has_orphaned_instance() && !m.tasks.contains({spec.id, task}) &&
           m.free().fits(spec.request) && scheduler::type_allowed(spec, m.type, m.zone, m.spot) &&
           scheduler::zone_allowed(spec, zones, zone_of(m));
}

// Every start is checked again: since the snapshot, reports and cancellations have come in.
void Leader::apply_starts(Plan& p) {
    auto& starts = p.out.starts;
    if (starts.empty()) return;  // most plans, and the sum walks the whole fleet
    auto used = cluster::team_used(state_.cluster, dependencies_.settings.teams);
    for (std::size_t k = 0; k < starts.size();) {
        auto job = starts[k].job;
        auto& id = p.in.jobs[job].spec->id;
        bool gang = p.in.jobs[job].spec->kind == JobKind::gang;
        std::size_t end = k + 1;
        if (gang)
            while (end < starts.size() && starts[end].job == job) ++end;
        auto* e = state_.jobs.find(id);
        auto team = std::find_if(dependencies_.settings.teams.begin(), dependencies_.settings.teams.end(),
                                 [&](auto& t) { return e && t.name == e->spec->team; });
        std::vector<std::pair<Machine*, std::uint32_t>> placed;
        bool ok = e && team != dependencies_.settings.teams.end() && (!gang || e->active.empty());
        auto zones = ok ? zones_of(*e) : scheduler::ZoneCounts{};
        auto attempt = attempts_.next();
        if (!attempt) return;  // the next plan starts the rest
        for (std::size_t i = k; ok && i < end; ++i) {
            auto* m = state_.cluster.find(p.in.machines[starts[i].machine].id);
            auto task = starts[i].task;
            ok = m && may_start(*e, task, *m, zones) &&
                 scheduler::team_allows(*team, used[e->spec->team], e->spec->request);
            if (!ok) break;
            used[e->spec->team] += e->spec->request;
            state_.cluster.place(*m, {id, task}, e->spec, *attempt, now());
            e->active[task] = {m->id, *attempt, zone_of(*m)};
            ++zones[zone_of(*m)];
            placed.emplace_back(m, task);
        }
        if (ok) {
            for (auto& [m, task] : placed) {
                started_now_.emplace_back(m->id, protocol::TaskId{id, task});
                team_activity_.started(e->spec->team);
                spdlog::debug("task {}/{} attempt {} goes to {}", id, task, *attempt, m->id);
            }
        } else {
            // Nothing was sent yet: all tasks of a gang or none.
            for (auto& [m, task] : placed) {
                m->tasks.erase({id, task});
                e->active.erase(task);
                used[e->spec->team] -= e->spec->request;
            }
        }
        k = end;
    }
}

void Leader::apply(Plan& p) {
    plan_took_ = now() - last_plan_;
    if (!authority_.holds()) return;
    dependencies_.metrics.observe_planning_round(plan_took_);
    if (spdlog::should_log(spdlog::level::debug)) {
        std::array<std::size_t, 3> missing{};
        for (auto& u : p.out.unplaced)
            missing[static_cast<std::size_t>(p.in.jobs[u.job].spec->kind)] += u.count;
        std::size_t usable = 0, whole = 0;
        protocol::Resources free;
        for (auto& m : p.in.machines) {
            if (!m.usable) continue;
            ++usable;
            free += m.free;
            whole += m.tasks == 0;
        }
        spdlog::debug(
            "plan: {} starts, {} stops, no place for {} array, {} gang, {} service tasks; of {} machines {} "
            "usable, {} empty, {} CPUs and {} GPUs free",
            p.out.starts.size(), p.out.stops.size(), missing[0], missing[1], missing[2], p.in.machines.size(),
            usable, whole, free.cpus, free.gpus);
    }
    {
        std::lock_guard lock(state_.mutex);
        if (!reconciliation_.may_place()) return;
        apply_starts(p);
        bool stops = reconciliation_.all_reconciled();
        for (auto& s : p.out.stops) {
            if (!stops) break;
            auto& i = p.in.instances[s.instance];
            auto& spec = *p.in.jobs[i.job].spec;
            auto* m = state_.cluster.find(p.in.machines[i.machine].id);
            if (!m || !m->tasks.contains({spec.id, i.task})) continue;
            spdlog::debug("task {}/{} is stopped for {}", spec.id, i.task, p.in.jobs[s.for_job].spec->id);
            state_.cluster.stop(*m, {spec.id, i.task}, scheduler::grace_of(spec));
        }
        if (p.with_capacity)
            for (auto& [id, m] : state_.cluster.machines()) m.draining = p.capacity.drains.contains(id);
        for (auto& id : p.capacity.returns) {
            auto* m = state_.cluster.find(id);
            if (m && m->tasks.empty() && (m->reconciled || m->life == Machine::Life::booting))
                mark_for_deletion(*m, "is surplus");
        }
    }
    replicate_changes();
    // The changes that show the starts of this plan were queued just now.
    if (dependencies_.settings.op.standby)
        for (auto& [machine, task] : started_now_) held_.push_back({replication_.mark(), machine, task});
    started_now_.clear();
    replication_.hurry();
    release_starts();
    auto& n = p.out.counts;
    dependencies_.metrics.increment(metrics::Metric::scheduler_tasks_placed, static_cast<double>(n.tasks));
    dependencies_.metrics.increment(metrics::Metric::scheduler_draws, static_cast<double>(n.draws));
    dependencies_.metrics.increment(metrics::Metric::scheduler_redraws, static_cast<double>(n.redraws));
    dependencies_.metrics.increment(metrics::Metric::scheduler_fallbacks, static_cast<double>(n.fallbacks));
    dependencies_.metrics.increment(metrics::Metric::scheduler_tasks_packed, static_cast<double>(n.packed));
    dependencies_.metrics.increment(metrics::Metric::scheduler_tasks_preempted,
                                    static_cast<double>(n.preempted));
    // What an earlier leader rented last is in no report yet; the list may show it.
    if (p.with_capacity && listed_once_)
        for (auto& r : p.capacity.rents)
            for (int left = r.count; left > 0; left -= cloud::CloudClient::rent_most)
                rent({r.pool, std::min(left, cloud::CloudClient::rent_most)});
}

void Leader::rent(const autoscaler::ScaleOutRequest& r) {
    // Names are never used again, by any controller: the version belongs to this leadership alone.
    std::string name =
        "r-" + std::to_string(authority_.fencing_token()) + "-" + std::to_string(++rentals_made_);
    auto& pool = state_.cluster.pools()[r.pool];
    rentals_[name] = {r.pool, r.count, false};
    spdlog::info("renting {} {} {} in {} as {}", r.count, pool.spot ? "spot" : "ordinary", pool.type,
                 pool.zone, name);
    ask_rental(name);
}
// Asked again under the same name until it is answered, so that nothing is rented twice.
void Leader::ask_rental(const std::string& name) {
    auto& r = rentals_.at(name);
    if (r.asking || !authority_.holds()) return;
    r.asking = true;
    auto& pool = state_.cluster.pools()[r.pool];
    dependencies_.cloud.rent(name, pool.type, pool.zone, pool.spot, r.count,
                             guarded_([this, name](cloud::CreateMachinesResult out) {
                                 auto it = rentals_.find(name);
                                 if (it == rentals_.end()) return;
                                 auto& r = it->second;
                                 r.asking = false;
                                 if (out.status == cloud::CreateMachinesResult::Status::failed)
                                     return;  // the next tick asks again
                                 if (static_cast<int>(out.machines.size()) < r.count)
                                     refused_[r.pool] =
                                         now() + dependencies_.settings.report_s * refused_reports;
                                 {
                                     std::lock_guard lock(state_.mutex);
                                     auto pool = state_.cluster.pools()[r.pool];
                                     for (auto& id : out.machines)
                                         if (!state_.cluster.is_deleted(id))
                                             state_.cluster.add(id, "", pool.type, pool.zone, pool.spot,
                                                                Machine::Life::booting, now());
                                 }
                                 rentals_.erase(it);
                             }));
}

}  // namespace coralhitch::leader
