#include "leader/delegations.hpp"

#include <algorithm>

namespace coralhitch::leader {

bool Delegations::accept_relay_message(const protocol::RelayRequest& message) {
    return table_.accept_message(message.label, message.incarnation, message.sequence_number,
                                 message.acknowledged_sequence_number,
                                 [this](const std::string& machine_id, double renewed_until) {
                                     extend_expiry(machine_id, renewed_until);
                                 });
}

void Delegations::revoke(const std::string& machine_id) {
    if (auto renewable_until = table_.revoke(machine_id)) extend_expiry(machine_id, *renewable_until);
}

double Delegations::last_possible_renewal(const cluster::Machine& machine) const {
    double bound = table_.renewal_bound(machine.id, machine.lease_renewed_at);
    return std::max(bound, machine.delegation_expiry.value_or(bound));
}

void Delegations::extend_expiry(const std::string& machine_id, double until) {
    if (auto* machine = cluster_.find(machine_id))
        machine->delegation_expiry = std::max(machine->delegation_expiry.value_or(until), until);
}

}  // namespace coralhitch::leader
