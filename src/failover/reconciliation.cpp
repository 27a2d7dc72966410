#include "failover/reconciliation.hpp"

#include <algorithm>

namespace coralhitch::failover {
using cluster::Machine;

namespace {
// Reconciliation makes progress as long as in so many report periods at least this share of the remaining
// machines is reconciled.
constexpr double progress_window_heartbeat_periods = 1.0 / 2, min_progress_share = 1.0 / 64;
// A machine that was not probed yet is given this much longer, in report periods.
constexpr double unprobed_allowance_heartbeat_periods = 2;
// Time for a direct command to go unanswered, in report periods.
constexpr double probe_timeout_heartbeat_periods = 1.0 / 2;
constexpr double late_tick_intervals = 3;
// One in so many of the expected machines: so few that are not reconciled hardly change the free resources.
constexpr std::size_t few_remaining_divisor = 16;
// An answer is late after so many report periods; the leader is is_overloaded if most of some ten answers
// are.
constexpr double late_answer_heartbeat_periods = 1.0 / 8, overloaded_late_answer_share = 1.0 / 2,
                 late_answer_share_decay = 0.9;
}  // namespace

void Reconciliation::expect(const std::string& machine) {
    unreconciled_.insert(machine);
    ++expected_;
    with_unknown_tasks_.insert(machine);
}

// Whether all machines satisfy the predicate or are gone. Those in front that do are removed.
bool Reconciliation::all_satisfy(std::set<std::string>& machines, Predicate satisfied) const {
    while (!machines.empty()) {
        auto it = cluster_state_.machines().find(*machines.begin());
        if (it != cluster_state_.machines().end() && !satisfied(it->second)) return false;
        machines.erase(machines.begin());
    }
    return true;
}

bool Reconciliation::placement_allowed() const {
    return all_satisfy(with_unknown_tasks_, [](const Machine& machine) {
        return machine.reconciled || machine.known_from_replica;
    });
}

bool Reconciliation::complete() const {
    // A machine whose tasks are known and that is suspected to have failed holds nothing else up, nor do a
    // few such: dozens of failed machines used to keep a leader from scaling out and preempting for ten
    // seconds.
    auto not_awaited = [](const Machine& machine) {
        return machine.reconciled || machine.lifecycle != Machine::Lifecycle::up ||
               (machine.known_from_replica && machine.suspected);
    };
    return all_satisfy(unreconciled_, not_awaited) || (few_remaining_ && placement_allowed());
}

std::size_t Reconciliation::remaining() const {
    std::size_t count = 0;
    for (auto& id : unreconciled_) {
        auto it = cluster_state_.machines().find(id);
        count += it != cluster_state_.machines().end() && !it->second.reconciled;
    }
    return count;
}

void Reconciliation::tick(double now, double interval_s) {
    // A leader whose tick is late has not processed heartbeats in time either.
    if (last_tick_at_ && now - *last_tick_at_ > interval_s * late_tick_intervals) progressed_at_ = now;
    last_tick_at_ = now;
    auto left = remaining();
    few_remaining_ = left * few_remaining_divisor <= expected_;
    if (left == 0) return;
    auto step =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(left) * min_progress_share));
    if (left + step <= progress_baseline_.remaining)
        progressed_at_ = now;
    else if (now - progress_baseline_.at < heartbeat_interval_s_ * progress_window_heartbeat_periods)
        return;
    progress_baseline_ = {left, now};
}

void Reconciliation::record_answer(double latency_s, double now) {
    bool late = latency_s > heartbeat_interval_s_ * late_answer_heartbeat_periods;
    late_answer_share_ =
        late_answer_share_ * late_answer_share_decay + (late ? 1 - late_answer_share_decay : 0);
    last_answer_at_ = now;
}
bool Reconciliation::is_overloaded(double now) const {
    return late_answer_share_ > overloaded_late_answer_share && last_answer_at_ &&
           now - *last_answer_at_ <= heartbeat_interval_s_ * progress_window_heartbeat_periods;
}
bool Reconciliation::is_progressing(double now) const {
    return progressed_at_ &&
           now - *progressed_at_ <= heartbeat_interval_s_ * progress_window_heartbeat_periods;
}

// A machine that is not reconciled may have answered long ago: while others are reconciled, its answer may
// lie unread. New leaders of 2,600 machines took 7 to 10 s to process all reports with the processor time
// they had, and fenced up to 230 healthy machines; at 5,200 each believed itself isolated and resigned in
// favour of the next.
double Reconciliation::attributable_silence_s(const Machine& machine, double now) const {
    if (machine.reconciled || machine.lifecycle != Machine::Lifecycle::up)
        return now - machine.last_heartbeat_at;
    // A machine that no answer reaches is not reconciled, however often it reports: its heartbeats held up
    // all placement for as long as they came.
    double silent_s =
        now - (machine.reachability.outbound_unreachable() ? machine.reachability.last_reached_at()
                                                           : machine.last_heartbeat_at);
    double probed_s = !machine.first_probed_at
                          ? silent_s - heartbeat_interval_s_ * unprobed_allowance_heartbeat_periods
                          : now - *machine.first_probed_at;
    if (is_overloaded(now)) return 0;
    double attributed_s =
        std::min({silent_s, probed_s, is_progressing(now) ? now - *progressed_at_ : probed_s});
    // The previous leader had probed it too, in vain. It is given the time to answer this one.
    return attributed_s + (attributed_s > heartbeat_interval_s_ * probe_timeout_heartbeat_periods
                               ? machine.inherited_silence_s
                               : 0);
}

}  // namespace coralhitch::failover
