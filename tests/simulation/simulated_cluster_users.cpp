// The users, who submit, query and cancel jobs.
#include <algorithm>

#include "controller/controller.hpp"
#include "protocol/model.hpp"
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {
std::optional<protocol::JobState> parse_state(const std::string& word) {
    using protocol::JobState;
    static const std::map<std::string, JobState> states{{"pending", JobState::queued},
                                                        {"running", JobState::running},
                                                        {"done", JobState::done},
                                                        {"withdrawn", JobState::cancelled}};
    auto state = states.find(word);
    return state == states.end() ? std::nullopt : std::optional(state->second);
}
}  // namespace

std::vector<std::string> dependencies_of(const json& spec) {
    auto it = spec.find("awaits");
    return it == spec.end() || it->is_null() ? std::vector<std::string>{}
                                             : it->get<std::vector<std::string>>();
}
void SimulatedCluster::ask_controller(Node& node, const std::string& id, http::Request request,
                                      std::function<void(const http::Response&)> answered) {
    using Request = verification::Answer::Request;
    auto kind = request.method == "GET"         ? Request::query
                : request.target == "/api/jobs" ? Request::submission
                                                : Request::cancellation;
    // A frozen controller reads the request when it has processor time again.
    node.timers->after(0, [=, this, &node, sent = now(), request = std::move(request)] {
        digest.add(now(), "user", node.settings.listen, request.method + " " + request.target, request.body);
        node.controller->serve(request, [=, this, &node](http::Response response) {
            digest.add(now(), node.settings.listen, "user", std::to_string(response.status), response.body);
            at(now() + latency(), [=, this] {
                if (now() - sent > 5) return;  // the user has given up
                verification::Answer answer{id, kind, sent, now(), response.status, {}};
                if (answer.success()) answer.state = parse_state(json::parse(response.body)["status"]);
                record_answer(answer);
                answered(response);
            });
        });
    });
}
void SimulatedCluster::ask(const std::string& id, const std::string& method, const std::string& path,
                           const std::string& body, std::function<void(const http::Response&)> done,
                           int tries) {
    auto* node = pick_controller();
    auto answered = std::make_shared<bool>(false);
    auto again = [=, this] {
        if (tries > 0) at(now() + 1.5, [=, this] { ask(id, method, path, body, done, tries - 1); });
    };
    at(now() + 5, [answered, again] {
        if (!std::exchange(*answered, true)) again();
    });
    if (!node) return;
    if (method == "POST" && now() < duplicates_until_ && random_() % 4 == 0) {
        double late = std::uniform_real_distribution<double>(0.05, duplicates_max_delay_s_)(random_);
        at(now() + late, [=, this] {
            if (auto* other = pick_controller())
                other->timers->after(0, [=] {
                    other->controller->serve({method, path, body}, [](http::Response) {});
                });
        });
    }
    ask_controller(*node, id, {method, path, body}, [=](const http::Response& response) {
        if (std::exchange(*answered, true)) return;
        if (response.status == 503) return again();
        done(response);
    });
}
json SimulatedCluster::plain_job(const std::string& id, const std::string& kind, int tasks,
                                 double run_s) const {
    return {{"id", id},         {"cohort", "c"},     {"crew", "free"},    {"shape", kind},
            {"rank", "normal"}, {"shards", tasks},   {"vcpus", 1.0},      {"cards", 1.0},
            {"ram_gb", 2.0},    {"payload", "img"},  {"image_gb", 1.0},   {"together", false},
            {"scatter", false}, {"driftwood", true}, {"reckon_s", run_s}, {"anchor_s", 5.0},
            {"stow_s", 1.0}};
}
void SimulatedCluster::submit(const std::string& id, const std::string& kind, int tasks, double run_s,
                              json more) {
    auto spec = plain_job(id, kind, tasks, run_s);
    if (more.is_object()) spec.update(more);
    expect_job(id, spec);
    ask(
        id, "POST", "/api/jobs", spec.dump(),
        [this, id](const http::Response& response) {
            if (response.status != 200 && response.status != 201)
                add_violation("submission of " + id + " got " + std::to_string(response.status));
        },
        options_.submit_tries);
}
void SimulatedCluster::submit_awaiting(const std::string& id, const std::string& kind, int tasks,
                                       double run_s, std::vector<std::string> awaits, json more) {
    for (auto& awaited : awaits)
        if (!jobs[awaited].accepted)
            return at(now() + 0.4, [=, this] { submit_awaiting(id, kind, tasks, run_s, awaits, more); });
    if (!more.is_object()) more = json::object();
    more["awaits"] = awaits;
    submit(id, kind, tasks, run_s, more);
}
void SimulatedCluster::cancel(const std::string& id) {
    bool accepted = jobs[id].accepted;
    ask_cancellation(id);
    ask(
        id, "POST", "/api/jobs/" + id + "/cancel", "",
        [this, id, accepted](const http::Response& response) {
            if (response.status == 404 && !accepted) return cancel(id);  // overtook the submission
            if (response.status != 200)
                add_violation("cancellation of " + id + " got " + std::to_string(response.status));
        },
        options_.submit_tries);
}
void SimulatedCluster::query_all_jobs() {
    checker_.check_unanswered(now(), faults_over_at);
    for (auto& [id, job] : jobs) {
        if (!job.accepted) continue;
        ask(
            id, "GET", "/api/jobs/" + id, "", [](auto&) {}, 0);
    }
    ask(
        "j-999999", "GET", "/api/jobs/j-999999", "", [](auto&) {}, 0);
}

// --- Unusual requests -------------------------------------------------------------------------------------

