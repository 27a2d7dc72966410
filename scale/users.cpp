#include "scale/users.hpp"

#include <algorithm>
#include <cstdio>

#include "protocol/user_api.hpp"
#include "scale/http_bytes.hpp"
#include "scale/outside.hpp"
#include "scale/role.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;
// The protocol's own figures.
constexpr double submit_timeout_s = 5, poll_timeout_s = 2, least_retry_s = 1, most_retry_s = 30,
                 retries_for_s = 60;
constexpr double control_timeout_s = 30, spread_services_s = 5;
constexpr std::size_t connections = 3000, kept_connections = 500;
constexpr const char* unknown_job = "j-999999999";

http::ClientLimits user_limits() {
    http::ClientLimits l;
    l.connections = connections;
    l.idle_per_addr = kept_connections;
    return l;
}
verification::Rules rules_of(const Experiment& e) {
    verification::Rules r;
    r.cancel_s = e.worker.cancel_s;
    double share = static_cast<double>(e.workers) * e.slots() / e.load.teams;
    for (std::uint32_t t = 0; t < e.load.teams; ++t) r.teams["team-" + std::to_string(t)] = {share * 4, 0};
    if (e.load.tight_cpus > 0) r.teams["team-tight"] = {e.load.tight_cpus, 0};
    return r;
}
}  // namespace

// --- Gangs ----------------------------------------------------------------------------------------------

void Gangs::tell(const json& body) {
    for (std::uint32_t k = 0; k < experiment_.worker_processes; ++k)
        http_.send(experiment_.workers_control(k), {"POST", "/gang", body.dump()}, control_timeout_s,
                   [](std::optional<http::Response>) {});
}
void Gangs::lost(const Key& key) {
    auto& a = attempts_[key];
    if (!a.running || std::exchange(a.over, true)) return;
    loop_.after(experiment_.worker.gang_peer_s, [this, key] {
        tell({{"job", key.first}, {"attempt", key.second}});
    });
}
void Gangs::observe(const Observed& o, const TaskSpec* spec, const std::function<void()>& begun) {
    if (o.what == Happened::gone) {
        for (auto& [key, index] : on_machine_[o.machine]) {
            attempts_[key].waiting.erase(index);
            lost(key);
        }
        on_machine_.erase(o.machine);
        return;
    }
    if (!spec || spec->kind != protocol::JobKind::gang) return;
    Key key{o.task.job, o.attempt};
    auto& a = attempts_[key];
    if (o.what == Happened::ready) {
        a.waiting.insert(o.task.index);
        on_machine_[o.machine].insert({key, o.task.index});
        if (a.running || a.waiting.size() < spec->tasks) return;
        a.running = true;
        tell({{"job", key.first}, {"attempt", key.second}, {"run_s", spec->run_s}});
        begun();
    }
    if (o.what == Happened::ended) {
        a.waiting.erase(o.task.index);
        on_machine_[o.machine].erase({key, o.task.index});
        if (o.cause != protocol::ExitCause::done) lost(key);
    }
}

// --- Load -----------------------------------------------------------------------------------------------

UserApi::UserApi(event_loop::EventLoop& loop, const Experiment& e)
    : loop_(loop),
      experiment_(e),
      random_(e.seed * 13 + 5),
      http_(loop, user_limits()),
      control_(loop, control_limits()),
      balancer_(loop, http_, e),
      gangs_(loop, control_, e),
      checker_(rules_of(e)),
      phase_("fill") {}

