// The machines whose heartbeats relaying controllers answer for this leader.
//
// Owns the table of delegations, and writes Machine::delegation_expiry: the last moment at which a relay that
// no longer has the machine can have renewed its lease. Proof by lease expiry counts from there.
//
// On the event loop's thread.
#pragma once
#include <cstddef>
#include <string>

#include "cluster/cluster_state.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/delegation_table.hpp"

namespace coralhitch::leader {

// Which machines relays answer, and until when that may have renewed their leases.
class Delegations {
  public:
    explicit Delegations(cluster::ClusterState& cluster) : cluster_(cluster) {}

    // A relay's message has come: takes in what it acknowledges. False if a newer one came before it.
    [[nodiscard]] bool accept_relay_message(const protocol::RelayRequest& message);
    // From now on the machine's heartbeats must come to the leader itself. Does nothing if they do.
    void revoke(const std::string& machine_id);
    // Steady seconds: the last moment at which this leader or a relay can have renewed the machine's lease.
    [[nodiscard]] double last_possible_renewal(const cluster::Machine& machine) const;
    // Machines that relays answer now.
    [[nodiscard]] std::size_t count() const { return table_.count(); }
    [[nodiscard]] relay::DelegationTable& table() { return table_; }

  private:
    void extend_expiry(const std::string& machine_id, double until);

    cluster::ClusterState& cluster_;
    relay::DelegationTable table_;
};

}  // namespace coralhitch::leader
