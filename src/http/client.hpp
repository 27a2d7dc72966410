// An HTTP client that keeps connections open for reuse, one request on each at a time.
//
// Owns its connections. Runs on the event loop's thread. What fails (no socket left, no connection, no answer
// in time, a malformed one) is reported as an absent response, never by an exception; each result callback is
// called exactly once, unless the client is destroyed before, and never from within send().
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

struct ClientLimits {
    std::size_t response = std::size_t{8} * 1024 * 1024;  // bytes of a body
    std::size_t connections = 500;  // above this, requests fail at once; not used with a budget
    std::size_t idle_per_addr = 4;
    double idle_s = 300;  // to open a connection costs several times as much as a request
    // Requests whose answers wait for others when there is more to do than can be done, by their path. Their
    // connections are those to machines, all others those to services.
    std::function<bool(const std::string& path)> is_bulk = {};
    SocketBudget* budget = nullptr;  // shared with servers; must live longer than the client
};

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
    struct OpenConnection {
        std::string addr;
        std::unique_ptr<Connection> connection;
        Result result;                     // of the request under way
        event_loop::TimerId timer = 0;     // the request's timeout; while idle, when it is closed
        std::uint64_t request_number = 0;  // of requests on this connection, so far
        PeerKind kind = PeerKind::service;
        bool idle = false;
        std::list<ConnectionId>::iterator idle_position;  // in its kind's list; valid while idle
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
    // All idle connections by their kind, the one unused for longest first.
    std::array<std::list<ConnectionId>, peer_kinds> idle_order_;
};

}  // namespace coralhitch::http
