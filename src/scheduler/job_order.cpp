#include "scheduler/job_order.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <string>

#include "protocol/model.hpp"

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Priority;
using protocol::Resources;

namespace {
// Time after it became ready for which a job waits for machines that have its image.
constexpr double image_wait_heartbeat_periods = 20;
// A job is near its deadline when less slack than this is left.
constexpr double near_deadline_heartbeat_periods = 4;

// Returns whether the resources are within the team's guaranteed quota. A resource with a quota of 0 is not
// limited, but a team without any quota has no guarantee.
bool guarantee_holds(const config::Team& team, const Resources& needed) {
    constexpr double slack = 1e-6;
    if (team.cpus <= 0 && team.gpus <= 0) return false;
    bool cpus = team.cpus <= 0 || needed.cpus <= team.cpus + slack;
    bool gpus = team.gpus <= 0 || needed.gpus <= team.gpus + slack;
    return cpus && gpus;
}
}  // namespace

JobOrder::JobOrder(const Input& input, const config::Settings& settings)
    : input_(input), settings_(settings) {
    compute_guaranteed();
}

// A job is within its team's guarantee if its unfinished tasks fit into it together with those of the team's
// jobs that became ready earlier.
void JobOrder::compute_guaranteed() {
    std::map<std::string, const config::Team*> teams;
    for (auto& team : settings_.teams) teams[team.name] = &team;
    std::vector<std::size_t> by_age(input_.jobs.size());
    std::iota(by_age.begin(), by_age.end(), std::size_t{0});
    std::sort(by_age.begin(), by_age.end(),
              [&](auto job, auto other) { return input_.jobs[job].ready_at < input_.jobs[other].ready_at; });
    guaranteed_.assign(input_.jobs.size(), false);
    std::map<std::string, Resources> needed;
    for (auto job : by_age) {
        auto& spec = *input_.jobs[job].spec;
        auto team = teams.find(spec.team);
        if (team == teams.end()) continue;
        auto& sum = needed[spec.team];
        sum += spec.request.times(static_cast<double>(input_.jobs[job].unfinished_tasks));
        guaranteed_[job] = guarantee_holds(*team->second, sum);
    }
}

int JobOrder::rank(std::size_t job) const {
    constexpr int above_all_priorities = 4;
    auto priority = input_.jobs[job].priority;
    bool first = guaranteed_[job] || priority == Priority::production;
    return (first ? above_all_priorities : 0) + static_cast<int>(priority);
}

bool JobOrder::may_preempt(std::size_t job, std::size_t victim) const {
    if (job == victim || rank(job) <= rank(victim)) return false;
    if (input_.jobs[job].priority > input_.jobs[victim].priority) return true;
    return guaranteed_[job] && !guaranteed_[victim] &&
           input_.jobs[job].spec->team != input_.jobs[victim].spec->team;
}

bool JobOrder::is_near_deadline(std::size_t job) const {
    auto& view = input_.jobs[job];
    return view.due_at - view.spec->estimated_run_s - input_.unix_now <
           settings_.heartbeat_interval_s * near_deadline_heartbeat_periods;
}

bool JobOrder::may_wait_for_image(std::size_t job) const {
    auto& view = input_.jobs[job];
    if (view.spec->kind == JobKind::service || is_near_deadline(job)) return false;
    return input_.unix_now - view.ready_at < settings_.heartbeat_interval_s * image_wait_heartbeat_periods;
}

bool JobOrder::precedes(std::size_t job, std::size_t other) const {
    if (rank(job) != rank(other)) return rank(job) > rank(other);
    if (is_near_deadline(job) != is_near_deadline(other)) return is_near_deadline(job);
    auto& view = input_.jobs[job];
    auto& other_view = input_.jobs[other];
    if (view.ready_at != other_view.ready_at) return view.ready_at < other_view.ready_at;
    return view.spec->id < other_view.spec->id;
}

std::vector<std::size_t> JobOrder::waiting_jobs() const {
    std::vector<std::size_t> order;
    for (std::size_t job = 0; job < input_.jobs.size(); ++job)
        if (input_.jobs[job].startable && !input_.jobs[job].waiting_tasks.empty()) order.push_back(job);
    std::sort(order.begin(), order.end(), [this](auto job, auto other) { return precedes(job, other); });
    return order;
}

}  // namespace coralhitch::scheduler
