// Tracks which of the stored machines a new leader has reconciled, that is, has received a report from under
// its own token; and what the leader may do before that.
//
// Bookkeeping only, not thread safe; times are seconds of the leader's clock.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "cluster/cluster_state.hpp"

namespace coralhitch::failover {

class Reconciliation {
  public:
    // `cluster_state` must outlive this. `heartbeat_interval_s`: the report period.
    Reconciliation(const cluster::ClusterState& cluster_state, double heartbeat_interval_s)
        : cluster_state_(cluster_state), heartbeat_interval_s_(heartbeat_interval_s) {}
    // A machine that an earlier leader stored must be reconciled.
    void expect(const std::string& machine);
    // Whether tasks may be started: of each expected machine it is known what may run on it, from its report
    // or from the replica. Otherwise neither a task, a quota nor a zone is safe.
    [[nodiscard]] bool placement_allowed() const;
    // Whether each machine that may still answer has answered. Until then the cluster state lacks most of the
    // free resources: nothing is scaled out or in or preempted for want of them.
    [[nodiscard]] bool complete() const;

    // Call periodically, as a rule every `interval_s`.
    void tick(double now, double interval_s);
    // A machine answered a direct command of this leader after `latency_s`.
    void record_answer(double latency_s, double now);
    // Whether most answers arrive so late that they must have waited here: this leader lacks the processor
    // time to process heartbeats as they come. Missed heartbeats are then no machine's fault, and no sign
    // that this leader is isolated.
    [[nodiscard]] bool is_overloaded(double now) const;
    // For how long nothing came from a machine, as far as that is the machine's fault. Seconds.
    [[nodiscard]] double attributable_silence_s(const cluster::Machine& machine, double now) const;

  private:
    using Predicate = bool (*)(const cluster::Machine&);
    struct Progress {
        std::size_t remaining = SIZE_MAX;  // machines not reconciled
        double at = 0;
    };
    bool all_satisfy(std::set<std::string>& machines, Predicate satisfied) const;
    std::size_t remaining() const;
    bool is_progressing(double now) const;

    const cluster::ClusterState& cluster_state_;
    double heartbeat_interval_s_;
    std::size_t expected_ = 0;
    bool few_remaining_ = false;  // at the last tick
    // Machines leave these for good, as soon as all before them have left.
    mutable std::set<std::string> unreconciled_, with_unknown_tasks_;
    Progress progress_baseline_;           // when it last was as much as is asked for, or was counted anew
    std::optional<double> progressed_at_;  // when the reconciliation last made progress
    std::optional<double> last_tick_at_;
    double late_answer_share_ = 0;  // of the last answers, the newest counting most
    std::optional<double> last_answer_at_;
};

}  // namespace coralhitch::failover
