// A socket with a write buffer and a parser, shared by client and server.
//
// Owns its socket and the socket's registration in the event loop. One message is read at a time: pipelined
// requests are not supported. Runs on the event loop's thread. Errors of reading and writing are returned as
// results, not thrown.
#pragma once
#include <http_parser.h>
#include <sys/epoll.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "event_loop/event_loop.hpp"

namespace coralhitch::http {

// Size limits of one message, in bytes.
struct MessageLimits {
    std::size_t body = std::size_t{64} * 1024;
    std::size_t head = std::size_t{16} * 1024;  // request line or status line and headers together
};

// One HTTP message, as far as it has been read. Requests have a method and a target, responses a status.
struct Incoming {
    std::string method;
    std::string target;
    std::string body;
    std::string type;  // content type of the body
    int status = 0;
    bool keep_alive = true;    // the sender keeps the connection open after this message
    double retry_after_s = 0;  // 0 without a Retry-After header
};

// Reads and writes messages on one non-blocking socket.
class Connection {
  public:
    enum class ReadResult {
        incomplete,  // the message continues in later input
        complete,    // incoming() holds the message
        closed,      // the peer closed the connection, or an error occurred
        malformed,
        too_large,  // the message exceeds the limits
    };
    // The side that opened the connection. The handler of an accepted connection also gets an event
    // (EPOLLRDHUP) when the peer closes its side.
    enum class Origin { accepted, opened };

    // `type` selects the messages to read: HTTP_REQUEST or HTTP_RESPONSE. `loop` must outlive the connection.
    Connection(event_loop::EventLoop& loop, event_loop::Fd fd, http_parser_type type,
               const MessageLimits& limits);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Registers the handler, which is called with the epoll flags that are ready. Must be called once, before
    // any other function. Throws std::system_error if the system refuses.
    void watch(event_loop::EventLoop::Handler handler, Origin origin);
    void set_lane(event_loop::Lane lane) { loop_.set_lane(fd_.get(), lane); }

    // Reads the input that has arrived, up to the end of a message.
    [[nodiscard]] ReadResult read();
    // Returns the message that read() has completed. The caller may move out of it.
    [[nodiscard]] Incoming& incoming() { return incoming_; }
    // Drops the message that was handled, so that the next one can be read.
    void reset_for_next_message();
    // Returns true if unread input has arrived or the peer has closed its side. Does not consume the input.
    [[nodiscard]] bool has_input() const;

    // Appends to the write buffer, which flush() sends.
    void write(std::string bytes);
    // Sends as much of the write buffer as the socket accepts, and requests a writable event for the rest.
    // Returns false if the connection has failed.
    [[nodiscard]] bool flush();
    // Returns true if the write buffer holds bytes that are not sent yet.
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

    // State of the message that is being read.
    struct Parsing {
        std::string field;  // name of the header that is being read
        std::string value;  // value of that header
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
    std::size_t sent_bytes_ = 0;           // sent part of `unsent_`
    std::uint32_t watched_events_ = 0;     // epoll flags that are watched now
    std::uint32_t base_events_ = EPOLLIN;  // epoll flags watched even with nothing to send
};

}  // namespace coralhitch::http
