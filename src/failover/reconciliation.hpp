// Tracks which of the stored machines a new leader has reconciled, and what the leader may do before all of
// them are. A machine is reconciled once it has sent a heartbeat under the new leader's token, or once its
// lease has expired.
//
// Does no I/O. Not thread-safe. Times are seconds of the leader's steady clock.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "cluster/cluster_state.hpp"

namespace coralhitch::failover {

// The progress of reconciliation during one leadership.
class Reconciliation {
  public:
    // `cluster_state` must outlive this object. `heartbeat_interval_s`: the time between two heartbeats of an
    // agent.
    Reconciliation(const cluster::ClusterState& cluster_state, double heartbeat_interval_s)
        : cluster_state_(cluster_state), heartbeat_interval_s_(heartbeat_interval_s) {}
    // Adds a machine that an earlier leader stored to those that must be reconciled.
    void expect(const std::string& machine);
    // Returns true if tasks may be started: for each expected machine, a heartbeat or the replica shows what
    // may run on it. Before that, the leader could start a task that already runs, exceed a
    // team's limit, or misjudge the zones that are in use.
    [[nodiscard]] bool placement_allowed() const;
    // Returns true if each machine that may still answer has been reconciled, or if only a few with known
    // tasks are left. Until then the cluster state lacks most of the free resources, so the leader neither
    // scales out or in nor preempts tasks.
    [[nodiscard]] bool complete() const;

    // Updates the progress of reconciliation. Call about every `interval_s` seconds.
    void tick(double now, double interval_s);
    // Records that a machine answered a direct command of this leader after `latency_s` seconds.
    void record_answer(double latency_s, double now);
    // Returns true if most of the last ten or so answers were so late that they must have waited in this
    // process, and the last answer is recent. The process then lacks the processor time to process heartbeats
    // as they arrive, so missed heartbeats indicate neither a failed machine nor that this leader is
    // isolated.
    [[nodiscard]] bool is_overloaded(double now) const;
    // Returns for how many seconds nothing arrived from a machine, counting only the time for which the
    // machine rather than this leader is responsible.
    [[nodiscard]] double attributable_silence_s(const cluster::Machine& machine, double now) const;

  private:
    using Predicate = bool (*)(const cluster::Machine&);
    struct Progress {
        std::size_t remaining = SIZE_MAX;  // number of machines not reconciled
        double at = 0;
    };
    bool all_satisfy(std::set<std::string>& machines, Predicate satisfied) const;
    std::size_t remaining() const;
    bool is_progressing(double now) const;

    const cluster::ClusterState& cluster_state_;
    double heartbeat_interval_s_;
    std::size_t expected_ = 0;
    bool few_remaining_ = false;  // as of the last tick
    // Expected machines that are not reconciled, and those whose tasks are unknown. A machine is removed when
    // it no longer belongs in the set and is the first one left, and it is never added again.
    mutable std::set<std::string> unreconciled_, with_unknown_tasks_;
    // Machines left at the last tick that made enough progress or, failing that, that began a new progress
    // window.
    Progress progress_baseline_;
    std::optional<double> progressed_at_;  // when enough progress was last made, or a tick was late
    std::optional<double> last_tick_at_;
    // Share of late answers, as an exponential moving average over the answers.
    double late_answer_share_ = 0;
    std::optional<double> last_answer_at_;
};

}  // namespace coralhitch::failover
