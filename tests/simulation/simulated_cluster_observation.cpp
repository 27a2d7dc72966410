// Passes the observations of users, jobs and machines to the rule checker.
#include <limits>

#include "protocol/model.hpp"
#include "simulation/simulated_cluster.hpp"
#include "support/prometheus_series.hpp"

namespace coralhitch::simulation {
namespace {

// Parses the specification of a job that can run. A job that must be refused may lack any field, and does not
// come here.
protocol::Job parse_spec(const json& spec) {
    auto text = [&spec](const char* field) { return spec.value(field, std::string()); };
    protocol::Job job;
    job.id = text("id");
    job.team = text("crew");
    auto shape = text("shape");
    job.kind = shape == "gang"      ? protocol::JobKind::gang
               : shape == "service" ? protocol::JobKind::service
                                    : protocol::JobKind::array;
    job.tasks = spec.value("shards", 1u);
    job.request = {spec.value("vcpus", 0.0), spec.value("cards", 0.0), spec.value("ram_gb", 0.0)};
    if (spec.contains("hulls")) job.types = spec["hulls"].get<std::vector<std::string>>();
    if (spec.contains("reef")) job.zone = spec["reef"].get<std::string>();
    job.one_zone = spec.value("together", false);
    job.spread = spec.value("scatter", false);
    job.spot = spec.value("driftwood", false);
    job.dependencies = dependencies_of(spec);
    return job;
}
}  // namespace

verification::Rules SimulatedCluster::rules_of(const Options& options) {
    verification::Rules rules;
    rules.cancel_s = options.cancel_s;
    rules.teams = {{"free", {0, options.free_gpus_max}}, {"tight", {0, options.gpus_max}}};
    rules.rounding = 1e-9;  // the simulated jobs request whole GPUs, so sums are exact
    rules.max_waiting_s = options.max_waiting_s;
    rules.max_unanswered_s = options.max_unanswered_s;
    return rules;
}

// --- Users ------------------------------------------------------------------------------------------------

void SimulatedCluster::expect_job(const std::string& id, const json& spec) {
    jobs[id].spec = spec;
    auto job = parse_spec(spec);
    job.id = id;
    checker_.submitted(job);
    if (spec.value("mistake", false)) checker_.fails_everywhere(id);
    if (jobs[id].cancel_asked) checker_.cancel_requested(id);  // cancelled before it was submitted
}
void SimulatedCluster::expect_refusal(const std::string& id, int status) {
    jobs[id].refused = status;
    checker_.must_be_refused(id);
}
void SimulatedCluster::expect_refusal(const std::string& id, const json& spec, int status) {
    jobs[id].spec = spec;
    protocol::Job job;
    job.id = id;
    checker_.submitted(job);
    expect_refusal(id, status);
}
void SimulatedCluster::ask_cancellation(const std::string& id) {
    auto& job = jobs[id];
    job.cancel_asked = true;
    if (!job.spec.is_null()) checker_.cancel_requested(id);
}
void SimulatedCluster::confirm_cancellation(const std::string& id) {
    jobs[id].cancelled = true;
    checker_.status_answered(now(), id, protocol::JobState::cancelled);
}
void SimulatedCluster::record_answer(const verification::Answer& answer) {
    if (answer.job.empty()) return;  // the answer to a scripted request, which the test judges
    ++answers;
    checker_.answered(answer);
    auto found = jobs.find(answer.job);
    if (found == jobs.end() || found->second.refused || !answer.success()) return;
    auto& job = found->second;
    bool changed = !std::exchange(job.accepted, true);
    if (answer.state == protocol::JobState::cancelled && !std::exchange(job.cancelled, true)) changed = true;
    if (answer.state == protocol::JobState::done && !std::exchange(job.done, true)) changed = true;
    if (!changed) return;
    bool just_accepted = answer.request == verification::Answer::Request::submission &&
                         answer.state == protocol::JobState::queued;
    query_all_controllers_repeatedly(answer.job, just_accepted);
}

// --- Machines ---------------------------------------------------------------------------------------------

void SimulatedCluster::observe_machine(const Worker& worker) {
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    checker_.machine_added(worker.id,
                           {worker.type, worker.zone, worker.spot, {unlimited, machine_gpus, unlimited}});
}
void SimulatedCluster::clear_tasks(Worker& worker) {
    worker.tasks.clear();
    checker_.machine_terminated(worker.id);
}
void SimulatedCluster::check_waiting() {
    if (now() < faults_over_at) return;
    std::set<std::string> usable;
    for (auto& worker : workers) {
        bool works = !worker->dead && !worker->hung && !worker->fails_every_task;
        if (works && now() >= worker->up_at && now() >= worker->inbound_unreachable_until)
            usable.insert(worker->id);
    }
    checker_.check_waiting(now(), usable);
}

// The leader must examine the dependencies between jobs in proportion to their number for each change,
// whatever the length, the width and the order of a pipeline. Simulated time does not pass while a controller
// computes, so nothing else shows that a turn of its event loop takes too long.
void SimulatedCluster::check_dependency_steps() {
    constexpr double max_steps_per_dependency_and_change = 4;
    auto leading = leader();
    if (!leading) return;
    double dependencies = 0, changes = 1;  // reading the stored jobs is one change
    for (auto& [id, job] : jobs) {
        if (job.refused) continue;  // its dependencies may be malformed
        auto count = dependencies_of(job.spec).size();
        dependencies += static_cast<double>(count);
        changes += (count > 0) + job.cancel_asked;
    }
    send_user_request(*leading, {"GET", "/metrics", {}}, [&](const http::Response& response) {
        auto steps = parse_series(response.body)["coralhitch_leader_dependency_steps_total"];
        double most = max_steps_per_dependency_and_change * dependencies * changes;
        if (!steps.empty() && std::stod(steps) > most)
            add_violation("the leader examined dependencies " + steps + " times, expected at most " +
                          std::to_string(most));
    });
}

}  // namespace coralhitch::simulation
