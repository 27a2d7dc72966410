// Which of the machines that earlier leaders stored are still to be heard by a new one, and what may be done
// before they are. Bookkeeping only; times are seconds of the leader's clock.
#pragma once
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "cluster/cluster_state.hpp"

namespace coralhitch::failover {

class Reconciliation {
  public:
    Reconciliation(const cluster::ClusterState& cluster_state, double report_s)
        : cluster_state_(cluster_state), report_s_(report_s) {}
    // A machine that an earlier leader stored.
    void expect(const std::string& id);
    // Of each of them it is known what may be on it, from its report or from the leader before. Otherwise
    // neither a task, a quota nor a zone is safe.
    bool may_place() const;
    // Each that may still answer has answered. Until then the cluster state lacks most of the room that there
    // is: nothing is rented, returned or displaced for want of it.
    bool all_reconciled() const;

    // Once a tick, ticks being at most so far apart as a rule.
    void tick(double now, double period);
    // A machine answered what this leader asked it directly, so many seconds after it was asked.
    void answered(double took, double now);
    // Most answers come so late that they must have waited here: this leader has not the processor to hear in
    // time. What it has not heard yet is no machine's fault, and that it hears late is no sign of being cut
    // off.
    bool behind(double now) const;
    // How long nothing was heard of a machine, as far as that is the machine's fault.
    double silence(const cluster::Machine& m, double now) const;

  private:
    bool leave(std::set<std::string>& ids, bool (*leaves)(const cluster::Machine&)) const;
    const cluster::ClusterState& cluster_state_;
    double report_s_;
    std::size_t expected_ = 0;
    bool few_left_ = false;  // at the last tick
    // Machines leave for good, those in front as soon as they are looked at.
    mutable std::set<std::string> unheard_, unknown_;
    std::pair<std::size_t, double> paced_{SIZE_MAX, -1};  // machines to be heard when last counted, and when
    double pace_at_ = -1, last_tick_ = -1;                // when the reconciliation was last seen to go on
    double late_share_ = 0, answered_at_ = -1;            // of the last answers, the newest counting most
};

}  // namespace coralhitch::failover
