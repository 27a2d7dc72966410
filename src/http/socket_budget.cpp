#include "http/socket_budget.hpp"

#include <algorithm>
#include <cmath>

namespace coralhitch::http {
namespace {
// Whose idle connections are closed first: what is opened again at need, then workers that have gone
// elsewhere.
constexpr std::array order = {PeerKind::machine, PeerKind::worker, PeerKind::user, PeerKind::service};
}  // namespace

SocketBudget::SocketBudget(std::size_t sockets, const SocketShares& shares) : sockets_(sockets) {
    auto part = [&](double share) { return static_cast<std::size_t>(static_cast<double>(sockets) * share); };
    for (std::size_t k = 0; k < peer_kinds; ++k) {
        if (shares[k].guaranteed > 0)
            kinds_[k].guaranteed = std::max<std::size_t>(1, part(shares[k].guaranteed));
        kinds_[k].most = std::max({std::size_t{1}, kinds_[k].guaranteed, part(shares[k].most)});
    }
}

// What a kind has not taken of its guarantee counts as taken for all others.
bool SocketBudget::fits(PeerKind kind) const {
    auto& k = kinds_[index(kind)];
    if (k.use.used < k.guaranteed) return true;
    if (k.use.used >= k.most) return false;
    std::size_t committed = 0;
    for (auto& each : kinds_) committed += std::max(each.use.used, each.guaranteed);
    return committed < sockets_;
}
bool SocketBudget::reclaim(PeerKind kind) {
    return std::any_of(reclaim_.begin(), reclaim_.end(), [&](auto& r) { return r(kind); });
}
bool SocketBudget::make_room(PeerKind kind) {
    auto& k = kinds_[index(kind)];
    if (k.use.used < k.most)
        for (auto other : order) {
            auto& o = kinds_[index(other)];
            if (other != kind && o.use.used > o.guaranteed && reclaim(other)) return fits(kind);
        }
    return reclaim(kind) && fits(kind);
}
bool SocketBudget::take(PeerKind kind) {
    auto& use = kinds_[index(kind)].use;
    if (!fits(kind) && !make_room(kind)) {
        ++use.refused;
        return false;
    }
    use.peak = std::max(use.peak, ++use.used);
    return true;
}
void SocketBudget::give_back(PeerKind kind) {
    --kinds_[index(kind)].use.used;
}
bool SocketBudget::move(PeerKind from, PeerKind to) {
    if (from == to) return true;
    --kinds_[index(from)].use.used;
    if (take(to)) return true;
    ++kinds_[index(from)].use.used;
    return false;
}
bool SocketBudget::nearly_full(PeerKind kind, double share) const {
    auto& k = kinds_[index(kind)];
    return static_cast<double>(k.use.used) > static_cast<double>(k.most) * share;
}

std::uint64_t SocketBudget::refused() const {
    std::uint64_t n = 0;
    for (auto& k : kinds_) n += k.use.refused;
    return n;
}
std::string SocketBudget::text() const {
    std::string out;
    for (std::size_t k = 0; k < peer_kinds; ++k) {
        auto& use = kinds_[k].use;
        out += (out.empty() ? "" : ", ") + std::string(peer_kind_names[k]) + " " + std::to_string(use.used) +
               " (at most " + std::to_string(use.peak) + " of " + std::to_string(kinds_[k].most) + ", " +
               std::to_string(use.refused) + " refused)";
    }
    return out;
}

}  // namespace coralhitch::http
