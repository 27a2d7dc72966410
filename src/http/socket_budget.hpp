// Divides a process's sockets among the kinds of peers at the other end of its connections.
//
// Each kind of peer has a guaranteed number of sockets, which no other kind can take, and a limit. Sockets
// that are not guaranteed to any kind are given out in the order of requests. When no socket is left for a
// kind, an idle connection of a kind that holds more than its guarantee is closed, or else an idle connection
// of the same kind.
//
// Owns the counts, not the sockets. Used by servers and clients on the event loop's thread. The budget must
// outlive them.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>

namespace coralhitch::http {

// The peer at the other end of a connection.
enum class PeerKind {
    user,        // users, health checks, metrics, and public connections before their first request
    worker,      // accepted connections that have carried a heartbeat
    controller,  // connections accepted from other controllers
    service,     // connections opened to the key-value store, the cloud and other controllers
    machine,     // connections opened to workers
};
inline constexpr std::size_t peer_kinds = 5;
// Names of the kinds in logs and metrics, by PeerKind.
inline constexpr std::array<std::string_view, peer_kinds> peer_kind_names = {
    "users", "workers", "controllers", "services", "machines"};

// A kind's guarantee and limit, as ratios to all sockets. The sum of all guarantees must be at most 1.
struct SocketShare {
    double guaranteed = 0;
    double limit = 1;
};
using SocketShares = std::array<SocketShare, peer_kinds>;  // by PeerKind

// The shares of a controller.
inline constexpr SocketShares controller_shares = {{
    {0.12, 0.40},  // users
    {0.40, 0.68},  // workers
    {0.04, 0.04},  // controllers
    {0.08, 0.12},  // services
    {0.06, 0.20},  // machines
}};
// Part of the process's file descriptors that the budget may use for sockets. The rest is left for listeners,
// files and connections being closed.
inline constexpr double usable_sockets = 0.96;

// Counts the sockets in use by kind of peer, and refuses those beyond the shares.
class SocketBudget {
  public:
    // Counts of one kind's sockets.
    struct Usage {
        std::size_t used = 0;
        std::size_t peak = 0;       // maximum of `used` so far
        std::uint64_t refused = 0;  // requests for a socket that failed so far
    };

    // Divides `sockets` by the shares. A kind with a guarantee above 0 is guaranteed at least one socket.
    SocketBudget(std::size_t sockets, const SocketShares& shares);
    // Lets any kind take all of `sockets`.
    explicit SocketBudget(std::size_t sockets) : SocketBudget(sockets, SocketShares{}) {}
    SocketBudget(const SocketBudget&) = delete;
    SocketBudget& operator=(const SocketBudget&) = delete;

    // Takes a socket for a peer of this kind, for which an idle connection may be closed. Returns false if no
    // socket is left.
    [[nodiscard]] bool take(PeerKind kind);
    // Returns a socket that was taken for a peer of this kind.
    void give_back(PeerKind kind);
    // Counts a connection's socket as one of the kind `to` instead of `from`. Returns false if no socket is
    // left for `to`; the socket then still counts as one of `from`.
    [[nodiscard]] bool reclassify(PeerKind from, PeerKind to);
    // Returns true if a kind holds more than this share of its limit.
    [[nodiscard]] bool nearly_full(PeerKind kind, double share) const;

    [[nodiscard]] const Usage& usage(PeerKind kind) const { return kinds_[index(kind)].usage; }
    [[nodiscard]] std::size_t used(PeerKind kind) const { return usage(kind).used; }
    [[nodiscard]] std::uint64_t refused() const;  // of all kinds
    // Returns a summary for logs with the used sockets, peak, limit and refusals of each kind.
    [[nodiscard]] std::string text() const;

    // Closes an idle connection to a peer of this kind and gives its socket back. Returns false if there is
    // none.
    using Reclaim = std::function<bool(PeerKind)>;
    // Identifies a registered function.
    using Reclaimer = std::list<Reclaim>::iterator;
    // Registers a function that closes idle connections, until remove_reclaimer() is called.
    [[nodiscard]] Reclaimer add_reclaimer(Reclaim reclaim) {
        return reclaimers_.insert(reclaimers_.end(), std::move(reclaim));
    }
    void remove_reclaimer(Reclaimer reclaimer) { reclaimers_.erase(reclaimer); }

  private:
    // One kind's guarantee and limit in sockets, and its usage.
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
