#pragma once
#include <functional>
#include <unordered_map>

#include "http/connection.hpp"
#include "http/message.hpp"

namespace coralhitch::http {

struct ServerLimits {
    Limits message;
    std::size_t connections = 1000;
    double request_s = 10;  // a request must be complete this long after its first byte
    double idle_s = 120;
    double keep_share = 0.9;   // above this share of the connections none is kept open
    std::size_t accepts = 16;  // at once, in between other events
    loop::Lane lane = loop::Lane::urgent;
    // Requests that wait for others when there is more to do than can be done, by their path. A connection
    // that has carried one is taken for such a peer's from then on: when the peer closes it, what it sent
    // last is not read any more.
    std::function<bool(const std::string& path)> bulk = {};
};

class Server {
  public:
    Server(loop::Loop& loop, const std::string& addr, ServerLimits limits, Handler handler);
    ~Server();
    std::size_t connections() const { return clients_.size(); }

  private:
    struct Client {
        std::unique_ptr<Connection> connection;
        loop::TimerId timer = 0;
        double timer_due = 0, deadline = 0;
        bool busy = false, closing = false, started = false, bulk = false;
    };
    void accept_all();
    void on_event(std::uint64_t id, std::uint32_t events);
    void serve(std::uint64_t id);
    void answer(std::uint64_t id, const Response& r, bool keep_alive);
    void arm(std::uint64_t id, Client& c, double seconds);
    void expire(std::uint64_t id);
    void close(std::uint64_t id);

    loop::Loop& loop_;
    loop::Fd listener_;
    ServerLimits limits_;
    Handler handler_;
    std::uint64_t next_ = 1;
    std::unordered_map<std::uint64_t, Client> clients_;
    // Answers may come after the server is gone; they look here first.
    std::shared_ptr<Server*> alive_;
};

}  // namespace coralhitch::http
