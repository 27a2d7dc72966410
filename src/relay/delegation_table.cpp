#include "relay/delegation_table.hpp"

#include <algorithm>

namespace coralhitch::relay {

bool DelegationTable::heard(const std::string& relay_label, std::uint64_t incarnation, std::uint64_t number,
                            std::uint64_t answered, const GivenBack& given_back) {
    auto& h = relays_[relay_label];
    if (h.incarnation != incarnation) {
        h.incarnation = incarnation;
        h.number = 0;
        h.revocations.clear();
        std::erase_if(delegations_, [&](auto& l) {
            if (l.second != relay_label) return false;
            // What the process before answered last is still on its way.
            given_back(l.first, h.grant_until);
            return true;
        });
        h.machines = 0;
    }
    if (number <= h.number) return false;
    h.number = number;
    // A recall of number n goes with the answers to n and to all later messages.
    while (!h.revocations.empty() && h.revocations.front().first <= answered) h.revocations.pop_front();
    return true;
}
void DelegationTable::delegate(const std::string& machine, const std::string& relay_label) {
    auto [it, fresh] = delegations_.try_emplace(machine, relay_label);
    if (!fresh && it->second != relay_label) {
        revoke(machine);
        delegations_[machine] = relay_label;
        fresh = true;
    }
    if (fresh) ++relays_[relay_label].machines;
}
std::optional<double> DelegationTable::revoke(const std::string& machine) {
    auto it = delegations_.find(machine);
    if (it == delegations_.end()) return std::nullopt;
    auto& h = relays_.at(it->second);
    // The answer under way, to message `number`, may have left: the next one names it for certain.
    h.revocations.emplace_back(h.number + 1, machine);
    --h.machines;
    delegations_.erase(it);
    return h.grant_until;
}
bool DelegationTable::delegated_to(const std::string& machine, const std::string& relay_label) const {
    auto it = delegations_.find(machine);
    return it != delegations_.end() && it->second == relay_label;
}
double DelegationTable::renewed(const std::string& machine, double own) const {
    auto it = delegations_.find(machine);
    return it == delegations_.end() ? own : std::max(own, relays_.at(it->second).grant_until);
}
std::vector<std::string> DelegationTable::answer(const std::string& relay_label, double grant_until) {
    auto& h = relays_[relay_label];
    h.grant_until = std::max(h.grant_until, grant_until);
    std::vector<std::string> out;
    for (auto& [number, machine] : h.revocations) out.push_back(machine);
    return out;
}
std::size_t DelegationTable::count(const std::string& relay_label) const {
    auto it = relays_.find(relay_label);
    return it == relays_.end() ? 0 : it->second.machines;
}
std::optional<std::string> DelegationTable::least(double now, std::size_t most) const {
    std::optional<std::string> best;
    for (auto& [label, h] : relays_) {
        if (h.grant_until <= now || h.machines >= most) continue;
        most = h.machines;
        best = label;
    }
    return best;
}

}  // namespace coralhitch::relay
