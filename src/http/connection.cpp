#include "http/connection.hpp"

#include <strings.h>
#include <sys/socket.h>

#include <cerrno>
#include <climits>
#include <cstdlib>

namespace coralhitch::http {
namespace {
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;

// Return values of the parser's callbacks, to continue or to stop with an error. The callback for the end of
// the headers needs a different error code, because its return value 1 means that the message has no body.
constexpr int proceed = 0;
constexpr int abort_parsing = 1;
constexpr int abort_after_headers = -1;

Connection& connection_of(http_parser* parser) {
    return *static_cast<Connection*>(parser->data);
}

bool is_try_again(int error) {
    return error == EAGAIN || error == EWOULDBLOCK;
}
}  // namespace

Connection::Connection(event_loop::EventLoop& loop, event_loop::Fd fd, http_parser_type type,
                       const MessageLimits& limits)
    : loop_(loop), fd_(std::move(fd)), limits_(limits) {
    reset_parser(type);
}

Connection::~Connection() {
    if (fd_) loop_.unwatch(fd_.get());
}

// --- Reading --------------------------------------------------------------------------------------------

void Connection::reset_parser(http_parser_type type) {
    http_parser_init(&parser_, type);
    parser_.data = this;
}

bool Connection::grow_head(std::size_t bytes) {
    parsing_.head_bytes += bytes;
    if (parsing_.head_bytes > limits_.head) parsing_.too_large = true;
    return !parsing_.too_large;
}

void Connection::finish_header() {
    auto is_named = [&](const char* name) { return strcasecmp(parsing_.field.c_str(), name) == 0; };
    if (is_named("retry-after")) incoming_.retry_after_s = std::atof(parsing_.value.c_str());
    if (is_named("content-type")) incoming_.type = parsing_.value;
    parsing_.field.clear();
    parsing_.value.clear();
    parsing_.in_value = false;
}

int Connection::on_field(http_parser* parser, const char* data, std::size_t size) {
    auto& self = connection_of(parser);
    if (self.parsing_.in_value) self.finish_header();
    if (!self.grow_head(size)) return abort_parsing;
    self.parsing_.field.append(data, size);
    return proceed;
}

int Connection::on_value(http_parser* parser, const char* data, std::size_t size) {
    auto& self = connection_of(parser);
    self.parsing_.in_value = true;
    if (!self.grow_head(size)) return abort_parsing;
    self.parsing_.value.append(data, size);
    return proceed;
}

int Connection::on_url(http_parser* parser, const char* data, std::size_t size) {
    auto& self = connection_of(parser);
    if (!self.grow_head(size)) return abort_parsing;
    self.incoming_.target.append(data, size);
    return proceed;
}

int Connection::on_headers(http_parser* parser) {
    auto& self = connection_of(parser);
    if (self.parsing_.in_value) self.finish_header();
    bool has_length = parser->content_length != ULLONG_MAX;
    if (!has_length || parser->content_length <= self.limits_.body) return proceed;
    self.parsing_.too_large = true;
    return abort_after_headers;
}

int Connection::on_body(http_parser* parser, const char* data, std::size_t size) {
    auto& self = connection_of(parser);
    if (self.incoming_.body.size() + size > self.limits_.body) {
        self.parsing_.too_large = true;
        return abort_parsing;
    }
    self.incoming_.body.append(data, size);
    return proceed;
}

int Connection::on_complete(http_parser* parser) {
    auto& self = connection_of(parser);
    self.parsing_.complete = true;
    self.incoming_.keep_alive = http_should_keep_alive(parser) != 0;
    self.incoming_.status = static_cast<int>(parser->status_code);
    if (parser->type == HTTP_REQUEST)
        self.incoming_.method = http_method_str(static_cast<http_method>(parser->method));
    http_parser_pause(parser, 1);
    return proceed;
}

const http_parser_settings& Connection::callbacks() {
    static const http_parser_settings settings = [] {
        http_parser_settings all;
        http_parser_settings_init(&all);
        all.on_url = on_url;
        all.on_header_field = on_field;
        all.on_header_value = on_value;
        all.on_headers_complete = on_headers;
        all.on_body = on_body;
        all.on_message_complete = on_complete;
        return all;
    }();
    return settings;
}

Connection::ReadResult Connection::parse(const char* data, std::size_t size) {
    http_parser_execute(&parser_, &callbacks(), data, size);
    if (parsing_.too_large) return ReadResult::too_large;
    auto error = HTTP_PARSER_ERRNO(&parser_);
    bool is_paused_at_end = error == HPE_PAUSED && parsing_.complete;
    if (error != HPE_OK && !is_paused_at_end) return ReadResult::malformed;
    return parsing_.complete ? ReadResult::complete : ReadResult::incomplete;
}

Connection::ReadResult Connection::read() {
    char buffer[read_buffer_bytes];  // left uninitialized, since recv() fills it before each use
    while (!parsing_.complete) {
        ssize_t received = ::recv(fd_.get(), buffer, sizeof buffer, 0);
        if (received < 0) {
            if (errno == EINTR) continue;
            return is_try_again(errno) ? ReadResult::incomplete : ReadResult::closed;
        }
        if (received == 0) {
            // A body without a length ends with the stream. Size 0 tells the parser that the stream has
            // ended.
            http_parser_execute(&parser_, &callbacks(), buffer, 0);
            return parsing_.complete ? ReadResult::complete : ReadResult::closed;
        }
        auto size = static_cast<std::size_t>(received);
        auto result = parse(buffer, size);
        if (result != ReadResult::incomplete || size < sizeof buffer) return result;
    }
    return ReadResult::complete;
}

void Connection::reset_for_next_message() {
    incoming_ = {};
    parsing_ = {};
    // Pipelining is not supported: bytes that were read after the end of the last message are dropped.
    reset_parser(static_cast<http_parser_type>(parser_.type));
}

bool Connection::has_input() const {
    char byte = 0;
    ssize_t received = ::recv(fd_.get(), &byte, 1, MSG_PEEK);
    return received >= 0 || (errno != EAGAIN && errno != EINTR);
}

// --- Writing --------------------------------------------------------------------------------------------

void Connection::watch(event_loop::EventLoop::Handler handler, Origin origin) {
    if (origin == Origin::accepted) base_events_ |= EPOLLRDHUP;
    watched_events_ = origin == Origin::opened ? base_events_ | EPOLLOUT : base_events_;
    loop_.watch(fd_.get(), watched_events_, std::move(handler));
}

void Connection::write(std::string bytes) {
    if (has_unsent()) {
        unsent_ += bytes;
        return;
    }
    unsent_ = std::move(bytes);
    sent_bytes_ = 0;
}

bool Connection::flush() {
    while (has_unsent()) {
        ssize_t sent =
            ::send(fd_.get(), unsent_.data() + sent_bytes_, unsent_.size() - sent_bytes_, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EINTR) continue;
            if (is_try_again(errno)) break;
            return false;
        }
        sent_bytes_ += static_cast<std::size_t>(sent);
    }
    if (!has_unsent()) {
        unsent_.clear();
        sent_bytes_ = 0;
    }
    std::uint32_t wanted = base_events_ | (has_unsent() ? EPOLLOUT : 0U);
    if (wanted != watched_events_) {
        watched_events_ = wanted;
        loop_.set_events(fd_.get(), wanted);
    }
    return true;
}

}  // namespace coralhitch::http
