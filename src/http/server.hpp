#pragma once
#include <functional>
#include <list>
#include <unordered_map>

#include "http/connection.hpp"
#include "http/message.hpp"
#include "http/socket_budget.hpp"

namespace coralhitch::http {

struct ServerLimits {
    Limits message;
    std::size_t connections = 1000;  // not used with a budget
    double request_s = 10;  // a request must be complete this long after its first byte or the connection
    double idle_s = 120;
    // Without a request for so long, a worker has gone elsewhere: one that reports here would have done so.
    double bulk_quiet_s = 7;
    double bulk_idle_s = 20;  // it is closed then, though the socket is not needed
    // An accepted connection without a request may be closed for another after this.
    double first_s = 1;
    double keep_share =
        0.9;  // above this share of what its kind of peers may hold no connection is kept open
    double retry_after_s = 1;  // told to those that are refused
    std::size_t accepts = 16;  // at once, in between other events
    event_loop::Lane lane = event_loop::Lane::urgent;
    // Requests that wait for others when there is more to do than can be done, by their path. A connection
    // that has carried one is taken for such a peer's from then on: when the peer closes it, what it sent
    // last is not read any more.
    std::function<bool(const std::string& path)> bulk = {};
    PeerKind kind = PeerKind::user;  // of all others
    SocketBudget* budget =
        nullptr;  // shared with other servers and clients; must live longer than the server
    std::function<void()> shed = {};  // called when a bulk request is refused for want of sockets
};

class Server {
  public:
    Server(event_loop::EventLoop& loop, const std::string& addr, ServerLimits limits, Handler handler);
    ~Server();
    std::size_t connections() const { return clients_.size(); }

  private:
    struct Client {
        std::unique_ptr<Connection> connection;
        event_loop::TimerId timer = 0;
        double timer_due = 0, deadline = 0;
        bool busy = false, closing = false, started = false, bulk = false, spoke = false;
        PeerKind kind = PeerKind::user;
        std::list<std::uint64_t>* line = nullptr;  // where it stands while it lies idle
        std::list<std::uint64_t>::iterator in_line;
        double idle_since = 0;
    };
    void idle(std::uint64_t id, Client& c);
    void awake(Client& c);
    bool admit_bulk(Client& c);
    bool reclaim(PeerKind kind);
    bool reclaim_first(std::list<std::uint64_t>& line, double idle_s);
    void accept_all();
    void on_event(std::uint64_t id, std::uint32_t events);
    void serve(std::uint64_t id);
    void answer(std::uint64_t id, const Response& r, bool keep_alive);
    void arm(std::uint64_t id, Client& c, double seconds);
    void expire(std::uint64_t id);
    void close(std::uint64_t id);

    event_loop::EventLoop& loop_;
    event_loop::Fd listener_;
    ServerLimits limits_;
    Handler handler_;
    SocketBudget own_budget_;
    SocketBudget& budget_;
    SocketBudget::Reclaimer reclaimer_;
    // Idle connections, the one that spoke longest ago first: those without a request so far, others,
    // workers.
    std::list<std::uint64_t> silent_, quiet_, bulk_quiet_;
    std::uint64_t next_ = 1;
    std::unordered_map<std::uint64_t, Client> clients_;
    // Answers may come after the server is gone; they look here first.
    std::shared_ptr<Server*> alive_;
};

}  // namespace coralhitch::http
