// An HTTP client that keeps connections open for reuse, with one request on each at a time.
//
// Owns its connections. Runs on the event loop's thread. Every failure (no socket left, no connection, no
// answer in time, a malformed answer) is reported as an absent response, never by an exception. Each result
// callback is called exactly once, never from within send(), and not at all if the client is destroyed first.
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

// Limits and options of a client. Times in seconds.
struct ClientLimits {
    std::size_t response = std::size_t{8} * 1024 * 1024;  // size of a response body, in bytes
    std::size_t connections = 500;  // with more, requests fail at once; ignored if `budget` is set
    std::size_t idle_per_addr = 4;  // idle connections kept for each address
    // Time after which an idle connection is closed. Opening one costs several times as much as a request.
    double idle_s = 300;
    // Returns true for bulk requests, selected by path. Under overload their answers are handled after all
    // other events (Lane::bulk). Their connections count as connections to machines, all others as
    // connections to services.
    std::function<bool(const std::string& path)> is_bulk = {};
    SocketBudget* budget = nullptr;  // shared with servers; must outlive the client
};

// Sends requests over a pool of connections.
class Client : public Requester {
  public:
    // The loop must outlive the client.
    Client(event_loop::EventLoop& loop, ClientLimits limits);
    ~Client() override;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    void send(const std::string& addr, Request request, double timeout_s, Result result) override;

  private:
    using ConnectionId = std::uint64_t;
    // A connection of the pool, idle or with a request in progress.
    struct OpenConnection {
        std::string addr;
        std::unique_ptr<Connection> connection;
        Result result;                     // of the request in progress
        event_loop::TimerId timer = 0;     // request time-out, or the closing of the idle connection
        std::uint64_t request_number = 0;  // number of requests sent on this connection
        PeerKind kind = PeerKind::service;
        bool idle = false;
        std::list<ConnectionId>::iterator idle_position;  // in the idle list of its kind; valid while idle
    };
    enum class Reuse { yes, no };

    [[nodiscard]] std::optional<ConnectionId> take_idle(const std::string& addr);
    [[nodiscard]] std::optional<ConnectionId> open_connection(const std::string& addr,
                                                              const std::string& target);
    void handle_event(ConnectionId id, std::uint32_t events);
    void handle_timeout(ConnectionId id, std::uint64_t request_number);
    void finish(ConnectionId id, std::optional<Response> response, Reuse reuse);
    void fail(ConnectionId id) { finish(id, std::nullopt, Reuse::no); }
    void close(ConnectionId id);
    [[nodiscard]] bool close_idle(PeerKind kind);
    [[nodiscard]] std::list<ConnectionId>& idle_order(PeerKind kind) {
        return idle_order_[static_cast<std::size_t>(kind)];
    }

    event_loop::EventLoop& loop_;
    ClientLimits limits_;
    SocketBudget own_budget_;
    SocketBudget& budget_;
    SocketBudget::Reclaimer reclaimer_registration_;
    ConnectionId next_id_ = 1;
    std::unordered_map<ConnectionId, OpenConnection> connections_;
    std::unordered_map<std::string, std::list<ConnectionId>> idle_by_addr_;
    // All idle connections by their kind, the connection that has been idle for longest first.
    std::array<std::list<ConnectionId>, peer_kinds> idle_order_;
};

}  // namespace coralhitch::http
