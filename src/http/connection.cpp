#include "http/connection.hpp"

#include <strings.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>

namespace coralhitch::http {
namespace {
Connection& self(http_parser* p) {
    return *static_cast<Connection*>(p->data);
}
}  // namespace

Connection::Connection(event_loop::EventLoop& loop, event_loop::Fd fd, http_parser_type type, Limits limits)
    : loop_(loop), fd_(std::move(fd)), limits_(limits) {
    http_parser_init(&parser_, type);
    parser_.data = this;
}
Connection::~Connection() {
    if (fd_) loop_.unwatch(fd_.get());
}

bool Connection::grow_head(std::size_t n) {
    in_.head += n;
    if (in_.head > limits_.head) in_.too_large = true;
    return !in_.too_large;
}
void Connection::header_done() {
    if (strcasecmp(in_.field.c_str(), "retry-after") == 0) in_.retry_after_s = std::atof(in_.value.c_str());
    if (strcasecmp(in_.field.c_str(), "content-type") == 0) in_.type = in_.value;
    in_.field.clear();
    in_.value.clear();
    in_value_ = false;
}
int Connection::on_field(http_parser* p, const char* at, std::size_t n) {
    auto& c = self(p);
    if (c.in_value_) c.header_done();
    if (!c.grow_head(n)) return 1;
    c.in_.field.append(at, n);
    return 0;
}
int Connection::on_value(http_parser* p, const char* at, std::size_t n) {
    auto& c = self(p);
    c.in_value_ = true;
    if (!c.grow_head(n)) return 1;
    c.in_.value.append(at, n);
    return 0;
}
int Connection::on_url(http_parser* p, const char* at, std::size_t n) {
    auto& c = self(p);
    if (!c.grow_head(n)) return 1;
    c.in_.target.append(at, n);
    return 0;
}
int Connection::on_headers(http_parser* p) {
    auto& c = self(p);
    if (c.in_value_) c.header_done();
    if (p->content_length != ULLONG_MAX && p->content_length > c.limits_.body) {
        c.in_.too_large = true;
        return -1;
    }
    return 0;
}
int Connection::on_body(http_parser* p, const char* at, std::size_t n) {
    auto& c = self(p);
    if (c.in_.body.size() + n > c.limits_.body) {
        c.in_.too_large = true;
        return 1;
    }
    c.in_.body.append(at, n);
    return 0;
}
int Connection::on_complete(http_parser* p) {
    auto& c = self(p);
    c.in_.complete = true;
    c.in_.keep_alive = http_should_keep_alive(p) != 0;
    c.in_.status = static_cast<int>(p->status_code);
    if (p->type == HTTP_REQUEST) c.in_.method = http_method_str(static_cast<http_method>(p->method));
    http_parser_pause(p, 1);
    return 0;
}
const http_parser_settings& Connection::callbacks() {
    static const http_parser_settings s = [] {
        http_parser_settings v;
        http_parser_settings_init(&v);
        v.on_url = on_url;
        v.on_header_field = on_field;
        v.on_header_value = on_value;
        v.on_headers_complete = on_headers;
        v.on_body = on_body;
        v.on_message_complete = on_complete;
        return v;
    }();
    return s;
}

void Connection::listen_events(event_loop::EventLoop::Handler handler, Side side) {
    if (side == Side::accepted) always_ |= EPOLLRDHUP;
    events_ = side == Side::connecting ? always_ | EPOLLOUT : always_;
    loop_.watch(fd_.get(), events_, std::move(handler));
}

Connection::State Connection::read() {
    std::array<char, 16 * 1024> buffer;
    while (!in_.complete) {
        ssize_t n = ::recv(fd_.get(), buffer.data(), buffer.size(), 0);
        if (n < 0) {
            if (errno == EINTR) continue;
            if (errno == EAGAIN || errno == EWOULDBLOCK) return State::open;
            return State::closed;
        }
        if (n == 0) {
            http_parser_execute(&parser_, &callbacks(), buffer.data(), 0);  // a body may end with the stream
            return in_.complete ? State::open : State::closed;
        }
        http_parser_execute(&parser_, &callbacks(), buffer.data(), static_cast<std::size_t>(n));
        if (in_.too_large) return State::bad;
        auto err = HTTP_PARSER_ERRNO(&parser_);
        if (err != HPE_OK && !(err == HPE_PAUSED && in_.complete)) return State::bad;
        if (static_cast<std::size_t>(n) < buffer.size()) break;
    }
    return State::open;
}
void Connection::next() {
    in_ = {};
    in_value_ = false;
    // Nobody pipelines: what may still lie in the buffer of the last read belongs to no message.
    http_parser_init(&parser_, static_cast<http_parser_type>(parser_.type));
    parser_.data = this;
}
void Connection::write(std::string bytes) {
    if (!pending()) {
        out_ = std::move(bytes);
        written_ = 0;
    } else {
        out_ += bytes;
    }
}
Connection::State Connection::flush() {
    while (pending()) {
        ssize_t n = ::send(fd_.get(), out_.data() + written_, out_.size() - written_, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EINTR) continue;
            if (errno == EAGAIN || errno == EWOULDBLOCK) break;
            return State::closed;
        }
        written_ += static_cast<std::size_t>(n);
    }
    if (!pending()) {
        out_.clear();
        written_ = 0;
    }
    std::uint32_t want = always_ | (pending() ? EPOLLOUT : 0u);
    if (want != events_) {
        events_ = want;
        loop_.set_events(fd_.get(), want);
    }
    return State::open;
}

}  // namespace coralhitch::http
