// Plans: decides when to make one, has it made on the planner's thread from a snapshot, and applies it.
//
// Owns when plans were made and how long they took. Applying one changes the cluster state and the job table
// (starts and stops; every start is checked again, since heartbeats and cancellations have come in since the
// snapshot), and goes on through the FleetScaler and the callbacks. Public functions are for the event loop's
// thread; `compute` alone runs on the planner's, and only reads the state, under its mutex.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "cluster/team_activity.hpp"
#include "cluster/team_usage.hpp"
#include "failover/reconciliation.hpp"
#include "leader/attempt_numbers.hpp"
#include "leader/fleet_scaler.hpp"
#include "leader/leader_part.hpp"
#include "leader/planner.hpp"
#include "metrics/metrics.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::leader {

// A task that a plan has placed on a machine; no command was sent so far.
struct PlannedStart {
    std::string machine;
    protocol::TaskId task;
};

// Makes and applies plans, one at a time.
class PlanExecutor : private LeaderPart {
  public:
    // References to other parts of the leader; they must outlive this one.
    struct Parts {
        Planner& planner;
        FleetScaler& fleet_scaler;
        AttemptNumbers& attempts;
        const failover::Reconciliation& reconciliation;
        cluster::TeamActivity& team_activity;
        metrics::Metrics& metrics;
    };
    struct Callbacks {
        // Whether jobs and machines are loaded from the key-value store.
        std::function<bool()> loaded;
        // Whether the cloud has listed the machines since this leadership began. Before that, nothing is
        // asked for: what an earlier leader asked for last is known from that list alone.
        std::function<bool()> machines_listed;
        // Called with the state's mutex held.
        std::function<void(cluster::Machine&, const char* why)> mark_for_deletion;
        // A plan was applied, and these are its starts, also if there are none. Sends what may be sent.
        std::function<void(const std::vector<PlannedStart>&)> plan_applied;
    };
    // `seed` is that of the random draws of the plans.
    PlanExecutor(const PartContext& context, const Parts& parts, Callbacks callbacks, std::uint64_t seed);

    // Makes a plan as soon as the minimum interval since the last one allows. Of several requests before then
    // the first counts.
    void request_plan();

  private:
    struct Plan {
        scheduler::Input in;  // after the plan: with what it starts
        scheduler::Decisions out;
        // Whether the fleet is planned, too; if not, the two below stay empty.
        bool with_fleet = false;
        autoscaler::Input fleet_in;
        autoscaler::Decisions fleet_out;
    };
    using TeamUsage = std::map<std::string, protocol::Resources>;
    // A start of a plan that has been entered in the state.
    struct PlacedInstance {
        cluster::Machine* machine = nullptr;
        std::uint32_t task = 0;
    };

    [[nodiscard]] double minimum_interval_s() const;
    [[nodiscard]] bool fleet_plan_due() const;
    void begin_plan();
    // On the planner's thread.
    void compute(Plan& plan, std::uint64_t seed) const;

    void apply(const Plan& plan);
    // The three with the state's mutex held.
    std::vector<PlannedStart> apply_starts(const Plan& plan);
    void apply_stops(const Plan& plan);
    void apply_scale_in(const Plan& plan);
    // How many starts from this index on go together: all of a gang, or one.
    [[nodiscard]] static std::size_t group_size(const Plan& plan, std::size_t first);
    // Enters all starts of the group in the state, or none.
    void start_group(const Plan& plan, std::span<const scheduler::Start> group,
                     protocol::AttemptNumber attempt, TeamUsage& used, std::vector<PlannedStart>& started);
    static void undo_placements(jobs::JobEntry& job, std::span<const PlacedInstance> placed, TeamUsage& used);
    [[nodiscard]] const config::Team* find_team(const jobs::JobEntry& job) const;
    [[nodiscard]] bool may_start(const jobs::JobEntry& job, std::uint32_t task,
                                 const cluster::Machine& machine, const scheduler::ZoneCounts& zones) const;
    void log_plan(const Plan& plan) const;
    void count_draws(const scheduler::PlanCounts& counts);

    Parts parts_;
    Callbacks callbacks_;
    std::mt19937_64 random_;
    bool requested_ = false;              // a timer is set that begins a plan
    bool computing_ = false;              // one is with the planner
    double last_plan_s_ = 0;              // how long the last one took, seconds
    std::optional<double> last_plan_at_;  // when the last one began (steady seconds)
    // When the last one with the fleet began (steady seconds). Before the first one -1 rather than nothing:
    // while the clock is younger than the interval, the first one waits too.
    double last_fleet_plan_at_ = -1;
};

}  // namespace coralhitch::leader
