// The workers.
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
void SimulatedCluster::crash_machine(std::size_t k) {
    workers[k % workers.size()]->dead = true;
    workers[k % workers.size()]->tasks.clear();
}
void SimulatedCluster::hang_machine(std::size_t k, double for_s) {
    auto* worker = workers[k % workers.size()].get();
    worker->hung = true;
    at(now_ + for_s, [this, worker] {
        worker->hung = false;
        check_lease(*worker);
    });
}
// Under the same name and address; it remembers its agent epoch or begins anew.
void SimulatedCluster::reboot_machine(std::size_t k, bool anew) {
    auto& worker = *workers[k % workers.size()];
    if (worker.dead || now_ < worker.up_at) return;
    worker.tasks.clear();
    worker.agent_epoch = anew ? 1 : worker.agent_epoch + 1;
    worker.sequence = 0;
    if (anew) worker.token = 0;
    worker.last_answered = now_;
    ++worker.incarnation;
}
void SimulatedCluster::check_lease(Worker& worker) {
    if (now_ - worker.last_answered <= options_.lease_s || worker.ignores_lease) return;
    worker.tasks.clear();
    ++worker.agent_epoch;
    worker.sequence = 0;
    worker.last_answered = now_;
}
json SimulatedCluster::report(Worker& worker) {
    json tasks = json::array();
    for (auto& [name, task] : worker.tasks) {
        json entry{{"shard", name}, {"launch", task.attempt}, {"status", task.status}};
        if (task.status == "exited") entry["cause"] = task.cause, entry["saved"] = task.saved;
        if (auto& job = jobs[task.job]; job.reported_at < 0 && job.completed_at >= 0 && is_done(task.job))
            job.reported_at = now_;
        tasks.push_back(std::move(entry));
    }
    return {{"berth", worker.id},         {"addr", worker.addr},      {"hull", worker.type},
            {"reef", worker.zone},        {"driftwood", worker.spot}, {"watch", worker.agent_epoch},
            {"tally", ++worker.sequence}, {"helm", worker.token},     {"shards", tasks}};
}
void SimulatedCluster::send_heartbeats(Worker& worker) {
    if (worker.dead) return;
    auto again = [this, &worker](double delay_s) {
        at(now_ + delay_s, [this, &worker] { send_heartbeats(worker); });
    };
    if (worker.hung) return again(0.5);
    check_lease(worker);
    if (now_ < worker.inbound_unreachable_until) {
        worker.node = (worker.node + 1) % 3;
        return again(1);
    }
    auto sent = now_;
    auto agent_epoch = worker.agent_epoch;
    auto done = std::make_shared<bool>(false);
    auto from = worker.addr, to = addr_of(worker.node);
    auto next = [this, &worker, again] {
        worker.node = (worker.node + 1) % 3;
        again(1);
    };
    at(now_ + 4, [done, next] {
        if (!std::exchange(*done, true)) next();
    });
    http::Request request{"POST", "/hello", report(worker).dump()};
    send(from, to, request, 100,
         [=, this, &worker, incarnation = worker.incarnation](std::optional<http::Response> response) {
             if (!response || worker.dead || worker.incarnation != incarnation || std::exchange(*done, true))
                 return;
             if (worker.hung) return again(0.5);
             check_lease(worker);
             if (response->status == 421) {
                 auto body = json::parse(response->body);
                 if (!body.contains("harbor")) return next();
                 worker.node = static_cast<std::size_t>(body["harbor"].get<std::string>().back() - '0');
                 return again(0.1);
             }
             if (response->status != 200) return next();
             auto body = json::parse(response->body);
             auto token = body["helm"].get<std::uint64_t>();
             if (agent_epoch == worker.agent_epoch && token >= worker.token) {
                 bool higher = token > worker.token;
                 worker.token = token;
                 worker.last_answered = std::max(worker.last_answered, sent);
                 command(worker, body["orders"]);
                 if (higher) return again(0.5);
             }
             again(options_.report_s * std::uniform_real_distribution<double>(0.75, 1.25)(random_));
         });
}
http::Response SimulatedCluster::serve_command(Worker& worker, const http::Request& request) {
    check_lease(worker);
    if (request.target == "/inspect") return {200, report(worker).dump()};
    auto body = json::parse(request.body);
    auto token = body["helm"].get<std::uint64_t>();
    if (token < worker.token || body["watch"].get<std::uint64_t>() != worker.agent_epoch)
        return {409, report(worker).dump()};
    worker.token = token;
    command(worker, body["orders"]);
    return {200, report(worker).dump()};
}
void SimulatedCluster::command(Worker& worker, const json& orders) {
    for (auto& order : orders) {
        auto verb = order["verb"].get<std::string>();
        auto task = order["shard"].get<std::string>();
        auto attempt = order["launch"].get<std::uint64_t>();
        auto it = worker.tasks.find(task);
        bool same = it != worker.tasks.end() && it->second.attempt == attempt;
        if (verb == "run" && !same) start(worker, task, attempt);
        if (verb == "kill" && same && present(it->second)) {
            auto stow = jobs[it->second.job].spec.value("stow_s", 0.0);
            bool saves = it->second.status == "running" && order["slack_s"].get<double>() >= stow && stow > 0;
            if (saves) {
                it->second.status = "flushing";
                at(now_ + stow, [this, &worker, task, attempt] { finish(worker, task, attempt, "halted"); });
            } else if (it->second.status != "flushing" || order["slack_s"].get<double>() <= 0) {
                finish(worker, task, attempt, "halted");
            }
        }
        if (verb == "clear" && same && !present(it->second)) worker.tasks.erase(it);
    }
}
void SimulatedCluster::finish(Worker& worker, const std::string& task, std::uint64_t attempt,
                              const std::string& cause) {
    auto it = worker.tasks.find(task);
    if (worker.dead || it == worker.tasks.end() || it->second.attempt != attempt || !present(it->second))
        return;
    if (worker.hung)
        return at(now_ + 0.5,
                  [this, &worker, task, attempt, cause] { finish(worker, task, attempt, cause); });
    it->second.status = "exited";
    it->second.cause = cause;
    it->second.saved = cause == "halted";
    if (cause != "done") return;
    auto id = it->second.job;
    auto& job = jobs[id];
    if (!job.tasks_done.insert(task).second) return;
    job.completed_at = now_;
    if (is_done(id)) ended(id);
}
void SimulatedCluster::start(Worker& worker, const std::string& task, std::uint64_t attempt) {
    ++starts;
    auto id = task.substr(0, task.find('/'));
    auto& job = jobs[id];
    restarts_of_done_tasks += job.tasks_done.contains(task);
    if (auto it = worker.tasks.find(task); it != worker.tasks.end() && present(it->second)) {
        // Refused by the worker; what is there stays. Reported under the new attempt once it has gone.
        return;
    }
    if (job.refused) return add_violation("accepted_impossible (start) " + task);
    job.waiting_since = -1;
    check_start(worker, task);
    if (places(worker, job.spec) == 0) {
        worker.tasks[task] = {id, attempt, "exited", "no_room"};
        return;
    }
    worker.tasks[task] = {id, attempt, "fetching", ""};
    at(now_ + 1, [this, &worker, task, attempt, id] {
        auto it = worker.tasks.find(task);
        if (worker.dead || it == worker.tasks.end() || it->second.attempt != attempt ||
            it->second.status != "fetching")
            return;
        if (worker.fails_every_task || jobs[id].spec.value("mistake", false))
            return finish(worker, task, attempt, "error");
        bool gang = jobs[id].spec["shape"] == "gang";
        it->second.status = gang ? "waiting" : "running";
        if (gang) {
            at(now_ + nodes_[0].settings.gang_wait_s, [this, &worker, task, attempt] {
                auto it = worker.tasks.find(task);
                if (it != worker.tasks.end() && it->second.status == "waiting")
                    finish(worker, task, attempt, "incomplete");
            });
            // The gang starts once its last task has its image.
            std::vector<std::pair<Worker*, std::string>> mates;
            for (auto& other : workers)
                for (auto& [name, task] : other->tasks)
                    if (task.job == id && task.attempt == attempt && task.status == "waiting")
                        mates.emplace_back(other.get(), name);
            if (static_cast<int>(mates.size()) < jobs[id].spec["shards"].get<int>()) return;
            for (auto& [member, name] : mates) {
                member->tasks[name].status = "running";
                at(now_ + jobs[id].spec["reckon_s"].get<double>(),
                   [this, member, name, attempt] { finish(*member, name, attempt, "done"); });
            }
            return;
        }
        if (jobs[id].spec["shape"] == "service") return;
        at(now_ + jobs[id].spec["reckon_s"].get<double>(),
           [this, &worker, task, attempt] { finish(worker, task, attempt, "done"); });
    });
}
void SimulatedCluster::start_against_rules(const std::string& task, std::uint64_t attempt,
                                           std::optional<std::size_t> machine) {
    if (machine) return start(*workers.at(*machine), task, attempt);
    for (auto& worker : workers)
        if (!worker->dead && !worker->tasks.contains(task)) return start(*worker, task, attempt);
}

}  // namespace coralhitch::simulation
