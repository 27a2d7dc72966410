// Checks the machines each tick: which are suspected, which are probed, whose lease has expired, and which
// are evicted. Also what follows from a preemption notice.
//
// The rules of suspicion and eviction are the failure detector's (membership/failure_detector.hpp); this part
// shows it the machines and carries out what it says. Writes Machine::suspected and inbound_unreachable, ends
// instances whose lease has expired, and marks machines for deletion.
//
// On the event loop's thread. `check` takes LeaderState::mutex itself; `handle_preemption_notice` is called
// with it held.
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

// Watches over the machines' health once a tick, and acts on it.
class MachineSupervisor : private LeaderPart {
  public:
    struct Parts {
        membership::FailureDetector& failure_detector;
        failover::Reconciliation& reconciliation;
        Delegations& delegations;
        InstanceTracker& instances;
        CommandSender& commands;
        MachineDeletion& deletion;
    };
    struct Hooks {
        // How many of these machines, which have been silent here for so many seconds, another controller has
        // had a heartbeat from since, at the most; nothing if no other answers and could lead.
        std::function<std::optional<std::size_t>(const std::map<std::string, double>& silent_s)>
            heartbeats_seen_by_peers;
        // Whether to resign because of that; the controller notes that it did.
        std::function<bool()> resign_leadership;
        std::function<void()> request_plan;
    };
    MachineSupervisor(const PartContext& context, metrics::Metrics& metrics,
                      const std::vector<protocol::MachineType>& types, const Parts& parts, Hooks hooks);

    // Once a tick. False if the leader has resigned, as the one that seems to be cut off.
    [[nodiscard]] bool check();
    // The machine will be preempted: its tasks that can save, and replicas of services, are stopped in time.
    void handle_preemption_notice(cluster::Machine& machine);
    // The machine's heartbeats come, and nothing shows that it receives anything. Each answer would move the
    // time at which its lease expires, though none renews it: it never reconciled, and a new leader placed
    // nothing for as long as that went on. Until its lease has expired, its heartbeats are not answered; from
    // then on only a probe reaches it.
    [[nodiscard]] bool is_outbound_unreachable(const cluster::Machine& machine) const;
    // How long ago the machine was created, in nominal boot times of its type; 0: not known.
    [[nodiscard]] double age_in_boot_times(const cluster::Machine& machine) const;
    // Machines whose heartbeats are missing, and for how long, seconds.
    [[nodiscard]] std::map<std::string, double> suspected() const;

  private:
    // A machine that is up, and what the failure detector is shown of it.
    struct ObservedMachines {
        double at = 0;  // steady seconds
        std::vector<cluster::Machine*> machines;
        std::vector<membership::Observation> observations;  // of the machine with the same index
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

    Authority& leadership_;  // this part may end it
    metrics::Metrics& metrics_;
    const std::vector<protocol::MachineType>& types_;
    Parts parts_;
    Hooks hooks_;
};

}  // namespace coralhitch::leader
