#include "failover/reconciliation.hpp"

#include <algorithm>

namespace coralhitch::failover {
using cluster::Machine;

namespace {
// Reconciliation is progressing as long as, within this many heartbeat periods, at least this share of the
// remaining machines is reconciled.
constexpr double progress_window_heartbeat_periods = 1.0 / 2, min_progress_share = 1.0 / 64;
// Extra time before the silence of a machine that has not been probed yet counts.
constexpr double unprobed_allowance_heartbeat_periods = 2;
// Time for which a probe must be unanswered before the silence that the previous leader observed counts, too.
constexpr double probe_timeout_heartbeat_periods = 1.0 / 2;
// A tick is late if this many tick intervals have passed since the previous one.
constexpr double late_tick_intervals = 3;
// "A few" machines are at most one in this many of the expected ones. So few machines that are not reconciled
// hardly change the free resources.
constexpr std::size_t few_remaining_divisor = 16;
// An answer is late after this many heartbeat periods. The leader is overloaded if more than this share of
// the answers is late, in an exponential moving average over about ten answers.
constexpr double late_answer_heartbeat_periods = 1.0 / 8, overloaded_late_answer_share = 1.0 / 2,
                 late_answer_share_decay = 0.9;
}  // namespace

void Reconciliation::expect(const std::string& machine) {
    unreconciled_.insert(machine);
    ++expected_;
    with_unknown_tasks_.insert(machine);
}

// Returns true if each machine in the set satisfies the predicate or is no longer in the cluster state.
// Removes such machines from the front of the set, up to the first one that does not satisfy the predicate.
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
    // Reconciliation does not wait for suspected machines whose tasks are known from the replica, nor for the
    // last few machines if the tasks of all are known. When it did, dozens of failed machines kept a new
    // leader from scaling out and preempting for ten seconds.
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
    // A leader whose tick is late has not processed heartbeats in time either, so this counts as progress.
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

// A machine that is not reconciled may have answered long ago: as long as other machines are being
// reconciled, its answer may be waiting unread in this process. Before this was considered, new leaders of
// 2,600 machines, which took 7 to 10 s to process all heartbeats with the processor time they had, fenced up
// to 230 healthy machines. At 5,200 machines each new leader believed that it was isolated and resigned in
// favour of the next.
double Reconciliation::attributable_silence_s(const Machine& machine, double now) const {
    if (machine.reconciled || machine.lifecycle != Machine::Lifecycle::up)
        return now - machine.last_heartbeat_at;
    // A machine that replies do not reach never becomes reconciled, however many heartbeats it sends, so its
    // silence counts from the last time that a message reached it. When it counted from the last heartbeat,
    // such a machine blocked all placement for as long as its heartbeats arrived.
    double silent_s =
        now - (machine.reachability.outbound_unreachable() ? machine.reachability.last_reached_at()
                                                           : machine.last_heartbeat_at);
    double probed_s = !machine.first_probed_at
                          ? silent_s - heartbeat_interval_s_ * unprobed_allowance_heartbeat_periods
                          : now - *machine.first_probed_at;
    if (is_overloaded(now)) return 0;
    double attributed_s =
        std::min({silent_s, probed_s, is_progressing(now) ? now - *progressed_at_ : probed_s});
    // The previous leader had also probed the machine without an answer. The silence under that leader is
    // added once the machine has had time to answer this one.
    return attributed_s + (attributed_s > heartbeat_interval_s_ * probe_timeout_heartbeat_periods
                               ? machine.inherited_silence_s
                               : 0);
}

}  // namespace coralhitch::failover
