// The workers.
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
void SimulatedCluster::die(std::size_t k) {
    workers[k % workers.size()]->dead = true;
    workers[k % workers.size()]->tasks.clear();
}
void SimulatedCluster::hang(std::size_t k, double for_s) {
    auto* w = workers[k % workers.size()].get();
    w->hung = true;
    at(now_ + for_s, [this, w] {
        w->hung = false;
        check_lease(*w);
    });
}
// Under the same name and address; it remembers its agent epoch or begins anew.
void SimulatedCluster::reboot(std::size_t k, bool anew) {
    auto& w = *workers[k % workers.size()];
    if (w.dead || now_ < w.up_at) return;
    w.tasks.clear();
    w.agent_epoch = anew ? 1 : w.agent_epoch + 1;
    w.sequence = 0;
    if (anew) w.helm = 0;
    w.last_answered = now_;
    ++w.lives;
}
void SimulatedCluster::check_lease(Worker& w) {
    if (now_ - w.last_answered <= options_.lease_s || w.keeps_tasks) return;
    w.tasks.clear();
    ++w.agent_epoch;
    w.sequence = 0;
    w.last_answered = now_;
}
json SimulatedCluster::report(Worker& w) {
    json tasks = json::array();
    for (auto& [name, t] : w.tasks) {
        json e{{"shard", name}, {"launch", t.attempt}, {"status", t.status}};
        if (t.status == "exited") e["cause"] = t.cause, e["saved"] = t.saved;
        if (auto& job = jobs[t.job]; job.reported_at < 0 && job.completed_at >= 0 && is_done(t.job))
            job.reported_at = now_;
        tasks.push_back(std::move(e));
    }
    return {{"berth", w.id},         {"addr", w.addr},      {"hull", w.type},
            {"reef", w.zone},        {"driftwood", w.spot}, {"watch", w.agent_epoch},
            {"tally", ++w.sequence}, {"helm", w.helm},      {"shards", tasks}};
}
void SimulatedCluster::report_loop(Worker& w) {
    if (w.dead) return;
    auto again = [this, &w](double s) { at(now_ + s, [this, &w] { report_loop(w); }); };
    if (w.hung) return again(0.5);
    check_lease(w);
    if (now_ < w.mute_until) {
        w.node = (w.node + 1) % 3;
        return again(1);
    }
    auto sent = now_;
    auto agent_epoch = w.agent_epoch;
    auto done = std::make_shared<bool>(false);
    auto from = w.addr, to = addr_of(w.node);
    auto next = [this, &w, again] {
        w.node = (w.node + 1) % 3;
        again(1);
    };
    at(now_ + 4, [done, next] {
        if (!std::exchange(*done, true)) next();
    });
    http::Request r{"POST", "/hello", report(w).dump()};
    send(from, to, r, 100, [=, this, &w, life = w.lives](std::optional<http::Response> a) {
        if (!a || w.dead || w.lives != life || std::exchange(*done, true)) return;
        if (w.hung) return again(0.5);
        check_lease(w);
        if (a->status == 421) {
            auto j = json::parse(a->body);
            if (!j.contains("harbor")) return next();
            w.node = static_cast<std::size_t>(j["harbor"].get<std::string>().back() - '0');
            return again(0.1);
        }
        if (a->status != 200) return next();
        auto j = json::parse(a->body);
        auto helm = j["helm"].get<std::uint64_t>();
        if (agent_epoch == w.agent_epoch && helm >= w.helm) {
            bool higher = helm > w.helm;
            w.helm = helm;
            w.last_answered = std::max(w.last_answered, sent);
            command(w, j["orders"]);
            if (higher) return again(0.5);
        }
        again(options_.heartbeat_interval_s * std::uniform_real_distribution<double>(0.75, 1.25)(random_));
    });
}
http::Response SimulatedCluster::direct(Worker& w, const http::Request& r) {
    check_lease(w);
    if (r.target == "/inspect") return {200, report(w).dump()};
    auto j = json::parse(r.body);
    auto helm = j["helm"].get<std::uint64_t>();
    if (helm < w.helm || j["watch"].get<std::uint64_t>() != w.agent_epoch) return {409, report(w).dump()};
    w.helm = helm;
    command(w, j["orders"]);
    return {200, report(w).dump()};
}
void SimulatedCluster::command(Worker& w, const json& orders) {
    for (auto& o : orders) {
        auto verb = o["verb"].get<std::string>();
        auto task = o["shard"].get<std::string>();
        auto attempt = o["launch"].get<std::uint64_t>();
        auto it = w.tasks.find(task);
        bool same = it != w.tasks.end() && it->second.attempt == attempt;
        if (verb == "run" && !same) start(w, task, attempt);
        if (verb == "kill" && same && present(it->second)) {
            auto stow = jobs[it->second.job].spec.value("stow_s", 0.0);
            bool saves = it->second.status == "running" && o["slack_s"].get<double>() >= stow && stow > 0;
            if (saves) {
                it->second.status = "flushing";
                at(now_ + stow, [this, &w, task, attempt] { finish(w, task, attempt, "halted"); });
            } else if (it->second.status != "flushing" || o["slack_s"].get<double>() <= 0) {
                finish(w, task, attempt, "halted");
            }
        }
        if (verb == "clear" && same && !present(it->second)) w.tasks.erase(it);
    }
}
void SimulatedCluster::finish(Worker& w, const std::string& task, std::uint64_t attempt,
                              const std::string& cause) {
    auto it = w.tasks.find(task);
    if (w.dead || it == w.tasks.end() || it->second.attempt != attempt || !present(it->second)) return;
    if (w.hung) return at(now_ + 0.5, [this, &w, task, attempt, cause] { finish(w, task, attempt, cause); });
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
void SimulatedCluster::start(Worker& w, const std::string& task, std::uint64_t attempt) {
    ++starts;
    auto id = task.substr(0, task.find('/'));
    auto& job = jobs[id];
    done_again += job.tasks_done.contains(task);
    if (auto it = w.tasks.find(task); it != w.tasks.end() && present(it->second)) {
        // Refused by the worker; what is there stays. Reported under the new attempt once it has gone.
        return;
    }
    if (job.refused) return rule("accepted_impossible (start) " + task);
    job.waiting_since = -1;
    check_start(w, task);
    if (places(w, job.spec) == 0) {
        w.tasks[task] = {id, attempt, "exited", "no_room"};
        return;
    }
    w.tasks[task] = {id, attempt, "fetching", ""};
    at(now_ + 1, [this, &w, task, attempt, id] {
        auto it = w.tasks.find(task);
        if (w.dead || it == w.tasks.end() || it->second.attempt != attempt || it->second.status != "fetching")
            return;
        if (w.sick || jobs[id].spec.value("mistake", false)) return finish(w, task, attempt, "error");
        bool gang = jobs[id].spec["shape"] == "gang";
        it->second.status = gang ? "waiting" : "running";
        if (gang) {
            at(now_ + nodes_[0].settings.gang_wait_s, [this, &w, task, attempt] {
                auto it = w.tasks.find(task);
                if (it != w.tasks.end() && it->second.status == "waiting")
                    finish(w, task, attempt, "incomplete");
            });
            // The gang starts once its last task has its image.
            std::vector<std::pair<Worker*, std::string>> mates;
            for (auto& other : workers)
                for (auto& [name, t] : other->tasks)
                    if (t.job == id && t.attempt == attempt && t.status == "waiting")
                        mates.emplace_back(other.get(), name);
            if (static_cast<int>(mates.size()) < jobs[id].spec["shards"].get<int>()) return;
            for (auto& [m, name] : mates) {
                m->tasks[name].status = "running";
                at(now_ + jobs[id].spec["reckon_s"].get<double>(),
                   [this, m, name, attempt] { finish(*m, name, attempt, "done"); });
            }
            return;
        }
        if (jobs[id].spec["shape"] == "service") return;
        at(now_ + jobs[id].spec["reckon_s"].get<double>(),
           [this, &w, task, attempt] { finish(w, task, attempt, "done"); });
    });
}
void SimulatedCluster::rogue_run(const std::string& task, std::uint64_t attempt,
                                 std::optional<std::size_t> machine) {
    if (machine) return start(*workers.at(*machine), task, attempt);
    for (auto& w : workers)
        if (!w->dead && !w->tasks.contains(task)) return start(*w, task, attempt);
}

}  // namespace coralhitch::simulation
