#include "leader/leader.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "leader/task_counts.hpp"

namespace coralhitch::leader {

namespace {
constexpr double tick_interval_heartbeat_periods = 1.0 / 6;
}  // namespace

Leader::Leader(LeaderDependencies dependencies, protocol::LeaderVersion version, std::uint64_t seed)
    : parts_(std::move(dependencies), version, seed, [this] { tick(); }) {}

void Leader::start() {
    parts_.guarded.bind(weak_from_this());
    parts_.recovery.start();
}

void Leader::stop() {
    parts_.authority.end();
    parts_.report.log_team_activity();
    parts_.dependencies.timers.cancel(tick_timer_);
    parts_.heartbeats.stop();
}

void Leader::apply_cancellation(const std::string& id, std::uint64_t version) {
    if (parts_.job_watcher.apply_cancellation(id, version)) parts_.commands.flush_all();
}

void Leader::update_machine_types() {
    std::lock_guard lock(parts_.state.mutex);
    parts_.state.cluster.set_types(parts_.dependencies.machine_types);
}

std::optional<api::TaskCounts> Leader::counts(const std::string& id) {
    return parts_.recovery.loaded() ? task_counts(parts_.state, id) : std::nullopt;
}

std::vector<protocol::PeerTaskCounts> Leader::all_counts() {
    return parts_.recovery.loaded() ? all_task_counts(parts_.state) : std::vector<protocol::PeerTaskCounts>{};
}

// Resigns and returns true if the fencing tokens of this leadership are nearly used up. The tokens of a later
// leadership begin above all tokens of this one.
bool Leader::resign_if_tokens_run_out() {
    if (!parts_.state.cluster.tokens_nearly_exhausted()) return false;
    spdlog::info("component=leader event=resigned reason=tokens_exhausted");
    parts_.authority.resign(0);
    return true;
}

// The leadership may end during a tick: by a resignation, or because the lease at the key-value store has
// expired.
void Leader::tick() {
    if (parts_.authority.ended()) return;
    auto& timers = parts_.dependencies.timers;
    double interval_s = parts_.dependencies.settings.heartbeat_interval_s * tick_interval_heartbeat_periods;
    tick_timer_ = timers.after(interval_s, parts_.guarded([this] { tick(); }));
    parts_.heartbeats.begin_tick();
    parts_.dependency_resolver.retry();
    parts_.reconciliation.tick(timers.now(), interval_s);
    if (parts_.supervisor.check()) parts_.recovery.check_reconciled();
    if (parts_.authority.ended()) return;
    if (resign_if_tokens_run_out()) return;
    if (!parts_.authority.holds()) return;
    do_due_work();
}

// Runs the periodic work of each part. The caller has checked that the leader may act.
void Leader::do_due_work() {
    parts_.attempts.extend();
    parts_.job_store.store_due();
    parts_.machine_store.flush();
    parts_.start_replication.replicate_changes();
    parts_.start_replication.tick();
    parts_.deletion.delete_marked();
    parts_.stale_keys.remove_some();
    parts_.job_watcher.audit();
    parts_.report.log_team_activity_if_due();
    parts_.hosts.list_if_due();
    parts_.fleet_scaler.retry_unanswered();
    parts_.plan_executor.request_plan();
    parts_.report.set_gauges();
}

}  // namespace coralhitch::leader
