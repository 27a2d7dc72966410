// The users, and what they must not be told.
#include <algorithm>

#include "simulated_cluster.hpp"

namespace coralhitch::simulation {

std::vector<std::string> awaits_of(const json& spec) {
    auto it = spec.find("awaits");
    return it == spec.end() || it->is_null() ? std::vector<std::string>{}
                                             : it->get<std::vector<std::string>>();
}
void World::ask(const std::string& id, const std::string& method, const std::string& path,
                const std::string& body, std::function<void(const http::Response&)> done, int tries) {
    auto* node = pick_node();
    auto answered = std::make_shared<bool>(false);
    auto again = [=, this] {
        if (tries > 0) at(now_ + 1.5, [=, this] { ask(id, method, path, body, done, tries - 1); });
    };
    at(now_ + 5, [answered, again] {
        if (!std::exchange(*answered, true)) again();
    });
    if (!node) return;
    if (method == "POST" && now_ < copies_until_ && random_() % 4 == 0) {
        double late = std::uniform_real_distribution<double>(0.05, copies_late_)(random_);
        at(now_ + late, [=, this] {
            if (auto* other = pick_node())
                other->timers->after(0, [=] {
                    other->controller->serve({method, path, body}, [](http::Response) {});
                });
        });
    }
    // What comes while the controller stands still is read when it goes on.
    node->timers->after(0, [=, this] {
        node->controller->serve({method, path, body}, [=, this](http::Response r) {
            at(now_ + latency(), [=, this] {
                if (std::exchange(*answered, true)) return;
                if (r.status == 503) return again();
                done(r);
            });
        });
    });
}
void World::submit(const std::string& id, const std::string& kind, int tasks, double run_s, json more) {
    json j{{"id", id},         {"cohort", "c"},     {"crew", "free"},    {"shape", kind},
           {"rank", "normal"}, {"shards", tasks},   {"vcpus", 1.0},      {"cards", 1.0},
           {"ram_gb", 2.0},    {"payload", "img"},  {"image_gb", 1.0},   {"together", false},
           {"scatter", false}, {"driftwood", true}, {"reckon_s", run_s}, {"anchor_s", 5.0},
           {"stow_s", 1.0}};
    if (more.is_object()) j.update(more);
    jobs[id].spec = j;
    ask(
        id, "POST", "/api/jobs", j.dump(),
        [this, id](const http::Response& r) {
            if (r.status != 200 && r.status != 201)
                return rule("submission of " + id + " got " + std::to_string(r.status));
            jobs[id].accepted = true;
            jobs[id].answered_at = now_;
        },
        options_.submit_tries);
}
void World::submit_awaiting(const std::string& id, const std::string& kind, int tasks, double run_s,
                            std::vector<std::string> awaits, json more) {
    for (auto& a : awaits)
        if (!jobs[a].accepted)
            return at(now_ + 0.4, [=, this] { submit_awaiting(id, kind, tasks, run_s, awaits, more); });
    if (!more.is_object()) more = json::object();
    more["awaits"] = awaits;
    submit(id, kind, tasks, run_s, more);
}
bool World::is_done(const std::string& id) const {
    auto& job = jobs.at(id);
    bool gang = job.spec["shape"] == "gang";  // its tasks complete together
    return gang ? !job.tasks_done.empty() : job.tasks_done.size() >= job.spec["shards"].get<std::size_t>();
}
bool World::cancel_wanted(const std::string& id) const {
    auto& job = jobs.at(id);
    if (job.cancel_asked) return true;
    auto awaits = awaits_of(job.spec);
    return std::any_of(awaits.begin(), awaits.end(), [&](auto& a) { return cancel_wanted(a); });
}
double World::cancelled_before(const std::string& id) const {
    double first = 1e18;
    auto& job = jobs.at(id);
    for (auto& a : awaits_of(job.spec)) {
        auto& before = jobs.at(a);
        if (before.cancel_asked && before.cancelled) first = std::min(first, before.cancelled_at);
        first = std::min(first, cancelled_before(a));
    }
    return first;
}
// An answer that came so long after a job before this one was told to be cancelled must say cancelled too.
void World::check_orphaned(const std::string& id, const std::string& status) {
    if (status != "pending" && status != "running") return;
    if (now_ > cancelled_before(id) + options_.cancel_s) rule("orphaned " + id);
}
void World::cancel(const std::string& id) {
    bool accepted = jobs[id].accepted;
    jobs[id].cancel_asked = true;
    ask(id, "POST", "/api/jobs/" + id + "/cancel", "", [this, id, accepted](const http::Response& r) {
        if (r.status == 404 && !accepted) return cancel(id);  // not there yet when it was asked
        if (r.status != 200) return rule("cancellation of " + id + " got " + std::to_string(r.status));
        told(id, json::parse(r.body)["status"]);
    });
}
void World::told(const std::string& id, const std::string& status) {
    auto& job = jobs[id];
    if (job.done && status != "done") rule("went_back " + id + " from done to " + status);
    if (job.cancelled && status != "withdrawn") rule("went_back " + id + " from withdrawn to " + status);
    if (status == "withdrawn" && !cancel_wanted(id)) rule("went_back " + id + ": nobody cancelled it");
    if (status == "withdrawn" && !job.cancelled) {
        job.cancelled = true;
        job.cancelled_at = now_;
    }
    if (status == "done") {
        job.done = true;
        if (!is_done(id)) rule("not_done " + id);
    }
}
void World::poll_all() {
    for (auto& [id, job] : jobs) {
        if (!job.accepted) continue;
        if (now_ - std::max(job.answered_at, troubles_over) > open_s &&
            !std::exchange(job.open_too_long, true))
            rule("forgotten " + id + ": no question was answered for " + std::to_string(open_s) + " s");
        // An answer may overtake another; it is held against what was told before the question was asked.
        bool over = job.done || job.cancelled;
        ask(
            id, "GET", "/api/jobs/" + id, "",
            [this, over, job_id = id](const http::Response& r) {
                if (r.status == 404) return rule("forgotten " + job_id);
                if (r.status != 200) return;
                jobs[job_id].answered_at = now_;
                auto status = json::parse(r.body)["status"].get<std::string>();
                check_orphaned(job_id, status);
                if (over || status == "done" || status == "withdrawn") told(job_id, status);
            },
            0);
    }
    ask(
        "j-999999", "GET", "/api/jobs/j-999999", "",
        [this](const http::Response& r) {
            if (r.status != 404) rule("invented: " + std::to_string(r.status));
        },
        0);
}
void World::check_cancelled() {
    for (auto& w : workers)
        for (auto& [name, t] : w->tasks) {
            if (w->dead || !present(t)) continue;
            auto& job = jobs[t.job];
            if (job.cancelled_at >= 0 && now_ > job.cancelled_at + options_.cancel_s)
                rule("ran_cancelled " + name);
        }
}

}  // namespace coralhitch::simulation
