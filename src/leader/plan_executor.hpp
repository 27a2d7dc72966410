// Decides when to compute a plan, has the planner's thread compute it from a snapshot of the state, and
// applies the result.
//
// The PlanExecutor owns the times at which plans began and the duration of the last plan. Applying a plan
// starts and stops tasks in the cluster state and the job table, requests machines from the FleetScaler, and
// calls the callbacks. Every start is validated again, since heartbeats and cancellations may have arrived
// after the snapshot was taken.
//
// Public functions must be called on the event loop's thread. Only `compute` runs on the planner's thread. It
// reads the state with the state's mutex locked.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/team_activity.hpp"
#include "cluster/team_usage.hpp"
#include "failover/reconciliation.hpp"
#include "leader/attempt_numbers.hpp"
#include "leader/fleet_scaler.hpp"
#include "leader/leader_part.hpp"
#include "leader/machine_capacities.hpp"
#include "leader/planner.hpp"
#include "metrics/metrics.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::leader {

// A task that an applied plan has placed on a machine, before any command for it is sent.
struct PlannedStart {
    std::string machine;
    protocol::TaskId task;
};

// Computes and applies plans, one at a time.
class PlanExecutor : private LeaderPart {
  public:
    // The other parts of the leader that plans use. They must outlive the PlanExecutor.
    struct Parts {
        Planner& planner;
        FleetScaler& fleet_scaler;
        AttemptNumbers& attempts;
        const failover::Reconciliation& reconciliation;
        cluster::TeamActivity& team_activity;
        metrics::Metrics& metrics;
    };
    // Queries to and events for other parts of the leader.
    struct Callbacks {
        // Returns true once jobs and machines have been loaded from the key-value store.
        std::function<bool()> loaded;
        // Returns true once the cloud has listed the machines since this leadership began. No machines are
        // requested before then, because only that list shows what an earlier leader requested last.
        std::function<bool()> machines_listed;
        // Marks a machine for deletion. Called with the state's mutex locked.
        std::function<void(cluster::Machine&, const char* reason)> mark_for_deletion;
        // Called after each applied plan with the tasks that it started, which may be none. Sends the
        // commands that may be sent.
        std::function<void(const std::vector<PlannedStart>&)> plan_applied;
    };
    // `seed` initializes the random number generator that draws the seed of each plan.
    PlanExecutor(const PartContext& context, const Parts& parts, Callbacks callbacks, std::uint64_t seed);

    // Begins a plan as soon as the minimum interval since the beginning of the last plan has passed. Further
    // requests before then have no effect.
    void request_plan();
    // Returns how many instances on machines and active tasks of jobs were gone through so far to check
    // starts.
    [[nodiscard]] std::uint64_t instances_examined() const { return instances_examined_; }

  private:
    // One plan: the snapshots that it is computed from, and its decisions.
    struct Plan {
        scheduler::Input in;  // snapshot; the scheduler adds the starts that it decides on
        scheduler::Decisions out;
        // True if the plan also covers scale-out and scale-in. Otherwise `fleet_in` and `fleet_out` are
        // empty.
        bool with_fleet = false;
        autoscaler::Input fleet_in;
        autoscaler::Decisions fleet_out;
    };
    using TeamUsage = std::map<std::string, protocol::Resources>;
    // The starts of a plan that is being applied, and what they leave to the teams and on the machines.
    struct AppliedStarts {
        TeamUsage used;
        MachineCapacities capacities;
        std::unordered_map<const jobs::JobEntry*, scheduler::ZoneCounts> zones;  // of active tasks, by job
        std::vector<PlannedStart> started;
    };
    // An instance that the plan being applied has added to the cluster state and the job table.
    struct PlacedInstance {
        cluster::Machine* machine = nullptr;
        std::uint32_t task = 0;
    };

    [[nodiscard]] double minimum_interval_s() const;
    [[nodiscard]] bool fleet_plan_due() const;
    void begin_plan();
    // Computes the plan. Runs on the planner's thread.
    void compute(Plan& plan, std::uint64_t seed) const;

    void apply(const Plan& plan);
    // The caller of `apply_starts`, `apply_stops` and `apply_scale_in` holds the state's mutex.
    std::vector<PlannedStart> apply_starts(const Plan& plan);
    void apply_stops(const Plan& plan);
    void apply_scale_in(const Plan& plan);
    // Returns how many starts, beginning at index `first`, must be applied together: all starts of a gang,
    // or one start of any other job.
    [[nodiscard]] static std::size_t group_size(const Plan& plan, std::size_t first);
    // Adds all starts of the group to the state, or none of them.
    void start_group(const Plan& plan, std::span<const scheduler::Start> group,
                     protocol::AttemptNumber attempt, AppliedStarts& applied);
    // Returns the numbers of active tasks of the job by zone, which are counted once for all starts of a
    // plan.
    scheduler::ZoneCounts& zones_of(const jobs::JobEntry& job, AppliedStarts& applied);
    void undo_placements(jobs::JobEntry& job, std::span<const PlacedInstance> placed,
                         AppliedStarts& applied) const;
    [[nodiscard]] const config::Team* find_team(const jobs::JobEntry& job) const;
    [[nodiscard]] bool may_start(const jobs::JobEntry& job, std::uint32_t task,
                                 const cluster::Machine& machine, const scheduler::ZoneCounts& zones,
                                 MachineCapacities& capacities) const;
    void log_plan(const Plan& plan) const;
    void count_draws(const scheduler::PlanCounts& counts);

    Parts parts_;
    Callbacks callbacks_;
    std::mt19937_64 random_;
    std::uint64_t instances_examined_ = 0;
    bool requested_ = false;              // a timer that begins a plan is set
    bool computing_ = false;              // a plan was submitted to the planner and has not been applied
    double last_plan_s_ = 0;              // time from the beginning of the last plan to its result, seconds
    std::optional<double> last_plan_at_;  // when the last plan began (steady seconds)
    // When the last plan that covered the fleet began (steady seconds). The initial value is -1 rather than
    // an empty optional, so that the first fleet plan also waits until the clock has reached the interval.
    double last_fleet_plan_at_ = -1;
};

}  // namespace coralhitch::leader
