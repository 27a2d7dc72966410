// The workers: send heartbeats, carry out commands, and run tasks.
#include <algorithm>

#include "protocol/model.hpp"
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {

constexpr double hang_check_s = 0.5;  // period at which a hanging machine checks whether the hang has ended

protocol::TaskId parse_task_id(const std::string& task) {
    auto slash = task.find('/');
    return {task.substr(0, slash), static_cast<std::uint32_t>(std::stoul(task.substr(slash + 1)))};
}
protocol::ExitCause parse_cause(const std::string& cause) {
    if (cause == "done") return protocol::ExitCause::done;
    if (cause == "halted") return protocol::ExitCause::stopped;
    return cause == "incomplete" ? protocol::ExitCause::gang_incomplete : protocol::ExitCause::error;
}
}  // namespace

void SimulatedCluster::crash_machine(std::size_t machine) {
    auto& worker = *workers[machine % workers.size()];
    worker.dead = true;
    clear_tasks(worker);
}
void SimulatedCluster::hang_machine(std::size_t machine, double for_s) {
    auto* worker = workers[machine % workers.size()].get();
    worker->hung = true;
    at(now() + for_s, [this, worker] {
        worker->hung = false;
        check_lease(*worker);
    });
}
void SimulatedCluster::reboot_machine(std::size_t machine, bool anew) {
    auto& worker = *workers[machine % workers.size()];
    if (worker.dead || now() < worker.up_at) return;
    clear_tasks(worker);
    worker.agent_epoch = anew ? 1 : worker.agent_epoch + 1;
    worker.sequence = 0;
    if (anew) worker.token = 0;
    worker.last_answered = now();
    ++worker.incarnation;
}
void SimulatedCluster::check_lease(Worker& worker) {
    if (now() - worker.last_answered <= options_.lease_s || worker.ignores_lease) return;
    clear_tasks(worker);
    ++worker.agent_epoch;
    worker.sequence = 0;
    worker.last_answered = now();
}
json SimulatedCluster::heartbeat_body(Worker& worker) {
    json tasks = json::array();
    for (auto& [name, task] : worker.tasks) {
        json entry{{"shard", name}, {"launch", task.attempt}, {"status", task.status}};
        if (!is_present(task)) {
            entry["cause"] = task.cause;
            entry["saved"] = task.saved;
        }
        if (auto& job = jobs[task.job]; job.reported_at < 0 && job.completed_at >= 0 && is_done(task.job))
            job.reported_at = now();
        tasks.push_back(std::move(entry));
    }
    return {{"berth", worker.id},         {"addr", worker.addr},      {"hull", worker.type},
            {"reef", worker.zone},        {"driftwood", worker.spot}, {"watch", worker.agent_epoch},
            {"tally", ++worker.sequence}, {"helm", worker.token},     {"shards", tasks}};
}
// A heartbeat that was sent and has neither been answered nor timed out.
struct SimulatedCluster::HeartbeatAttempt {
    Worker& worker;
    double sent;
    std::uint64_t agent_epoch, incarnation;
    bool over = false;
};

