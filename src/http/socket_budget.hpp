// How a process's sockets are shared out among those at the other end of its connections.
//
// Each kind of peer has a number of sockets that no other kind can take, and a number that it can't exceed.
// What is not guaranteed to anybody goes to whoever asks first. When there is no socket left for a kind,
// connections that lie idle are closed, as far as their kind holds more than its guarantee.
//
// Owns the counts, not the sockets. Used on the event loop's thread, by servers and clients, which must end
// before it.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>

namespace coralhitch::http {

enum class PeerKind {
    user,        // users, health checks and metrics; an accepted connection until its first request is read
    worker,      // accepted connections that have carried a heartbeat
    controller,  // accepted from other controllers
    service,     // opened to the key-value store, the cloud and other controllers
    machine,     // opened to workers
};
inline constexpr std::size_t peer_kinds = 5;
inline constexpr std::array<std::string_view, peer_kinds> peer_kind_names = {
    "users", "workers", "controllers", "services", "machines"};

// Ratios to all sockets. The guarantees together must be at most 1.
struct SocketShare {
    double guaranteed = 0;
    double limit = 1;
};
using SocketShares = std::array<SocketShare, peer_kinds>;  // by PeerKind

// What a controller goes by. The rest, a twenty-fifth, is for listeners, files and connections being closed.
inline constexpr SocketShares controller_shares = {{
    {0.12, 0.40},  // users
    {0.40, 0.68},  // workers
    {0.04, 0.04},  // controllers
    {0.08, 0.12},  // services
    {0.06, 0.20},  // machines
}};
inline constexpr double usable_sockets = 0.96;

class SocketBudget {
  public:
    struct Usage {
        std::size_t used = 0;
        std::size_t peak = 0;       // most in use at once so far
        std::uint64_t refused = 0;  // so far: no socket was left
    };

    // At least one socket is guaranteed to each kind that has a guarantee.
    SocketBudget(std::size_t sockets, const SocketShares& shares);
    // Any kind may take all of `sockets`.
    explicit SocketBudget(std::size_t sockets) : SocketBudget(sockets, SocketShares{}) {}
    SocketBudget(const SocketBudget&) = delete;
    SocketBudget& operator=(const SocketBudget&) = delete;

    // Takes a socket for a peer of this kind, or returns false. Idle connections may be closed for it.
    [[nodiscard]] bool take(PeerKind kind);
    void give_back(PeerKind kind);
    // A connection turns out to belong to a peer of another kind. False: that kind has no socket left, and
    // the connection counts as it did.
    [[nodiscard]] bool move(PeerKind from, PeerKind to);
    // Whether a kind holds more than this share of what it may hold.
    [[nodiscard]] bool nearly_full(PeerKind kind, double share) const;

    [[nodiscard]] const Usage& usage(PeerKind kind) const { return kinds_[index(kind)].usage; }
    [[nodiscard]] std::size_t used(PeerKind kind) const { return usage(kind).used; }
    [[nodiscard]] std::uint64_t refused() const;  // of all kinds
    [[nodiscard]] std::string text() const;       // of each kind: used, peak, limit, refused

    // Closes an idle connection to a peer of this kind, which gives its socket back, or returns false.
    using Reclaim = std::function<bool(PeerKind)>;
    using Reclaimer = std::list<Reclaim>::iterator;
    [[nodiscard]] Reclaimer add(Reclaim reclaim) {
        return reclaimers_.insert(reclaimers_.end(), std::move(reclaim));
    }
    void remove(Reclaimer reclaimer) { reclaimers_.erase(reclaimer); }

  private:
    // In sockets.
    struct KindBudget {
        std::size_t guaranteed = 0;
        std::size_t limit = 0;
        Usage usage;
    };
    static std::size_t index(PeerKind kind) { return static_cast<std::size_t>(kind); }
    [[nodiscard]] bool fits(PeerKind kind) const;
    [[nodiscard]] bool reclaim_for(PeerKind kind);
    [[nodiscard]] bool reclaim_from(PeerKind kind);

    std::size_t sockets_;
    std::array<KindBudget, peer_kinds> kinds_;
    std::list<Reclaim> reclaimers_;
};

}  // namespace coralhitch::http
