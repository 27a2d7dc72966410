#include "relay/delegation_table.hpp"

#include <algorithm>

namespace coralhitch::relay {

void DelegationTable::reset(const std::string& relay_label, RelayState& relay,
                            protocol::Incarnation incarnation, const ReturnedCallback& returned) {
    relay.incarnation = incarnation;
    relay.last_message = 0;
    relay.revocations.clear();
    std::erase_if(machine_relays_, [&](auto& entry) {
        if (entry.second != relay_label) return false;
        // The last replies of the previous process may still be in transit to agents.
        if (relay.delegation_expiry) returned(entry.first, *relay.delegation_expiry);
        return true;
    });
    relay.machines = 0;
}

bool DelegationTable::accept_message(const std::string& relay_label, protocol::Incarnation incarnation,
                                     std::uint64_t number, std::uint64_t acknowledged,
                                     const ReturnedCallback& returned) {
    auto& relay = relays_[relay_label];
    if (relay.incarnation != incarnation) reset(relay_label, relay, incarnation, returned);
    if (number <= relay.last_message) return false;
    relay.last_message = number;
    // The answers to `first_message` and all later messages carry the revocation.
    while (!relay.revocations.empty() && relay.revocations.front().first_message <= acknowledged)
        relay.revocations.pop_front();
    return true;
}

void DelegationTable::delegate(const std::string& machine, const std::string& relay_label) {
    auto [it, added] = machine_relays_.try_emplace(machine, relay_label);
    if (!added && it->second != relay_label) {
        revoke(machine);
        machine_relays_[machine] = relay_label;
        added = true;
    }
    if (added) ++relays_[relay_label].machines;
}

std::optional<double> DelegationTable::revoke(const std::string& machine) {
    auto it = machine_relays_.find(machine);
    if (it == machine_relays_.end()) return std::nullopt;
    auto& relay = relays_.at(it->second);
    // The answer to `last_message` may already have been sent, so the next answer is the first that is
    // certain to carry the revocation.
    relay.revocations.push_back({relay.last_message + 1, machine});
    --relay.machines;
    machine_relays_.erase(it);
    return relay.delegation_expiry;
}

bool DelegationTable::delegated_to(const std::string& machine, const std::string& relay_label) const {
    auto it = machine_relays_.find(machine);
    return it != machine_relays_.end() && it->second == relay_label;
}

double DelegationTable::renewal_bound(const std::string& machine, double own_renewal) const {
    auto it = machine_relays_.find(machine);
    if (it == machine_relays_.end()) return own_renewal;
    return std::max(own_renewal, relays_.at(it->second).delegation_expiry.value_or(own_renewal));
}

std::vector<std::string> DelegationTable::extend(const std::string& relay_label, double delegation_expiry) {
    auto& relay = relays_[relay_label];
    relay.delegation_expiry =
        std::max(relay.delegation_expiry.value_or(delegation_expiry), delegation_expiry);
    std::vector<std::string> revoked;
    for (auto& revocation : relay.revocations) revoked.push_back(revocation.machine);
    return revoked;
}

std::size_t DelegationTable::count(const std::string& relay_label) const {
    auto it = relays_.find(relay_label);
    return it == relays_.end() ? 0 : it->second.machines;
}

std::optional<std::string> DelegationTable::least_loaded(double now, std::size_t limit) const {
    std::optional<std::string> best;
    for (auto& [label, relay] : relays_) {
        bool is_in_effect = relay.delegation_expiry && *relay.delegation_expiry > now;
        if (!is_in_effect || relay.machines >= limit) continue;
        limit = relay.machines;
        best = label;
    }
    return best;
}

}  // namespace coralhitch::relay
