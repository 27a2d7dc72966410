// An HTTP server: accepts connections within a socket budget, and hands complete requests to a handler.
//
// Owns its listener and its connections. Runs on the event loop's thread. A reply may be given at any later
// time, also once the connection or the server is gone, when nothing comes of it. What peers do wrong costs
// them their connection, and nobody else's.
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

struct ServerLimits {
    MessageLimits message;
    std::size_t connections = 1000;  // not used with a budget
    double request_s = 10;  // a request must be complete this long after its first byte or the connection
    double idle_s = 120;
    // Without a request for so long, a worker has gone elsewhere, and its connection may be closed for
    // another: one that sends its heartbeats here would have done so.
    double bulk_reclaim_s = 7;
    double bulk_idle_s = 20;  // it is closed then, though the socket is not needed
    // An accepted connection without a request may be closed for another after this.
    double first_request_s = 1;
    // Above this share of what its kind of peers may hold no connection is kept open.
    double keep_share = 0.9;
    double retry_after_s = 1;            // sent with each rejection
    std::size_t accepts_per_event = 16;  // at once, in between other events
    event_loop::Lane lane = event_loop::Lane::urgent;
    // Requests that wait for others when there is more to do than can be done, by their path. A connection
    // that has carried one is taken for such a peer's from then on: when the peer closes it, what it sent
    // last is not read any more.
    std::function<bool(const std::string& path)> is_bulk = {};
    PeerKind kind = PeerKind::user;  // of all others
    // Shared with other servers and clients; must live longer than the server.
    SocketBudget* budget = nullptr;
    std::function<void()> on_bulk_refused = {};  // a bulk request was refused for want of sockets
};

class Server {
  public:
    // Throws std::system_error if it can't listen on the address. The loop must outlive the server.
    Server(event_loop::EventLoop& loop, const std::string& addr, ServerLimits limits, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    [[nodiscard]] std::size_t connections() const { return peers_.size(); }

  private:
    using PeerId = std::uint64_t;
    enum class Phase {
        idle,       // no byte of a next request so far
        reading,    // a part of a request has come
        answering,  // the handler has the request
        closing,    // the last answer is being sent
    };
    // What the peer has sent so far.
    enum class Traffic { none, ordinary, bulk };
    struct Peer {
        std::unique_ptr<Connection> connection;
        event_loop::TimerId timer = 0;
        double timer_due = 0;
        double deadline = 0;  // when the connection is closed; the timer may fire earlier
        Phase phase = Phase::idle;
        Traffic traffic = Traffic::none;
        PeerKind kind = PeerKind::user;
        // Its place in the list of idle connections with its traffic; nothing while it is not idle.
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
    // Idle connections by their traffic, the one that was used longest ago first.
    std::array<std::list<PeerId>, 3> idle_peers_;
    PeerId next_id_ = 1;
    std::unordered_map<PeerId, Peer> peers_;
    // Answers may come after the server is gone; they look here first.
    std::shared_ptr<Server*> alive_;
};

}  // namespace coralhitch::http
