#include "http/socket_budget.hpp"

#include <algorithm>

namespace coralhitch::http {
namespace {
// The order in which kinds of peers lose idle connections: first connections to machines, which are reopened
// when needed, then connections of workers that have turned to another controller.
constexpr std::array reclaim_order = {PeerKind::machine, PeerKind::worker, PeerKind::user, PeerKind::service};
}  // namespace

SocketBudget::SocketBudget(std::size_t sockets, const SocketShares& shares) : sockets_(sockets) {
    auto part = [&](double share) { return static_cast<std::size_t>(static_cast<double>(sockets) * share); };
    for (std::size_t kind = 0; kind < peer_kinds; ++kind) {
        auto& budget = kinds_[kind];
        if (shares[kind].guaranteed > 0)
            budget.guaranteed = std::max<std::size_t>(1, part(shares[kind].guaranteed));
        budget.limit = std::max({std::size_t{1}, budget.guaranteed, part(shares[kind].limit)});
    }
}

// Returns true if a socket is free for this kind. The unused part of the other kinds' guarantees is not free.
bool SocketBudget::fits(PeerKind kind) const {
    auto& budget = kinds_[index(kind)];
    if (budget.usage.used < budget.guaranteed) return true;
    if (budget.usage.used >= budget.limit) return false;
    std::size_t committed = 0;
    for (auto& each : kinds_) committed += std::max(each.usage.used, each.guaranteed);
    return committed < sockets_;
}

bool SocketBudget::reclaim_from(PeerKind kind) {
    return std::any_of(reclaimers_.begin(), reclaimers_.end(), [&](auto& reclaim) { return reclaim(kind); });
}

// Closes one idle connection to free a socket for this kind: a connection of another kind beyond that kind's
// guarantee, or else a connection of this kind. Returns true if a socket is now free for this kind.
bool SocketBudget::reclaim_for(PeerKind kind) {
    auto& budget = kinds_[index(kind)];
    if (budget.usage.used < budget.limit)
        for (auto other : reclaim_order) {
            auto& victim = kinds_[index(other)];
            bool is_beyond_guarantee = other != kind && victim.usage.used > victim.guaranteed;
            if (is_beyond_guarantee && reclaim_from(other)) return fits(kind);
        }
    return reclaim_from(kind) && fits(kind);
}

bool SocketBudget::take(PeerKind kind) {
    auto& usage = kinds_[index(kind)].usage;
    if (!fits(kind) && !reclaim_for(kind)) {
        ++usage.refused;
        return false;
    }
    ++usage.used;
    usage.peak = std::max(usage.peak, usage.used);
    return true;
}

void SocketBudget::give_back(PeerKind kind) {
    --kinds_[index(kind)].usage.used;
}

bool SocketBudget::reclassify(PeerKind from, PeerKind to) {
    if (from == to) return true;
    auto& from_usage = kinds_[index(from)].usage;
    --from_usage.used;
    if (take(to)) return true;
    ++from_usage.used;
    return false;
}

bool SocketBudget::nearly_full(PeerKind kind, double share) const {
    auto& budget = kinds_[index(kind)];
    return static_cast<double>(budget.usage.used) > static_cast<double>(budget.limit) * share;
}

std::uint64_t SocketBudget::refused() const {
    std::uint64_t sum = 0;
    for (auto& budget : kinds_) sum += budget.usage.refused;
    return sum;
}

std::string SocketBudget::text() const {
    std::string out;
    for (std::size_t kind = 0; kind < peer_kinds; ++kind) {
        auto& usage = kinds_[kind].usage;
        if (!out.empty()) out += ", ";
        out.append(peer_kind_names[kind]).append(" ").append(std::to_string(usage.used));
        out.append(" (at most ").append(std::to_string(usage.peak));
        out.append(" of ").append(std::to_string(kinds_[kind].limit)).append(", ");
        out.append(std::to_string(usage.refused)).append(" refused)");
    }
    return out;
}

}  // namespace coralhitch::http