void UserApi::begin() {
    starts_per_s_ = experiment_.phases.front().starts_per_worker_s * experiment_.workers;
    submit_services(experiment_.base_tasks());
    wait_for_arrival();
    poll_unknown();
}
void UserApi::phase(const std::string& name) {
    phase_ = name;
    for (auto& p : experiment_.phases)
        if (p.name == name) starts_per_s_ = p.starts_per_worker_s * experiment_.workers;
    // The wait that was drawn at the rate before may be longer than this phase.
    loop_.cancel(arrival_);
    wait_for_arrival();
}
protocol::Job UserApi::new_job(protocol::JobKind kind, std::uint32_t tasks) {
    auto& l = experiment_.load;
    protocol::Job j;
    char id[24];
    std::snprintf(id, sizeof id, "j-%09llu", static_cast<unsigned long long>(next_job_++));
    j.id = id;
    j.team = "team-" + std::to_string(random_() % l.teams);
    j.kind = kind;
    j.tasks = tasks;
    j.request = {1, 0, 1};
    j.image = "img-" + std::to_string(random_() % l.images);
    j.image_gb = l.image_gb;
    j.spot = true;
    j.job_class = kind == protocol::JobKind::service ? "service"
                  : kind == protocol::JobKind::gang  ? "gang"
                                                     : "array";
    return j;
}
// Spread over some seconds, and over no more of the key-value store's changes than half.
void UserApi::submit_services(double left) {
    if (left < 1) return;
    auto tasks = std::min<std::uint32_t>(experiment_.load.service_tasks, static_cast<std::uint32_t>(left));
    Job j;
    j.job = new_job(protocol::JobKind::service, tasks);
    j.job.priority = protocol::Priority::high;
    j.job_class = j.job.job_class;
    submit(std::move(j));
    double jobs = experiment_.base_tasks() / experiment_.load.service_tasks;
    double pause = std::max(spread_services_s / std::max(1.0, jobs), 2 / experiment_.state.write_rps);
    loop_.after(pause, [this, left = left - tasks] { submit_services(left); });
}
void UserApi::wait_for_arrival() {
    auto& l = experiment_.load;
    double gangs = 0;
    for (auto n : l.gang_sizes) gangs += n;
    gangs /= static_cast<double>(l.gang_sizes.size());
    double mean = l.gang_share * gangs + (1 - l.gang_share) * l.array_tasks;
    double wait = std::exponential_distribution<double>(starts_per_s_ / mean)(random_);
    arrival_ = loop_.after(wait, [this] { arrive(); });
}
void UserApi::arrive() {
    wait_for_arrival();
    auto& l = experiment_.load;
    std::uniform_real_distribution<double> share(0, 1);
    bool gang = share(random_) < l.gang_share;
    Job j;
    j.job = new_job(gang ? protocol::JobKind::gang : protocol::JobKind::array,
                    gang ? l.gang_sizes[random_() % l.gang_sizes.size()] : l.array_tasks);
    j.job_class = j.job.job_class;
    if (share(random_) < l.urgent_share) {
        j.job.priority = protocol::Priority::production;
        j.job_class = j.job.job_class = "urgent";
    } else if (!gang && l.tight_cpus > 0 && random_() % (l.teams + 1) == 0) {
        j.job.team = "team-tight";
        j.job_class = j.job.job_class = "tight";
    }
    j.spec.run_s = experiment_.turnover_run_s();
    j.job.estimated_run_s = j.spec.run_s;
    j.cancel = share(random_) < l.cancel_share;
    submit(std::move(j));
}
void UserApi::submit(Job j) {
    j.spec.kind = j.job.kind;
    j.spec.tasks = j.job.tasks;
    j.spec.request = j.job.request;
    j.spec.image = j.job.image;
    j.spec.image_gb = j.job.image_gb;
    j.phase = phase_;
    j.first_tried = loop_.now();
    auto id = j.job.id;
    judge_later([this, job = j.job](double) { checker_.submitted(job); });
    ++counts_.submissions;
    jobs_[id] = std::move(j);
    try_submit(id);
}

// --- Requests -------------------------------------------------------------------------------------------

