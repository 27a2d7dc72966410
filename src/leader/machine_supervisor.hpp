// Checks all machines each tick: suspects them, probes them, ends the instances of those whose lease has
// expired, and evicts them. Also handles preemption notices.
//
// The failure detector (membership/failure_detector.hpp) has the rules of suspicion and eviction.
// MachineSupervisor passes observations of the machines to it and carries out its decisions. It writes
// Machine::suspected and Machine::inbound_unreachable, ends instances whose lease has expired, and marks
// machines for deletion.
//
// Runs on the event loop's thread. `check` takes LeaderState::mutex itself, so the caller must not hold it.
// The caller of `handle_preemption_notice` holds it.
#pragma once
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "failover/reconciliation.hpp"
#include "leader/command_sender.hpp"
#include "leader/delegations.hpp"
#include "leader/instance_tracker.hpp"
#include "leader/leader_part.hpp"
#include "leader/machine_deletion.hpp"
#include "membership/failure_detector.hpp"
#include "metrics/metrics.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {

// Checks the health of all machines once a tick, and acts on the result.
class MachineSupervisor : private LeaderPart {
  public:
    // The parts of the leader that a check reads or changes. All of them must outlive the supervisor.
    struct Parts {
        membership::FailureDetector& failure_detector;
        failover::Reconciliation& reconciliation;
        Delegations& delegations;
        InstanceTracker& instances;
        CommandSender& commands;
        MachineDeletion& deletion;
    };
    // Callbacks to the controller and to other parts of the leader.
    struct Hooks {
        // Given machine ids with the seconds since this leader last received a heartbeat from each, returns
        // from how many of them another controller has received one since: the highest such count of any
        // controller. Returns nothing if no other controller that could lead has sent a ping recently.
        std::function<std::optional<std::size_t>(const std::map<std::string, double>& silent_s)>
            heartbeats_seen_by_peers;
        // Returns whether the leader should resign because it seems isolated. If so, the controller records
        // the resignation.
        std::function<bool()> resign_leadership;
        std::function<void()> request_plan;
    };
    MachineSupervisor(const PartContext& context, metrics::Metrics& metrics,
                      const std::vector<protocol::MachineType>& types, const Parts& parts, Hooks hooks);

    // Checks all machines. Called once a tick. Returns false if the leader has resigned because it, rather
    // than the machines, seems to be isolated.
    [[nodiscard]] bool check();
    // Stops the tasks that can save a checkpoint, and the replicas of services, on a machine that the cloud
    // will preempt. They get at most the time that is left until then. If the task belongs to a gang, all
    // active tasks of the gang are stopped.
    void handle_preemption_notice(cluster::Machine& machine);
    // Returns whether the heartbeats of a machine that has not reconciled arrive while nothing shows that it
    // receives the answers. Its heartbeats are then not answered until its lease has expired, and after that
    // only a probe can reach it. Each answer would postpone the time at which the lease counts as expired,
    // although the agent does not receive the renewal. When such heartbeats were answered, the machine never
    // reconciled, and a new leader placed nothing for as long as that lasted.
    [[nodiscard]] bool is_outbound_unreachable(const cluster::Machine& machine) const;
    // Returns the time since the machine was created, in nominal boot times of its type, or 0 if the boot
    // time of its type is not known.
    [[nodiscard]] double age_in_boot_times(const cluster::Machine& machine) const;
    // Returns the machines that are up and whose heartbeats are missing, by id, with the seconds of silence.
    [[nodiscard]] std::map<std::string, double> suspected() const;

  private:
    // All machines that are up, and what the failure detector is told about each.
    struct ObservedMachines {
        double at = 0;  // time of the observation, steady seconds
        std::vector<cluster::Machine*> machines;
        std::vector<membership::Observation> observations;  // entry i describes machines[i]
    };
    [[nodiscard]] ObservedMachines observe() const;
    [[nodiscard]] membership::Observation observe(const cluster::Machine& machine, double at) const;
    [[nodiscard]] membership::EvictionCost eviction_cost(const cluster::Machine& machine) const;
    [[nodiscard]] bool resigns_if_isolated();
    void check_up(const ObservedMachines& observed, bool may_evict);
    void check_booting_and_marked(double at, bool may_evict);
    void check_machine(cluster::Machine& machine, const membership::Observation& observation,
                       membership::Health health, bool may_evict);
    void probe_if_due(cluster::Machine& machine, const membership::Observation& observation);
    bool check_lease(cluster::Machine& machine);

    Authority& leadership_;  // the same object as authority_, not const: this part may end the leadership
    metrics::Metrics& metrics_;
    const std::vector<protocol::MachineType>& types_;
    Parts parts_;
    Hooks hooks_;
};

}  // namespace coralhitch::leader
