#include "failover/recovery_loader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>

#include "kv/keys.hpp"

namespace coralhitch::failover {
namespace keys = kv::keys;
using kv::RequestPriority;

namespace {
constexpr double again_reports = 1.0 / 10;
}  // namespace

void FailoverSteps::over(const char* step, const std::string& what) {
    if (has(step)) return;
    double t = timers_.now() - begun_;
    all_.emplace_back(step, t);
    spdlog::info("leader: {} after {:.2f} s{}{}", step, t, what.empty() ? "" : ": ", what);
}
bool FailoverSteps::has(const char* step) const {
    return std::any_of(all_.begin(), all_.end(), [&](auto& s) { return std::string_view(s.first) == step; });
}

RecoveryLoader::RecoveryLoader(event_loop::Timers& timers, kv::KvClient& state,
                               const config::Settings& settings, FailoverSteps& steps,
                               replication::ReplicaEvidence evidence, std::function<void(GetResult)> done)
    : timers_(timers),
      state_(state),
      settings_(settings),
      steps_(steps),
      evidence_(std::move(evidence)),
      done_(std::move(done)) {}

void RecoveryLoader::start() {
    settings_.op.standby ? read_record() : list_all();
}
void RecoveryLoader::again() {
    timers_.after(settings_.report_s * again_reports, guarded_([this] { start(); }));
}

// Who followed the leader before.
void RecoveryLoader::read_record() {
    state_.get(keys::standby, RequestPriority::write, guarded_([this](kv::GetResult f) {
                   if (!f.ok) return again();
                   found_.record_version = f.entry ? f.entry->version : 0;
                   evidence_.record.reset();
                   if (f.entry) try {
                           evidence_.record = protocol::parse_standby_record(f.entry->value);
                       } catch (const protocol::Malformed& x) {
                           spdlog::error("standby: record: {}", x.what());
                       }
                   read_history();
               }));
}
// Which leaders there were since this controller last knew.
void RecoveryLoader::read_history() {
    state_.watch(keys::leader, evidence_.chain.known_until, 0, guarded_([this](kv::WatchResult w) {
                     if (w.status == kv::WatchResult::Status::failed) return again();
                     evidence_.history_complete = w.status == kv::WatchResult::Status::ok;
                     evidence_.later_leaders.clear();
                     for (auto& e : w.events.events)
                         if (e.key == keys::leader && e.value && e.version != evidence_.leader_version)
                             evidence_.later_leaders.push_back({e.version, protocol::keeps_record(*e.value)});
                     list_all();
                 }));
}
void RecoveryLoader::list(const std::string& prefix, kv::ListResult GetResult::*into,
                          std::function<void()> then) {
    state_.list(prefix, RequestPriority::write, guarded_([this, into, then](kv::ListResult l) {
                    if (!l.ok) return again();
                    found_.*into = std::move(l);
                    then();
                }));
}
// What is stored, by now for good: what the leader before may still write fails on its version.
void RecoveryLoader::list_all() {
    found_.jobs_listed_at = timers_.now();
    list(keys::jobs, &GetResult::jobs, [this] {
        list(keys::progress, &GetResult::progress, [this] {
            list(keys::machines, &GetResult::machines, [this] {
                auto wrong = replication::evaluate_eligibility(evidence_);
                found_.inherits = settings_.op.standby && !wrong;
                found_.record = evidence_.record;
                steps_.over("all is read", found_.inherits
                                               ? "what the leader before knew is taken over"
                                               : "what the leader before knew is not known, since " +
                                                     (wrong ? std::string(wrong->failure) : "there is no standby"));
                done_(std::move(found_));
            });
        });
    });
}

}  // namespace coralhitch::failover