void UserApi::ask(http::Request r, double timeout_s,
                  std::function<void(std::optional<http::Response>)> done) {
    auto k = balancer_.pick();
    if (!k) {
        ++counts_.unanswered;
        loop_.after(0, [done] { done(std::nullopt); });
        return;
    }
    auto addr = experiment_.controller_addr(*k);
    counts_.bytes_out += request_bytes(addr, r);
    balancer_.opened(*k);
    http_.send(addr, std::move(r), timeout_s, [this, k = *k, done](std::optional<http::Response> response) {
        balancer_.closed(k);
        if (response)
            counts_.bytes_in += response_bytes(*response);
        else
            ++counts_.unanswered;
        done(std::move(response));
    });
}
void UserApi::try_submit(const std::string& id) {
    http::Request r{"POST", std::string(protocol::paths::jobs), protocol::submission(jobs_.at(id).job)};
    ask(std::move(r), submit_timeout_s, [this, id](std::optional<http::Response> response) {
        auto& j = jobs_.at(id);
        double now = loop_.now();
        if (response && (response->status == 200 || response->status == 201)) {
            j.accepted = true;
            ++counts_.accepted;
            latencies_.observe(j.phase, j.job_class, "accepted", now - j.first_tried);
            judge_later([this, id](double) { checker_.accepted(id); });
            loop_.after(experiment_.load.poll_s, [this, id] { poll(id); });
            if (j.cancel)
                loop_.after(std::uniform_real_distribution<double>(0, j.spec.run_s)(random_),
                            [this, id] { ask_cancel(id); });
            return;
        }
        if (response && (response->status == 400 || response->status == 422)) {
            ++counts_.refused;
            return;
        }
        double wait = least_retry_s;
        if (response) wait = std::clamp(response->retry_after_s, least_retry_s, most_retry_s);
        if (now + wait > j.first_tried + retries_for_s) {
            ++counts_.given_up;
            return;
        }
        ++counts_.retries;
        loop_.after(wait, [this, id] { try_submit(id); });
    });
}
void UserApi::poll(const std::string& id) {
    auto& j = jobs_.at(id);
    if (j.over) return;
    ++counts_.polls;
    ask({"GET", std::string(protocol::paths::jobs) + "/" + id, {}}, poll_timeout_s,
        [this, id](std::optional<http::Response> r) {
            if (r && r->status == 404) judge_later([this, id](double now) { checker_.denied(now, id); });
            if (r && r->status == 200) told(id, *r, jobs_.at(id).over);
            loop_.after(experiment_.load.poll_s, [this, id] { poll(id); });
        });
}
void UserApi::told(const std::string& id, const http::Response& r, bool was_over) {
    auto state = outside::parse_status(r.body).state;
    bool over = state == protocol::JobState::done || state == protocol::JobState::cancelled;
    if (over || was_over) judge_later([this, id, state](double now) { checker_.told(now, id, state); });
    auto& j = jobs_.at(id);
    if (!over || std::exchange(j.over, true)) return;
    if (state == protocol::JobState::cancelled) {
        ++counts_.cancelled;
        return;
    }
    ++counts_.done;
    double now = loop_.now();
    latencies_.observe(j.phase, j.job_class, "done", now - j.first_tried);
    if (j.all_done >= 0) latencies_.observe(j.phase, j.job_class, "told_done_after", now - j.all_done);
}
void UserApi::ask_cancel(const std::string& id) {
    auto& j = jobs_.at(id);
    if (j.over) return;
    double asked = loop_.now();
    if (!std::exchange(j.cancel_asked, true)) {
        ++counts_.cancels;
        judge_later([this, id](double) { checker_.cancel_asked(id); });
    }
    ask({"POST", std::string(protocol::paths::jobs) + "/" + id + std::string(protocol::paths::cancel), {}},
        submit_timeout_s, [this, id, asked](std::optional<http::Response> r) {
            if (r && r->status == 200) {
                auto& j = jobs_.at(id);
                latencies_.observe(j.phase, j.job_class, "cancel", loop_.now() - asked);
                return told(id, *r, j.over);
            }
            loop_.after(least_retry_s, [this, id] { ask_cancel(id); });
        });
}
void UserApi::poll_unknown() {
    ask({"GET", std::string(protocol::paths::jobs) + "/" + unknown_job, {}}, poll_timeout_s,
        [this](std::optional<http::Response> r) {
            if (r && r->status == 200)
                judge_later(
                    [this](double now) { checker_.told(now, unknown_job, protocol::JobState::queued); });
        });
    loop_.after(experiment_.load.poll_s, [this] { poll_unknown(); });
}

// --- What happened --------------------------------------------------------------------------------------

