// A socket with a write buffer and a parser, shared by client and server.
#pragma once
#include <http_parser.h>
#include <sys/epoll.h>

#include <memory>
#include <string>

#include "event_loop/event_loop.hpp"

namespace coralhitch::http {

struct Limits {
    std::size_t body = 64 * 1024;  // largest body taken
    std::size_t head = 16 * 1024;  // request line or status line and headers together
};

// One HTTP message as it is read.
struct Incoming {
    std::string method, target, body, field, value, type;
    int status = 0;
    bool keep_alive = true, complete = false, too_large = false;
    std::size_t head = 0;
    double retry_after_s = 0;
};

class Connection {
  public:
    enum class State { open, closed, bad };
    Connection(event_loop::EventLoop& loop, event_loop::Fd fd, http_parser_type type, Limits limits);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Of one that was accepted, events also tell when the peer has closed its side.
    enum class Side { accepted, connecting };
    void listen_events(event_loop::EventLoop::Handler handler, Side side);
    void set_lane(event_loop::Lane lane) { loop_.set_lane(fd_.get(), lane); }
    State read();   // fills incoming()
    State flush();  // writes what it can
    void write(std::string bytes);
    bool pending() const { return written_ < out_.size(); }
    Incoming& incoming() { return in_; }
    void next();  // forget the message just handled
    int fd() const { return fd_.get(); }

  private:
    static int on_field(http_parser* p, const char* at, std::size_t n);
    static int on_value(http_parser* p, const char* at, std::size_t n);
    static int on_url(http_parser* p, const char* at, std::size_t n);
    static int on_body(http_parser* p, const char* at, std::size_t n);
    static int on_complete(http_parser* p);
    static int on_headers(http_parser* p);
    static const http_parser_settings& callbacks();
    bool grow_head(std::size_t n);
    void header_done();

    event_loop::EventLoop& loop_;
    event_loop::Fd fd_;
    Limits limits_;
    http_parser parser_{};
    Incoming in_;
    bool in_value_ = false;
    std::string out_;
    std::size_t written_ = 0;
    std::uint32_t events_ = 0, always_ = EPOLLIN;
};

}  // namespace coralhitch::http
