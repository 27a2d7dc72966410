#include "api/live_jobs.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"

namespace coralhitch::api {
namespace keys = kv::keys;

namespace {
constexpr double gap_reports = 1.0 / 20;  // between two requests: questions come together meanwhile
constexpr double keep_up_leases = 0.5;    // changes in that time are far fewer than the service keeps
constexpr std::size_t ends_together = 2;  // from so many on, one request for all instead of one each
}  // namespace

LiveJobs::LiveJobs(event_loop::Timers& timers, kv::KvClient& state, const config::Settings& settings,
                   Ended ended)
    : timers_(timers), state_(state), settings_(settings), told_ended_(std::move(ended)) {}

const LiveJobs::Live* LiveJobs::last_known(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void LiveJobs::confirm(const std::string& id, Done done) {
    ++questions_;
    waiting_.push_back({id, std::move(done)});
    ask_soon();
}
void LiveJobs::keep_up() {
    if (last_ < 0 || timers_.now() - last_ < settings_.lease_s * keep_up_leases) return;
    if (!asking_) ask();
}

void LiveJobs::ask_soon() {
    if (asking_ || armed_ || waiting_.empty()) return;
    double wait = last_ < 0 ? 0 : last_ + settings_.report_s * gap_reports - timers_.now();
    if (wait <= 0) return ask();
    armed_ = true;
    timers_.after(wait, [this] {
        armed_ = false;
        if (!asking_) ask();
    });
}
void LiveJobs::ask() {
    asking_ = true;
    last_ = timers_.now();
    ++requests_;
    // Only questions that came before the request is sent: an answer must not be older than its question.
    auto batch = std::exchange(waiting_, {});
    if (revision_ == 0)
        read_all(std::move(batch));
    else
        read_changes(std::move(batch));
}

void LiveJobs::read_all(std::vector<Question> batch) {
    state_.list(keys::jobs, kv::RequestPriority::read,
                [this, batch = std::move(batch)](kv::ListResult l) mutable {
                    if (l.ok) {
                        jobs_.clear();
                        awaits_.clear();
                        for (auto& e : l.entries) take(e.key, e.version, &e.value);
                        revision_ = l.revision;
                    }
                    answer(std::move(batch), l.ok);
                });
}
void LiveJobs::read_changes(std::vector<Question> batch) {
    using S = kv::WatchResult::Status;
    state_.watch(keys::jobs, revision_, 0, [this, batch = std::move(batch)](kv::WatchResult w) mutable {
        if (w.status == S::too_old) {
            revision_ = 0;
            return read_all(std::move(batch));
        }
        if (w.status != S::ok) return answer(std::move(batch), false);
        dropped_ = 0;
        for (auto& e : w.events.events) take(e.key, e.version, e.value ? &*e.value : nullptr);
        auto since = std::exchange(revision_, std::max(revision_, w.events.revision));
        if (dropped_ < ends_together || !told_ended_) return answer(std::move(batch), true);
        read_ends(std::move(batch), since);
    });
}
// A job leaves in the transaction that stores its end: so the ends of all that left since a revision are
// among the final records written since then, and one request brings them all. One by one they took most of
// the requests left when jobs end by the score. Should it fail, those who ask read them singly.
void LiveJobs::read_ends(std::vector<Question> batch, std::uint64_t since) {
    ++requests_;
    state_.watch(keys::finals, since, 0, [this, batch = std::move(batch)](kv::WatchResult w) mutable {
        for (auto& e : w.events.events)
            if (e.value) told_ended_(e.key.substr(keys::finals.size()), *e.value);
        answer(std::move(batch), true);
    });
}

void LiveJobs::take(const std::string& key, std::uint64_t version, const std::string* value) {
    auto id = key.substr(keys::jobs.size());
    auto it = jobs_.find(id);
    // A list takes several requests, so its last pages may be ahead of the changes that are read next.
    if (it != jobs_.end() && it->second.version > version) return;
    if (!value) return drop(id);
    Live live{version, false, {}};
    try {
        auto r = protocol::parse_live_record(*value);
        live.cancelled = r.cancelled;
        live.awaits = std::move(r.awaits);
    } catch (const protocol::Malformed& m) {
        spdlog::error("job record {}: {}", id, m.what());
        // Written by another version: a known job all the same. It was refused for ever.
        live.cancelled = protocol::says_cancelled(*value);
    }
    if (it != jobs_.end()) {
        // Written again, which only a cancellation does.
        live.cancelled = live.cancelled || it->second.cancelled;
        awaits_.remove(id, it->second.awaits);
    }
    awaits_.add(id, live.awaits, [&](auto& a) { return jobs_.contains(a); });
    for (auto& a : live.awaits)
        if (auto before = jobs_.find(a); before != jobs_.end())
            live.cancelled = live.cancelled || before->second.cancelled;
    bool cancelled = live.cancelled;
    jobs_.insert_or_assign(id, std::move(live));
    if (cancelled) cancel_behind(id);
}
void LiveJobs::drop(const std::string& id) {
    auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    ++dropped_;
    awaits_.remove(id, it->second.awaits);
    jobs_.erase(it);
    awaits_.mark_unresolved(id);
}
void LiveJobs::cancel_behind(const std::string& id) {
    awaits_.visit_dependents(id, [&](auto& y) { return !std::exchange(jobs_.at(y).cancelled, true); });
}
void LiveJobs::ended(const std::string& id, protocol::JobState state) {
    if (!awaits_.unresolved().contains(id)) return;
    if (state == protocol::JobState::cancelled) cancel_behind(id);
    for (auto& y : awaits_.resolve(id)) std::erase(jobs_.at(y).awaits, id);
}
// Seldom are there any: the walk back from a job is only made while the end of some awaited job is unknown.
std::vector<std::string> LiveJobs::unknown_before(const std::string& id) const {
    std::vector<std::string> todo{id}, out;
    std::set<std::string> seen{id};
    while (!awaits_.unresolved().empty() && !todo.empty()) {
        auto it = jobs_.find(todo.back());
        todo.pop_back();
        if (it == jobs_.end() || it->second.cancelled) continue;
        for (auto& a : it->second.awaits) {
            if (!seen.insert(a).second) continue;
            if (awaits_.unresolved().contains(a))
                out.push_back(a);
            else
                todo.push_back(a);
        }
    }
    return out;
}

void LiveJobs::answer(std::vector<Question> batch, bool ok) {
    asking_ = false;
    for (auto& q : batch) {
        auto it = jobs_.find(q.id);
        if (!ok || it == jobs_.end())
            q.done({ok, {}, {}});
        else
            q.done({true, it->second, unknown_before(q.id)});
    }
    ask_soon();
}

}  // namespace coralhitch::api