void SimulatedCluster::send_heartbeats_after(Worker& worker, double delay_s) {
    at(now() + delay_s, [this, &worker] { send_heartbeats(worker); });
}
void SimulatedCluster::try_next_controller(Worker& worker) {
    worker.node = (worker.node + 1) % controller_count;
    send_heartbeats_after(worker, 1);
}
void SimulatedCluster::send_heartbeats(Worker& worker) {
    constexpr double give_up_s = 4, answer_timeout_s = 100;
    if (worker.dead) return;
    if (worker.hung) return send_heartbeats_after(worker, hang_check_s);
    check_lease(worker);
    if (now() < worker.inbound_unreachable_until) return try_next_controller(worker);
    auto attempt = std::make_shared<HeartbeatAttempt>(
        HeartbeatAttempt{worker, now(), worker.agent_epoch, worker.incarnation});
    at(now() + give_up_s, [this, attempt] {
        if (!std::exchange(attempt->over, true)) try_next_controller(attempt->worker);
    });
    http::Request request{"POST", "/hello", heartbeat_body(worker).dump()};
    send(worker.addr, addr_of(worker.node), request, answer_timeout_s,
         [this, attempt](std::optional<http::Response> response) {
             if (response) receive_heartbeat_answer(*attempt, *response);
         });
}
void SimulatedCluster::receive_heartbeat_answer(HeartbeatAttempt& attempt, const http::Response& response) {
    constexpr double redirected_s = 0.1, new_leader_s = 0.5;
    constexpr int other_controller = 421;
    auto& worker = attempt.worker;
    if (worker.dead || worker.incarnation != attempt.incarnation || std::exchange(attempt.over, true)) return;
    if (worker.hung) return send_heartbeats_after(worker, hang_check_s);
    check_lease(worker);
    if (response.status == other_controller) {
        auto body = json::parse(response.body);
        if (!body.contains("harbor")) return try_next_controller(worker);
        worker.node = static_cast<std::size_t>(body["harbor"].get<std::string>().back() - '0');
        return send_heartbeats_after(worker, redirected_s);
    }
    if (response.status != 200) return try_next_controller(worker);
    auto body = json::parse(response.body);
    auto token = body["helm"].get<std::uint64_t>();
    if (attempt.agent_epoch == worker.agent_epoch && token >= worker.token) {
        bool higher = token > worker.token;
        worker.token = token;
        worker.last_answered = std::max(worker.last_answered, attempt.sent);
        execute_commands(worker, body["orders"]);
        if (higher) return send_heartbeats_after(worker, new_leader_s);
    }
    double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    send_heartbeats_after(worker, options_.heartbeat_interval_s * jitter);
}
http::Response SimulatedCluster::serve_command(Worker& worker, const http::Request& request) {
    check_lease(worker);
    if (request.target == "/inspect") return {200, heartbeat_body(worker).dump()};
    auto body = json::parse(request.body);
    auto token = body["helm"].get<std::uint64_t>();
    if (token < worker.token || body["watch"].get<std::uint64_t>() != worker.agent_epoch)
        return {409, heartbeat_body(worker).dump()};
    worker.token = token;
    execute_commands(worker, body["orders"]);
    return {200, heartbeat_body(worker).dump()};
}
void SimulatedCluster::execute_commands(Worker& worker, const json& orders) {
    for (auto& order : orders) {
        auto verb = order["verb"].get<std::string>();
        auto task = order["shard"].get<std::string>();
        auto attempt = order["launch"].get<std::uint64_t>();
        auto it = worker.tasks.find(task);
        bool same = it != worker.tasks.end() && it->second.attempt == attempt;
        if (verb == "run" && !same) start(worker, task, attempt);
        if (verb == "kill" && same && is_present(it->second)) {
            auto stow = jobs[it->second.job].spec.value("stow_s", 0.0);
            bool saves = it->second.status == "running" && order["slack_s"].get<double>() >= stow && stow > 0;
            if (saves) {
                it->second.status = "flushing";
                at(now() + stow, [this, &worker, task, attempt] { finish(worker, task, attempt, "halted"); });
            } else if (it->second.status != "flushing" || order["slack_s"].get<double>() <= 0) {
                finish(worker, task, attempt, "halted");
            }
        }
        if (verb == "clear" && same && !is_present(it->second)) worker.tasks.erase(it);
    }
}
void SimulatedCluster::finish(Worker& worker, const std::string& task, std::uint64_t attempt,
                              const std::string& cause) {
    auto it = worker.tasks.find(task);
    if (worker.dead || it == worker.tasks.end() || it->second.attempt != attempt || !is_present(it->second))
        return;
    if (worker.hung)
        return at(now() + hang_check_s,
                  [this, &worker, task, attempt, cause] { finish(worker, task, attempt, cause); });
    it->second.status = "exited";
    it->second.cause = cause;
    it->second.saved = cause == "halted";
    checker_.task_ended(worker.id, parse_task_id(task), parse_cause(cause));
    if (cause != "done") return;
    auto id = it->second.job;
    auto& job = jobs[id];
    if (!job.tasks_done.insert(task).second) return;
    job.completed_at = now();
    if (is_done(id)) on_job_ended(id);
}
void SimulatedCluster::start(Worker& worker, const std::string& task, std::uint64_t attempt) {
    ++starts;
    auto id = task.substr(0, task.find('/'));
    auto& job = jobs[id];
    restarts_of_done_tasks += job.tasks_done.contains(task);
    if (auto it = worker.tasks.find(task); it != worker.tasks.end() && is_present(it->second)) {
        // The worker refuses the start, and keeps the instance that it has. Heartbeats can name the new
        // attempt only after this instance has gone.
        return;
    }
    bool has_room = !job.refused && tasks_that_fit(worker, job.spec) > 0;
    auto outcome = has_room ? verification::StartOutcome::placed : verification::StartOutcome::no_room;
    checker_.task_started(now(), worker.id, parse_task_id(task), outcome);
    // Only a test that breaks a rule on purpose starts a task on a dead machine, where no task remains.
    if (worker.dead) checker_.machine_terminated(worker.id);
    if (job.refused) return;
    if (!has_room) {
        worker.tasks[task] = {id, attempt, "exited", "no_room"};
        return;
    }
    constexpr double fetch_s = 1;
    worker.tasks[task] = {id, attempt, "fetching", ""};
    at(now() + fetch_s, [this, &worker, task, attempt] { on_image_fetched(worker, task, attempt); });
}
void SimulatedCluster::on_image_fetched(Worker& worker, const std::string& name, std::uint64_t attempt) {
    auto it = worker.tasks.find(name);
    if (worker.dead || it == worker.tasks.end() || it->second.attempt != attempt ||
        it->second.status != "fetching")
        return;
    auto& task = it->second;
    auto& spec = jobs[task.job].spec;
    if (worker.fails_every_task || spec.value("mistake", false))
        return finish(worker, name, attempt, "error");
    if (spec["shape"] == "gang") return wait_for_gang(worker, name);
    task.status = "running";
    if (spec["shape"] == "service") return;
    at(now() + run_time_s(spec), [this, &worker, name, attempt] { finish(worker, name, attempt, "done"); });
}
// Lets the task wait until the last task of its gang has its image; then all of them start. A task that has
// waited for `gang_wait_s` exits.
void SimulatedCluster::wait_for_gang(Worker& worker, const std::string& name) {
    auto& task = worker.tasks.at(name);
    task.status = "waiting";
    at(now() + nodes_[0].settings.gang_wait_s, [this, &worker, name, attempt = task.attempt] {
        auto it = worker.tasks.find(name);
        if (it != worker.tasks.end() && it->second.status == "waiting")
            finish(worker, name, attempt, "incomplete");
    });
    struct Member {
        Worker* worker;
        std::string task;
    };
    std::vector<Member> waiting;
    for (auto& other : workers)
        for (auto& [other_name, other_task] : other->tasks)
            if (other_task.job == task.job && other_task.attempt == task.attempt &&
                other_task.status == "waiting")
                waiting.push_back({other.get(), other_name});
    auto& spec = jobs[task.job].spec;
    if (static_cast<int>(waiting.size()) < spec["shards"].get<int>()) return;
    for (auto& member : waiting) {
        member.worker->tasks[member.task].status = "running";
        at(now() + run_time_s(spec),
           [this, member, attempt = task.attempt] { finish(*member.worker, member.task, attempt, "done"); });
    }
}
// Returns the number of further tasks of this job that fit on the machine.
std::size_t SimulatedCluster::tasks_that_fit(const Worker& worker, const json& spec) const {
    double cards = machine_gpus;
    for (auto& [name, task] : worker.tasks)
        if (is_present(task)) cards -= jobs.at(task.job).spec["cards"].get<double>();
    constexpr std::size_t most_tasks_of_job = 100'000;  // limit of the protocol
    double each = spec["cards"].get<double>();
    return each > 0 ? static_cast<std::size_t>((cards + 1e-9) / each) : most_tasks_of_job;
}
void SimulatedCluster::start_against_rules(const std::string& task, std::uint64_t attempt,
                                           std::optional<std::size_t> machine) {
    if (machine) return start(*workers.at(*machine), task, attempt);
    for (auto& worker : workers)
        if (!worker->dead && !worker->tasks.contains(task)) return start(*worker, task, attempt);
}

}  // namespace coralhitch::simulation
