// An HTTP server that accepts connections within a socket budget and passes complete requests to a handler.
//
// Owns its listener and its connections. Runs on the event loop's thread. A reply may be given at any later
// time, and is ignored if the connection or the server no longer exists. A peer that sends malformed or
// oversized requests loses its connection, and other connections are not affected.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "http/connection.hpp"
#include "http/message.hpp"
#include "http/socket_budget.hpp"

namespace coralhitch::http {

// Limits and options of a server. Times in seconds.
struct ServerLimits {
    MessageLimits message;
    std::size_t connections = 1000;  // ignored if `budget` is set
    // Time within which a request must be complete, from its first byte. For PeerKind::user also the time
    // within which a new connection must send its first byte.
    double request_s = 10;
    // Time after which a connection is closed if its handler gives no answer, or, except for a worker's
    // connection, if no request starts.
    double idle_s = 120;
    // Idle time after which a worker's connection may be closed to free its socket. A worker that still sends
    // its heartbeats here would have sent one within this time, so it has turned to another controller.
    double bulk_reclaim_s = 7;
    // Idle time after which a worker's connection is closed even if its socket is not needed.
    double bulk_idle_s = 20;
    // Idle time after which any other accepted connection may be closed to free its socket, also before its
    // first request.
    double ordinary_reclaim_s = 1;
    // Ratio to the socket limit of a kind of peers. Above it connections are closed after each answer.
    double keep_share = 0.9;
    double retry_after_s = 1;                          // sent when a worker is refused for lack of sockets
    std::size_t accepts_per_event = 16;                // connections accepted before other events are handled
    event_loop::Lane lane = event_loop::Lane::urgent;  // of connections without a bulk request so far
    // Returns true for bulk requests (workers' heartbeats), selected by path. Under overload they are handled
    // after all other events (Lane::bulk). A connection that has carried one counts as a worker's from then
    // on, and when the peer closes it, its last request is not read.
    std::function<bool(const std::string& path)> is_bulk = {};
    PeerKind kind = PeerKind::user;  // kind of the peers that have not sent a bulk request
    // Shared with other servers and clients. Must outlive the server.
    SocketBudget* budget = nullptr;
    // Called when a bulk request is refused because no socket is left for workers.
    std::function<void()> on_bulk_refused = {};
};

// Listens on one address and serves its connections.
class Server {
  public:
    // Throws std::system_error if the server cannot listen on the address. The loop must outlive the server.
    Server(event_loop::EventLoop& loop, const std::string& addr, ServerLimits limits, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    [[nodiscard]] std::size_t connections() const { return peers_.size(); }

  private:
    using PeerId = std::uint64_t;
    // State of a connection.
    enum class Phase {
        idle,       // no byte of a request has arrived
        reading,    // a part of a request has arrived
        answering,  // the handler has the request
        closing,    // the last answer is being sent
    };
    // The kind of requests that the peer has sent so far.
    enum class Traffic { none, ordinary, bulk };
    // An accepted connection and its state.
    struct Peer {
        std::unique_ptr<Connection> connection;
        event_loop::TimerId timer = 0;
        double timer_due = 0;
        double deadline = 0;  // steady time at which the connection is closed; the timer may fire earlier
        Phase phase = Phase::idle;
        Traffic traffic = Traffic::none;
        PeerKind kind = PeerKind::user;
        // Position in the list of idle connections with the same traffic, or nullopt while not idle.
        std::optional<std::list<PeerId>::iterator> idle_position;
        double idle_since = 0;
    };
    void accept_all();
    void add_peer(event_loop::Fd fd);
    void set_idle(PeerId id, Peer& peer);
    void set_busy(Peer& peer);
    [[nodiscard]] std::list<PeerId>& idle_peers(Traffic traffic) {
        return idle_peers_[static_cast<std::size_t>(traffic)];
    }
    [[nodiscard]] bool admit_bulk(Peer& peer);
    [[nodiscard]] bool close_idle(PeerKind kind);
    [[nodiscard]] bool close_longest_idle(Traffic traffic, double idle_s);

    void handle_event(PeerId id, std::uint32_t events);
    void read(PeerId id, Peer& peer);
    void refuse(PeerId id, Peer& peer, int status);
    void serve(PeerId id);
    void answer(PeerId id, const Response& response, bool keep_alive);

    void set_deadline(PeerId id, Peer& peer, double seconds);
    void handle_timer(PeerId id);
    void close(PeerId id);

    event_loop::EventLoop& loop_;
    event_loop::Fd listener_;
    ServerLimits limits_;
    Handler handler_;
    SocketBudget own_budget_;
    SocketBudget& budget_;
    SocketBudget::Reclaimer reclaimer_registration_;
    // Idle connections by their traffic, the connection that has been idle for longest first.
    std::array<std::list<PeerId>, 3> idle_peers_;
    PeerId next_id_ = 1;
    std::unordered_map<PeerId, Peer> peers_;
    // Holds nullptr once the server is destroyed. Replies check it, because they may be given later.
    std::shared_ptr<Server*> alive_;
};

}  // namespace coralhitch::http
