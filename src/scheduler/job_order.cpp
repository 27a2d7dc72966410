#include "scheduler/job_order.hpp"

#include <algorithm>
#include <numeric>

#include "protocol/model.hpp"

namespace coralhitch::scheduler {
using protocol::JobKind;
using protocol::Priority;
using protocol::Resources;

namespace {
// Ratios to the report period.
constexpr double patience_reports = 20;  // so long a job lets others whose image is at hand go first
constexpr double pressed_reports = 4;

// Whether a team's guarantee, of which 0 means none, holds as much.
bool guarantee_holds(const config::Team& team, const Resources& needed) {
    constexpr double slack = 1e-6;
    if (team.cpus <= 0 && team.gpus <= 0) return false;
    bool cpus = team.cpus <= 0 || needed.cpus <= team.cpus + slack;
    bool gpus = team.gpus <= 0 || needed.gpus <= team.gpus + slack;
    return cpus && gpus;
}
}  // namespace

JobOrder::JobOrder(const Input& in, const config::Settings& settings) : in_(in), settings_(settings) {
    find_guaranteed();
}

// A job is within its team's guarantee if it fits into it together with the team's earlier unfinished jobs.
void JobOrder::find_guaranteed() {
    std::map<std::string, const config::Team*> teams;
    for (auto& team : settings_.teams) teams[team.name] = &team;
    std::vector<std::size_t> by_age(in_.jobs.size());
    std::iota(by_age.begin(), by_age.end(), std::size_t{0});
    std::sort(by_age.begin(), by_age.end(),
              [&](auto a, auto b) { return in_.jobs[a].submitted < in_.jobs[b].submitted; });
    guaranteed_.assign(in_.jobs.size(), false);
    std::map<std::string, Resources> needed;
    for (auto job : by_age) {
        auto& spec = *in_.jobs[job].spec;
        auto team = teams.find(spec.team);
        if (team == teams.end()) continue;
        auto& sum = needed[spec.team];
        sum += spec.request.times(static_cast<double>(in_.jobs[job].open));
        guaranteed_[job] = guarantee_holds(*team->second, sum);
    }
}

int JobOrder::rank(std::size_t job) const {
    constexpr int above_all_priorities = 4;
    auto priority = in_.jobs[job].priority;
    bool first = guaranteed_[job] || priority == Priority::production;
    return (first ? above_all_priorities : 0) + static_cast<int>(priority);
}

bool JobOrder::may_displace(std::size_t job, std::size_t victim) const {
    if (job == victim || rank(job) <= rank(victim)) return false;
    if (in_.jobs[job].priority > in_.jobs[victim].priority) return true;
    return guaranteed_[job] && !guaranteed_[victim] &&
           in_.jobs[job].spec->team != in_.jobs[victim].spec->team;
}

bool JobOrder::pressed(std::size_t job) const {
    auto& view = in_.jobs[job];
    return view.due - view.spec->estimated_run_s - in_.unix_now <
           settings_.heartbeat_interval_s * pressed_reports;
}

bool JobOrder::patient(std::size_t job) const {
    auto& view = in_.jobs[job];
    if (view.spec->kind == JobKind::service || pressed(job)) return false;
    return in_.unix_now - view.submitted < settings_.heartbeat_interval_s * patience_reports;
}

bool JobOrder::goes_before(std::size_t a, std::size_t b) const {
    if (rank(a) != rank(b)) return rank(a) > rank(b);
    if (pressed(a) != pressed(b)) return pressed(a);
    auto &first = in_.jobs[a], &second = in_.jobs[b];
    if (first.submitted != second.submitted) return first.submitted < second.submitted;
    return first.spec->id < second.spec->id;
}

std::vector<std::size_t> JobOrder::waiting_jobs() const {
    std::vector<std::size_t> order;
    for (std::size_t job = 0; job < in_.jobs.size(); ++job)
        if (in_.jobs[job].startable && !in_.jobs[job].waiting.empty()) order.push_back(job);
    std::sort(order.begin(), order.end(), [this](auto a, auto b) { return goes_before(a, b); });
    return order;
}

}  // namespace coralhitch::scheduler
