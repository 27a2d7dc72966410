#include "api/live_jobs.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "state/keys.hpp"

namespace coralhitch::api {
namespace keys = state::keys;

namespace {
constexpr double gap_reports = 1.0 / 60;  // between two requests: questions come together meanwhile
constexpr double keep_up_leases = 0.5;    // changes in that time are far fewer than the service keeps
}  // namespace

LiveJobs::LiveJobs(loop::Timers& timers, state::Client& state, const config::Settings& settings)
    : timers_(timers), state_(state), settings_(settings) {}

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
    state_.list(keys::jobs, state::Rank::read, [this, batch = std::move(batch)](state::Listed l) mutable {
        if (l.ok) {
            jobs_.clear();
            for (auto& e : l.entries) take(e.key, e.version, &e.value);
            revision_ = l.revision;
        }
        answer(std::move(batch), l.ok);
    });
}
void LiveJobs::read_changes(std::vector<Question> batch) {
    using S = state::Watched::Status;
    state_.watch(keys::jobs, revision_, 0, [this, batch = std::move(batch)](state::Watched w) mutable {
        if (w.status == S::too_old) {
            revision_ = 0;
            return read_all(std::move(batch));
        }
        if (w.status == S::ok) {
            for (auto& e : w.events.events) take(e.key, e.version, e.value ? &*e.value : nullptr);
            revision_ = std::max(revision_, w.events.revision);
        }
        answer(std::move(batch), w.status == S::ok);
    });
}

void LiveJobs::take(const std::string& key, std::uint64_t version, const std::string* value) {
    auto id = key.substr(keys::jobs.size());
    // A list takes several requests, so its last pages may be ahead of the changes that are read next.
    if (auto it = jobs_.find(id); it != jobs_.end() && it->second.version > version) return;
    if (!value) {
        jobs_.erase(id);
        return;
    }
    try {
        jobs_[id] = {version, wire::stored_cancelled(*value)};
    } catch (const wire::Malformed& m) {
        spdlog::error("job record {}: {}", id, m.what());
        jobs_[id] = {version, false, false};
    }
}

void LiveJobs::answer(std::vector<Question> batch, bool ok) {
    asking_ = false;
    for (auto& q : batch) {
        auto it = jobs_.find(q.id);
        if (!ok || it == jobs_.end())
            q.done({ok, {}});
        else
            q.done({it->second.readable, it->second});
    }
    ask_soon();
}

}  // namespace coralhitch::api