nlohmann::json UserApi::spec(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? json() : to_json(it->second.spec);
}
void UserApi::observed(const json& message) {
    auto process = message.at("process").get<std::uint32_t>();
    auto number = message.at("number").get<std::uint64_t>();
    if (number <= messages_[process]) return;  // sent again, since our answer was lost
    messages_[process] = number;
    for (auto& e : message.at("events")) {
        auto o = observed_from(e);
        auto it = jobs_.find(o.task.job);
        gangs_.observe(o, it == jobs_.end() ? nullptr : &it->second.spec, [&] {
            for (std::uint32_t k = 0; k < it->second.spec.tasks; ++k) {
                auto each = o;
                each.task.index = k;
                begun(each);
            }
        });
        if (o.what == Happened::ready) {
            ++tasks_ready_;
            if (it != jobs_.end() && it->second.spec.kind != protocol::JobKind::gang) begun(o);
        }
        to_judge_.emplace(o.t, [this, o] { apply(o); });
    }
    told_until_[process] = message.at("now").get<double>();
    judge();
}
// The first time a task runs: what its user waited for.
void UserApi::begun(const Observed& o) {
    auto& j = jobs_.at(o.task.job);
    if (!j.begun.insert(o.task.index).second) return;
    ++tasks_begun_;
    latencies_.observe(j.phase, j.job_class, "begun", o.t - j.first_tried);
}
void UserApi::apply(const Observed& o) {
    switch (o.what) {
        case Happened::machine: {
            double n = experiment_.slots();
            return checker_.machine(o.machine, {"hollow", o.zone, o.spot, {n, 0, n}});
        }
        case Happened::started:
            return checker_.started(o.t, o.machine, o.task);
        case Happened::ready:
            return;
        case Happened::gone:
            return checker_.machine_gone(o.machine);
        case Happened::ended:
            checker_.ended(o.t, o.machine, o.task, o.cause);
            if (o.cause != protocol::ExitCause::done) return;
            ++tasks_done_;
            if (auto it = jobs_.find(o.task.job);
                it != jobs_.end() && it->second.all_done < 0 && checker_.is_done(o.task.job))
                it->second.all_done = o.t;
    }
}
void UserApi::judge_later(std::function<void(double now)> check) {
    double now = loop_.now();
    to_judge_.emplace(now, [check = std::move(check), now] { check(now); });
}
void UserApi::judge() {
    if (told_until_.size() < experiment_.worker_processes) return;
    double until = 1e18;
    for (auto& [process, t] : told_until_) until = std::min(until, t);
    while (!to_judge_.empty() && to_judge_.begin()->first <= until) {
        auto check = std::move(to_judge_.begin()->second);
        to_judge_.erase(to_judge_.begin());
        check();
    }
    if (until > last_look_ + 0.5) {
        checker_.look(until);
        last_look_ = until;
    }
}
json UserApi::stats() {
    std::size_t open = 0;
    for (auto& [id, j] : jobs_) open += j.accepted && !j.over;
    auto& c = counts_;
    return {{"present", checker_.present()},
            {"started", checker_.started_tasks()},
            {"tasks_ready", tasks_ready_},
            {"tasks_begun", tasks_begun_},
            {"tasks_done", tasks_done_},
            {"jobs_open", open},
            {"broken", checker_.broken()},
            {"to_judge", to_judge_.size()},
            {"submissions", c.submissions},
            {"accepted", c.accepted},
            {"retries", c.retries},
            {"polls", c.polls},
            {"unanswered", c.unanswered},
            {"cancels", c.cancels},
            {"done", c.done},
            {"cancelled", c.cancelled},
            {"refused", c.refused},
            {"given_up", c.given_up},
            {"bytes_out", c.bytes_out},
            {"bytes_in", c.bytes_in},
            {"latencies", latencies_.summary()}};
}

int run_users(const Experiment& e) {
    event_loop::EventLoop loop;
    Lateness lateness(loop);
    UserApi users(loop, e);
    auto control = control_server(loop, e.users_control(), [&](const http::Request& r, http::Reply reply) {
        if (r.target == "/observed") {
            users.observed(json::parse(r.body));
            return reply({200, "{}"});
        }
        if (r.target.starts_with("/spec/")) {
            auto spec = users.spec(r.target.substr(6));
            return reply({spec.is_null() ? 404 : 200, spec.dump()});
        }
        if (r.target == "/begin") users.begin();
        if (r.target == "/phase") users.phase(json::parse(r.body).at("name").get<std::string>());
        auto out = users.stats();
        out["lateness_s"] = lateness.most_s();
        out["late"] = lateness.over_100_ms();
        reply({200, out.dump()});
    });
    loop.run();
    return 0;
}

}  // namespace coralhitch::scale
