// How a process's sockets are shared out among those at the other end of its connections.
//
// Each kind of peer has a number of sockets that no other kind can take, and a number that it can't exceed.
// What is not guaranteed to anybody goes to whoever asks first. When there is no socket left for a kind,
// connections that lie idle are closed, as far as their kind holds more than its guarantee.
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
    worker,      // accepted connections that have carried a report
    controller,  // accepted from other controllers
    service,     // opened to the key-value store, the cloud and other controllers
    machine,     // opened to workers
};
inline constexpr std::size_t peer_kinds = 5;
inline constexpr std::array<std::string_view, peer_kinds> peer_kind_names = {
    "users", "workers", "controllers", "services", "machines"};

// Ratios to all sockets. The guarantees together must be at most 1.
struct SocketShare {
    double guaranteed = 0, most = 1;
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
    // At least one socket is guaranteed to each kind that has a guarantee.
    SocketBudget(std::size_t sockets, const SocketShares& shares);
    // Any kind may take all of `sockets`.
    explicit SocketBudget(std::size_t sockets) : SocketBudget(sockets, SocketShares{}) {}
    SocketBudget(const SocketBudget&) = delete;
    SocketBudget& operator=(const SocketBudget&) = delete;

    // Takes a socket for a peer of this kind, or returns false. Idle connections may be closed for it.
    bool take(PeerKind kind);
    void give_back(PeerKind kind);
    // A connection turns out to belong to a peer of another kind. False: that kind has no socket left, and
    // the connection counts as it did.
    bool move(PeerKind from, PeerKind to);
    // Whether a kind holds more than this share of what it may hold.
    bool nearly_full(PeerKind kind, double share) const;
    struct Use {
        std::size_t used = 0, peak = 0;
        std::uint64_t refused = 0;  // so far: no socket was left
    };
    const Use& use(PeerKind kind) const { return kinds_[index(kind)].use; }
    std::size_t used(PeerKind kind) const { return use(kind).used; }
    std::uint64_t refused() const;  // of all kinds
    std::string text() const;       // of each kind: used, at most so far, of how many, refused

    // Closes an idle connection to a peer of this kind, which gives its socket back, or returns false.
    using Reclaim = std::function<bool(PeerKind)>;
    using Reclaimer = std::list<Reclaim>::iterator;
    Reclaimer add(Reclaim reclaim) { return reclaim_.insert(reclaim_.end(), std::move(reclaim)); }
    void remove(Reclaimer r) { reclaim_.erase(r); }

  private:
    struct JobKind {
        std::size_t guaranteed = 0, most = 0;
        Use use;
    };
    static std::size_t index(PeerKind kind) { return static_cast<std::size_t>(kind); }
    bool fits(PeerKind kind) const;
    bool make_room(PeerKind kind);
    bool reclaim(PeerKind kind);

    std::size_t sockets_;
    std::array<JobKind, peer_kinds> kinds_;
    std::list<Reclaim> reclaim_;
};

}  // namespace coralhitch::http
