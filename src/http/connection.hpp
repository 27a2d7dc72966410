// A socket with a write buffer and a parser, shared by client and server.
//
// Owns its socket and its place in the event loop. One message is read at a time: pipelined requests are not
// supported. Runs on the event loop's thread; errors of the system are results, never exceptions.
#pragma once
#include <http_parser.h>
#include <sys/epoll.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "event_loop/event_loop.hpp"

namespace coralhitch::http {

// In bytes.
struct MessageLimits {
    std::size_t body = std::size_t{64} * 1024;
    std::size_t head = std::size_t{16} * 1024;  // request line or status line and headers together
};

// One HTTP message, as far as it is read. Requests have a method and a target, responses a status.
struct Incoming {
    std::string method;
    std::string target;
    std::string body;
    std::string type;  // of the body
    int status = 0;
    bool keep_alive = true;    // the sender doesn't close the connection after this message
    double retry_after_s = 0;  // 0: no such header
};

class Connection {
  public:
    enum class ReadResult {
        incomplete,  // more has to come
        complete,    // incoming() holds the message
        closed,      // by the peer, or by an error
        malformed,
        too_large,  // beyond the limits
    };
    // Who made the connection. Of an accepted one, events also tell when the peer has closed its side.
    enum class Origin { accepted, opened };

    // `type`: whether requests or responses are read.
    Connection(event_loop::EventLoop& loop, event_loop::Fd fd, http_parser_type type,
               const MessageLimits& limits);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Calls the handler with the epoll flags that are ready. To be called once, before all that follows.
    void watch(event_loop::EventLoop::Handler handler, Origin origin);
    void set_lane(event_loop::Lane lane) { loop_.set_lane(fd_.get(), lane); }

    // Reads what has come, up to the end of a message.
    [[nodiscard]] ReadResult read();
    // The message that read() has completed; the caller may move it out.
    [[nodiscard]] Incoming& incoming() { return incoming_; }
    // Forgets the message just handled, and is ready for the next.
    void next();
    // Whether the peer has sent more, or closed its side. Leaves what it sent to be read.
    [[nodiscard]] bool has_input() const;

    // Adds to the write buffer; flush() sends.
    void write(std::string bytes);
    // Sends what the socket takes; the rest goes with the next writable event. False: the connection is
    // closed.
    [[nodiscard]] bool flush();
    // Whether some of what was written is still to be sent.
    [[nodiscard]] bool has_unsent() const { return sent_bytes_ < unsent_.size(); }

  private:
    // Callbacks of the parser.
    static int on_field(http_parser* parser, const char* data, std::size_t size);
    static int on_value(http_parser* parser, const char* data, std::size_t size);
    static int on_url(http_parser* parser, const char* data, std::size_t size);
    static int on_body(http_parser* parser, const char* data, std::size_t size);
    static int on_complete(http_parser* parser);
    static int on_headers(http_parser* parser);
    static const http_parser_settings& callbacks();

    // What is known of the message that is being read.
    struct Parsing {
        std::string field;  // of the header that is being read
        std::string value;
        bool in_value = false;
        std::size_t head_bytes = 0;
        bool complete = false;
        bool too_large = false;
    };
    [[nodiscard]] bool grow_head(std::size_t bytes);
    void finish_header();
    void reset_parser(http_parser_type type);
    [[nodiscard]] ReadResult parse(const char* data, std::size_t size);

    event_loop::EventLoop& loop_;
    event_loop::Fd fd_;
    MessageLimits limits_;
    http_parser parser_{};
    Incoming incoming_;
    Parsing parsing_;
    std::string unsent_;
    std::size_t sent_bytes_ = 0;           // of `unsent_`
    std::uint32_t watched_events_ = 0;     // epoll flags that are watched
    std::uint32_t base_events_ = EPOLLIN;  // those of them that are watched with nothing to send, too
};

}  // namespace coralhitch::http
