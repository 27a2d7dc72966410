// Tracks the machines whose heartbeats are delegated to relays, which answer them for this leader.
//
// Delegations owns the delegation table. It writes Machine::delegation_expiry, the last moment at which a
// relay that the machine is no longer delegated to can have renewed its lease. The lease can expire, and so
// serve as evidence that the machine's tasks have terminated, only a lease period after that.
//
// Runs on the event loop's thread.
#pragma once
#include <cstddef>
#include <string>

#include "cluster/cluster_state.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/delegation_table.hpp"

namespace coralhitch::leader {

// Knows which machines are delegated, and until when relays may have renewed the machines' leases.
class Delegations {
  public:
    explicit Delegations(cluster::ClusterState& cluster) : cluster_(cluster) {}

    // Applies the acknowledgment in a relay's message. Returns false if a later message of the same relay
    // process arrived before.
    [[nodiscard]] bool accept_relay_message(const protocol::RelayRequest& message);
    // Ends the delegation of a machine, so that the leader itself must answer its heartbeats. Does nothing if
    // the machine is not delegated.
    void revoke(const std::string& machine_id);
    // Returns the last moment at which this leader or a relay can have renewed the machine's lease, steady
    // seconds.
    [[nodiscard]] double last_possible_renewal(const cluster::Machine& machine) const;
    // Returns the number of machines that are delegated now.
    [[nodiscard]] std::size_t count() const { return table_.count(); }
    [[nodiscard]] relay::DelegationTable& table() { return table_; }

  private:
    void extend_expiry(const std::string& machine_id, double until);

    cluster::ClusterState& cluster_;
    relay::DelegationTable table_;
};

}  // namespace coralhitch::leader
