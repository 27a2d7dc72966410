#include "scale/hollow_worker.hpp"

#include <algorithm>

#include "protocol/agent_api.hpp"
#include "scale/http_bytes.hpp"
#include "scale/outside.hpp"

namespace coralhitch::scale {
namespace {
// The protocol's own figures.
constexpr double least_between_reports_s = 0.5, next_controller_s = 1, elsewhere_most_s = 0.5,
                 report_spread = 0.25;
constexpr double least_wait_s = 0.0005;
constexpr std::size_t connections_in = 16;

http::ClientLimits one_connection() {
    http::ClientLimits l;
    l.connections = 1;  // to turn to another controller closes it
    l.idle_per_addr = 1;
    return l;
}
double uniform(std::mt19937_64& r, double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(r);
}
// Of two reports, whether they say the same.
bool repeats(const std::string& a, const std::string& b) {
    auto x = protocol::outline_heartbeat(a), y = protocol::outline_heartbeat(b);
    if (!x || !y) return false;
    auto rest = [](const std::string& s, const protocol::HeartbeatOutline& o) {
        return std::pair{std::string_view(s).substr(0, o.sequence_offset),
                         std::string_view(s).substr(o.sequence_offset + o.sequence_digits)};
    };
    return rest(a, *x) == rest(b, *y);
}
}  // namespace

HollowWorker::HollowWorker(WorkerSite& site, protocol::Host host)
    : site_(site), host_(std::move(host)), client_(site.loop(), one_connection()) {
    http::ServerLimits limits;
    limits.connections = connections_in;
    limits.idle_s = 600;
    server_ = std::make_unique<http::Server>(site_.loop(), host_.addr, limits,
                                             [this](http::Request r, http::Reply reply) {
                                                 if (!silent_) reply(serve(r));
                                             });
    controller_ = static_cast<std::uint32_t>(site_.random()() % site_.experiment().controllers);
    last_answered_ = site_.loop().now();
    regular_due_ = last_answered_;
    site_.observe({last_answered_,
                   Happened::machine,
                   host_.id,
                   {},
                   0,
                   protocol::ExitCause::none,
                   host_.zone,
                   host_.spot});
    arm_lease();
    schedule();
}

// --- Reports --------------------------------------------------------------------------------------------

void HollowWorker::schedule() {
    if (in_flight_ || silent_) return;
    double due = regular_due_;
    if (changed_) due = std::min(due, last_sent_ + least_between_reports_s);
    if (report_timer_ && due >= due_) return;
    site_.loop().cancel(report_timer_);
    due_ = due;
    report_timer_ = site_.loop().after(due - site_.loop().now(), guard_([this] {
                                           report_timer_ = 0;
                                           due_ = 1e18;
                                           double now = site_.loop().now();
                                           bool soon =
                                               changed_ && now >= last_sent_ + least_between_reports_s;
                                           if (now >= regular_due_ || soon) return send_report();
                                           schedule();
                                       }));
}
void HollowWorker::changed() {
    changed_ = true;
    schedule();
}
std::string HollowWorker::report() {
    protocol::Heartbeat r;
    r.machine = host_.id;
    r.addr = host_.addr;
    r.type = host_.type;
    r.zone = host_.zone;
    r.spot = host_.spot;
    r.agent_epoch = session_;
    r.sequence = ++sequence_;
    r.token = token_;
    for (auto& [key, task] : tasks_)
        r.tasks.push_back({key.first, key.second, task.state, task.cause, false});
    return outside::report_body(r);
}
void HollowWorker::send_report() {
    auto& e = site_.experiment();
    auto& c = site_.counts();
    double now = site_.loop().now();
    auto to = e.controller_addr(controller_);
    http::Request r{"POST", std::string(protocol::paths::heartbeat), report()};
    auto bytes = request_bytes(to, r);
    ++c.reports;
    c.report_bytes += bytes;
    ++c.by_controller[Experiment::label(controller_)];
    if (repeats(r.body, last_report_)) ++c.repeated, c.repeated_bytes += bytes;
    last_report_ = r.body;
    in_flight_ = true;
    changed_ = false;
    last_sent_ = now;
    regular_due_ =
        now + e.worker.heartbeat_interval_s * uniform(site_.random(), 1 - report_spread, 1 + report_spread);
    // Its own timer, since the lease may end while an answer is awaited.
    client_.send(to, std::move(r), protocol::heartbeat_timeout_s,
                 guard_([this, now, agent_epoch = session_](std::optional<http::Response> response) {
                     answered(agent_epoch, now, std::move(response));
                 }));
}
void HollowWorker::next_controller() {
    controller_ = (controller_ + 1) % site_.experiment().controllers;
    regular_due_ = site_.loop().now() + next_controller_s;
    changed_ = false;
}
void HollowWorker::answered(std::uint64_t agent_epoch, double sent, std::optional<http::Response> response) {
    if (silent_) return;
    in_flight_ = false;
    auto& c = site_.counts();
    check_lease();
    if (!response) {
        ++c.unanswered;
        next_controller();
        return schedule();
    }
    ++c.answers;
    c.answer_bytes += response_bytes(*response);
    if (response->status == 421) {
        ++c.redirected;
        auto named = outside::parse_elsewhere(response->body);
        for (std::uint32_t k = 0; named && k < site_.experiment().controllers; ++k)
            if (*named == Experiment::label(k) && k != controller_) {
                controller_ = k;
                regular_due_ = site_.loop().now() + uniform(site_.random(), 0, elsewhere_most_s);
                return schedule();
            }
        next_controller();
    } else if (response->status != 200) {
        ++c.turned_away;
        next_controller();
    } else {
        take_answer(agent_epoch, sent, response->body);
    }
    schedule();
}
void HollowWorker::take_answer(std::uint64_t agent_epoch, double sent, const std::string& body) {
    outside::Orders orders;
    try {
        orders = outside::parse_orders(body);
    } catch (const std::exception&) {
    }
    if (agent_epoch != session_ || !orders.token || *orders.token < token_) {
        ++site_.counts().dropped_answers;
        return;
    }
    last_answered_ = std::max(last_answered_, sent);
    see_token(*orders.token);
    execute(orders.commands);
}
void HollowWorker::see_token(std::uint64_t token) {
    if (token <= token_) return;
    token_ = token;
    double now = site_.loop().now();
    if (now < token_told_ + site_.experiment().worker.lease_s / 2) return;
    token_told_ = now;
    changed();
}
// Answers move the end of the lease; what fires early looks again.
void HollowWorker::arm_lease() {
    double left = last_answered_ + site_.experiment().worker.lease_s - site_.loop().now();
    lease_timer_ = site_.loop().after(std::max(0.0, left) + least_wait_s, guard_([this] {
                                          if (silent_) return;
                                          check_lease();
                                          arm_lease();
                                      }));
}
// Its last answered report was sent too long ago: all tasks ended then, and the next agent epoch begins. The
// time told is that of the lease's end, not when this process came to it: it may be behind, and its tasks are
// no real ones.
void HollowWorker::check_lease() {
    double now = site_.loop().now(), over = last_answered_ + site_.experiment().worker.lease_s;
    if (now <= over) return;
    last_answered_ = now;
    ++site_.counts().expired;
    std::vector<Key> keys;
    for (auto& [key, task] : tasks_) keys.push_back(key);
    for (auto& key : keys) end(key, protocol::ExitCause::stopped, over);
    tasks_.clear();
    ++session_;
    sequence_ = 0;
    changed();
}

// --- Commands -------------------------------------------------------------------------------------------

http::Response HollowWorker::serve(const http::Request& r) {
    check_lease();
    auto& c = site_.counts();
    ++c.direct;
    c.direct_bytes += request_bytes(host_.addr, r);
    http::Response response{404, "{}"};
    if (r.target == protocol::paths::inspect) response = {200, report()};
    if (r.target == protocol::paths::commands) response = direct(r);
    c.direct_answer_bytes += response_bytes(response);
    return response;
}
http::Response HollowWorker::direct(const http::Request& r) {
    outside::Orders orders;
    try {
        orders = outside::parse_orders(r.body);
    } catch (const std::exception&) {
        return {400, "{}"};
    }
    if (!orders.token || !orders.agent_epoch) return {400, "{}"};
    if (*orders.token < token_ || *orders.agent_epoch != session_) {
        ++site_.counts().refused_commands;
        return {409, report()};
    }
    see_token(*orders.token);
    execute(orders.commands);
    return {200, report()};
}
void HollowWorker::execute(const std::vector<protocol::Command>& commands) {
    site_.counts().commands += commands.size();
    for (auto& command : commands) {
        Key key{command.task, command.attempt};
        auto it = tasks_.find(key);
        switch (command.kind) {
            case protocol::CommandKind::start:
                if (it == tasks_.end()) start(key);
                break;
            case protocol::CommandKind::stop:  // no task here saves
                if (it != tasks_.end()) end(key, protocol::ExitCause::stopped);
                break;
            case protocol::CommandKind::forget:
                if (it == tasks_.end() || it->second.state != protocol::TaskState::exited) break;
                tasks_.erase(it);
                changed();
                break;
        }
    }
}
Observed HollowWorker::event(Happened what, const Key& key) const {
    return {site_.loop().now(), what, host_.id, key.first, key.second, protocol::ExitCause::none, "", false};
}
void HollowWorker::start(const Key& key) {
    auto same = tasks_.lower_bound({key.first, 0});
    for (; same != tasks_.end() && same->first.first == key.first; ++same)
        if (same->second.state != protocol::TaskState::exited) {
            tasks_[key] = {protocol::TaskState::exited, protocol::ExitCause::other_attempt_present, 0, {}};
            return changed();
        }
    tasks_[key] = {};
    ++present_;
    ++site_.counts().started;
    site_.observe(event(Happened::started, key));
    changed();
    site_.spec(key.first.job, guard_([this, key](const TaskSpec* spec) { fetch(key, spec); }));
}
double HollowWorker::image_ready_after(const TaskSpec& spec) {
    auto& w = site_.experiment().worker;
    double now = site_.loop().now();
    std::erase(image_order_, spec.image);
    image_order_.push_back(spec.image);
    if (auto it = images_.find(spec.image); it != images_.end()) return std::max(0.0, it->second.first - now);
    double rate = w.fetch_gb_per_s * uniform(site_.random(), 2.0 / 3, 4.0 / 3);
    images_[spec.image] = {now + spec.image_gb / rate, spec.image_gb};
    double held = 0;
    for (auto& [name, image] : images_) held += image.second;
    while (held > w.cache_gb && image_order_.size() > 1) {
        held -= images_[image_order_.front()].second;
        images_.erase(image_order_.front());
        image_order_.erase(image_order_.begin());
    }
    return spec.image_gb / rate;
}
void HollowWorker::fetch(const Key& key, const TaskSpec* spec) {
    auto it = tasks_.find(key);
    if (silent_ || it == tasks_.end() || it->second.state != protocol::TaskState::fetching) return;
    if (!spec || key.first.index >= spec->tasks) return end(key, protocol::ExitCause::unknown);
    protocol::Resources free{static_cast<double>(site_.experiment().slots()), 0,
                             static_cast<double>(site_.experiment().slots())};
    for (auto& [other, task] : tasks_)
        if (task.state != protocol::TaskState::exited) free -= task.request;
    if (!free.fits(spec->request)) return end(key, protocol::ExitCause::insufficient_resources);
    it->second.request = spec->request;
    it->second.timer =
        site_.loop().after(image_ready_after(*spec), guard_([this, key, spec = *spec] { ready(key, spec); }));
}
void HollowWorker::ready(const Key& key, const TaskSpec& spec) {
    auto it = tasks_.find(key);
    if (silent_ || it == tasks_.end() || it->second.state != protocol::TaskState::fetching) return;
    it->second.timer = 0;
    site_.observe(event(Happened::ready, key));
    it->second.state =
        spec.kind == protocol::JobKind::gang ? protocol::TaskState::waiting : protocol::TaskState::running;
    changed();
    if (spec.kind == protocol::JobKind::gang)
        end_later(key, site_.experiment().worker.gang_wait_s, protocol::ExitCause::gang_incomplete);
    if (spec.kind == protocol::JobKind::array)
        end_later(key, spec.run_s * uniform(site_.random(), 0.5, 1.5), protocol::ExitCause::done);
}
void HollowWorker::end_later(const Key& key, double seconds, protocol::ExitCause cause) {
    auto& task = tasks_.at(key);
    site_.loop().cancel(task.timer);
    task.timer = site_.loop().after(seconds, guard_([this, key, cause] { end(key, cause); }));
}
void HollowWorker::gang_begins(const std::string& job, std::uint64_t attempt, double run_s) {
    bool any = false;
    for (auto it = tasks_.lower_bound({protocol::TaskId{job, 0}, 0});
         it != tasks_.end() && it->first.first.job == job; ++it) {
        if (it->first.second != attempt || it->second.state != protocol::TaskState::waiting) continue;
        it->second.state = protocol::TaskState::running;
        end_later(it->first, run_s, protocol::ExitCause::done);
        any = true;
    }
    if (any) changed();
}
void HollowWorker::gang_lost(const std::string& job, std::uint64_t attempt) {
    std::vector<Key> lost;
    for (auto it = tasks_.lower_bound({protocol::TaskId{job, 0}, 0});
         it != tasks_.end() && it->first.first.job == job; ++it)
        if (it->first.second == attempt && it->second.state == protocol::TaskState::running)
            lost.push_back(it->first);
    for (auto& key : lost) end(key, protocol::ExitCause::gang_member_lost);
}
void HollowWorker::end(const Key& key, protocol::ExitCause cause, std::optional<double> when) {
    auto it = tasks_.find(key);
    if (silent_ || it == tasks_.end() || it->second.state == protocol::TaskState::exited) return;
    check_lease();  // what ends after the lease was killed with it
    it = tasks_.find(key);
    if (it == tasks_.end() || it->second.state == protocol::TaskState::exited) return;
    site_.loop().cancel(it->second.timer);
    it->second = {protocol::TaskState::exited, cause, 0, {}};
    --present_;
    ++site_.counts().ended;
    ++site_.counts().ends_by_cause[std::to_string(static_cast<int>(cause))];
    auto o = event(Happened::ended, key);
    o.cause = cause;
    if (when) o.t = *when;
    site_.observe(std::move(o));
    changed();
}
void HollowWorker::silence() {
    if (std::exchange(silent_, true)) return;
    for (auto& [key, task] : tasks_) site_.loop().cancel(task.timer);
    tasks_.clear();
    present_ = 0;
    site_.loop().cancel(report_timer_);
    site_.loop().cancel(lease_timer_);
    site_.observe(
        {site_.loop().now(), Happened::gone, host_.id, {}, 0, protocol::ExitCause::none, "", false});
}

}  // namespace coralhitch::scale