void SimulatedCluster::query_all_controllers_repeatedly(const std::string& id, bool just_accepted) {
    if (now() >= frequent_queries_until_) return;
    for (std::size_t k = 0; k < nodes_.size(); ++k)
        for (double after : {0.0, 0.001, 0.004, 0.015, 0.06, 0.25})
            at(now() + after, [this, id, k] {
                if (nodes_[k].up) ask_controller(nodes_[k], id, {"GET", "/api/jobs/" + id, ""}, [](auto&) {});
            });
    auto k = random_() % nodes_.size();
    at(now() + 0.002, [this, id, k] {
        if (nodes_[k].up)
            ask_controller(nodes_[k], id, {"POST", "/api/jobs", jobs[id].spec.dump()}, [](auto&) {});
    });
    if (just_accepted && random_() % 4 == 0) at(now() + 0.003, [this, id] { cancel(id); });
}
void SimulatedCluster::on_job_ended(const std::string& id) {
    if (now() < cancel_at_job_end_until_ && random_() % 2) cancel(id);
    query_all_controllers_repeatedly(id, false);
}
void SimulatedCluster::cancel_running_jobs(std::size_t count, double hang_s) {
    constexpr std::size_t most_hung = 8;
    std::size_t hung = 0;
    for (auto& [id, job] : jobs) {
        if (!job.accepted || job.done || job.cancel_asked) continue;
        auto machines = machines_with(id);
        if (machines.empty()) continue;
        at(now() + 25 * latency(), [this, id = id] { cancel(id); });
        for (auto machine : machines)
            if (hung++ < most_hung) hang_machine(machine, hang_s);
        if (--count == 0) return;
    }
}
std::vector<std::size_t> SimulatedCluster::machines_with(const std::string& job) const {
    std::vector<std::size_t> machines;
    for (std::size_t machine = 0; machine < workers.size(); ++machine) {
        auto& worker = *workers[machine];
        bool any = std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](auto& entry) {
            return entry.second.job == job && is_present(entry.second);
        });
        if (any && !worker.dead) machines.push_back(machine);
    }
    return machines;
}
void SimulatedCluster::send_unusual_requests(double for_s) {
    for (double time = 0; time < for_s; time += 0.7) at(now() + time, [this] { send_unusual_request(); });
}
void SimulatedCluster::send_unusual_request() {
    constexpr int tries = 3;
    auto first = random_() % std::max<std::size_t>(1, jobs.size());
    auto entry = std::next(jobs.begin(), static_cast<std::ptrdiff_t>(first));
    // Takes the first accepted job from the random position on, and continues at the beginning.
    for (std::size_t k = 0; k < jobs.size(); ++k, ++entry) {
        if (entry == jobs.end()) entry = jobs.begin();
        auto& [id, job] = *entry;
        if (!job.accepted) continue;
        auto path = job.done ? "/api/jobs/" + id + "/cancel" : std::string("/api/jobs");
        auto body = job.done ? std::string() : job.spec.dump();
        ask(
            id, "POST", path, body, [](auto&) {}, tries);
        break;
    }
    submit_invalid_job();
}
// Submits a job that fits no machine, needs more than its team's limit, belongs to no team, or lacks a field.
void SimulatedCluster::submit_invalid_job() {
    auto id = "j-" + std::to_string(700000 + next_invalid_job_++);
    auto spec = plain_job(id, "gang", 2, 5);
    int refused = 422;
    auto kind = random_() % 4;
    if (kind == 0) spec["cards"] = machine_gpus + 1;
    if (kind == 1) spec.update({{"crew", "tight"}, {"shards", static_cast<int>(options_.gpus_max) + 1}});
    if (kind == 2) spec["crew"] = "nobody";
    if (kind == 3) {
        constexpr const char* needed[] = {"crew",   "shape",    "rank",     "shards",  "vcpus",
                                          "cards",  "ram_gb",   "payload",  "scatter", "together",
                                          "cohort", "anchor_s", "reckon_s", "stow_s",  "driftwood"};
        spec.erase(needed[random_() % std::size(needed)]);
        refused = 400;
    }
    expect_refusal(id, spec, refused);
    ask(id, "POST", "/api/jobs", spec.dump(), [this, id, refused](const http::Response& response) {
        if (response.status != refused)
            add_violation("invalid job " + id + " got " + std::to_string(response.status));
    });
}
double SimulatedCluster::gpu_limit_of(const std::string& team) const {
    return team == "tight" ? options_.gpus_max : options_.free_gpus_max;
}
void SimulatedCluster::fill_team_limits() {
    for (auto* team : {"free", "tight"}) {
        if (gpu_limit_of(team) <= 0) continue;
        for (int part = 0; part < 3; ++part) {
            auto id = "j-" + std::to_string(500000 + next_extra_job_++);
            int tasks = std::max(1, static_cast<int>(gpu_limit_of(team)) / 3);
            submit(id, "batch", tasks, 8, {{"crew", team}});
            if (part == 0) at(now() + 5, [this, id] { cancel(id); });
        }
    }
}
void SimulatedCluster::submit_small_jobs(double for_s, double per_s) {
    for (double time = 0; time < for_s; time += 1 / per_s)
        at(now() + time, [this] {
            auto id = "j-" + std::to_string(500000 + next_extra_job_++);
            submit(id, "batch", 1, 2);
            double after = std::uniform_real_distribution<double>(0.05, 5)(random_);
            if (random_() % 4 == 0) at(now() + after, [this, id] { cancel(id); });
        });
}

}  // namespace coralhitch::simulation
