#pragma once
#include <array>
#include <list>
#include <unordered_map>

#include "http/connection.hpp"
#include "http/message.hpp"
#include "http/socket_budget.hpp"

namespace coralhitch::http {

struct ClientLimits {
    std::size_t response = 8 * 1024 * 1024;
    std::size_t connections = 500;  // above this, requests fail at once; not used with a budget
    std::size_t idle_per_addr = 4;
    double idle_s = 300;  // to open one costs several times as much as a request
    // Requests whose answers wait for others when there is more to do than can be done, by their path. Their
    // connections are those to machines, all others those to services.
    std::function<bool(const std::string& path)> bulk = {};
    SocketBudget* budget = nullptr;  // shared with servers; must live longer than the client
};

// Keeps connections open for reuse. One request is on a connection at a time.
class Client : public Requester {
  public:
    Client(event_loop::EventLoop& loop, ClientLimits limits);
    ~Client() override;
    void send(const std::string& addr, Request request, double timeout_s, Result result) override;

  private:
    struct Call {
        std::string addr;
        std::unique_ptr<Connection> connection;
        Result result;
        event_loop::TimerId timer = 0;
        std::uint64_t number = 0;  // of requests, so far
        PeerKind kind = PeerKind::service;
        bool idle = false;
        std::list<std::uint64_t>::iterator in_order;  // while idle
    };
    void on_event(std::uint64_t id, std::uint32_t events);
    void too_late(std::uint64_t id, std::uint64_t number);
    void finish(std::uint64_t id, std::optional<Response> r, bool reuse);
    void drop(std::uint64_t id);
    bool reclaim(PeerKind kind);
    std::uint64_t take_idle(const std::string& addr);

    event_loop::EventLoop& loop_;
    ClientLimits limits_;
    SocketBudget own_budget_;
    SocketBudget& budget_;
    SocketBudget::Reclaimer reclaimer_;
    std::uint64_t next_ = 1;
    std::unordered_map<std::uint64_t, Call> calls_;
    std::unordered_map<std::string, std::list<std::uint64_t>> idle_;
    // All idle connections by their kind, the one unused for longest first.
    std::array<std::list<std::uint64_t>, peer_kinds> idle_order_;
    std::list<std::uint64_t>& idle_order(PeerKind kind) {
        return idle_order_[static_cast<std::size_t>(kind)];
    }
};

}  // namespace coralhitch::http
