#include "http/server.hpp"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "http/address.hpp"

namespace coralhitch::http {
namespace {
const char* reason(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 413:
            return "Payload Too Large";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Entity";
        case 429:
            return "Too Many Requests";
        case 503:
            return "Service Unavailable";
        default:
            return "Unknown";
    }
}
}  // namespace

Server::Server(event_loop::EventLoop& loop, const std::string& addr, ServerLimits limits, Handler handler)
    : loop_(loop),
      limits_(std::move(limits)),
      handler_(std::move(handler)),
      own_budget_(limits_.connections),
      budget_(limits_.budget ? *limits_.budget : own_budget_),
      reclaimer_(budget_.add([this](PeerKind kind) { return reclaim(kind); })),
      alive_(std::make_shared<Server*>(this)) {
    auto sa = socket_address(addr);
    listener_.reset(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!sa || !listener_ || ::bind(listener_.get(), reinterpret_cast<sockaddr*>(&*sa), sizeof *sa) < 0 ||
        ::listen(listener_.get(), 1024) < 0)
        throw std::system_error(errno, std::generic_category(), "can't listen on " + addr);
    loop_.watch(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
}
Server::~Server() {
    *alive_ = nullptr;
    budget_.remove(reclaimer_);
    for (auto& [id, c] : clients_) {
        loop_.cancel(c.timer);
        budget_.give_back(c.kind);
    }
    loop_.unwatch(listener_.get());
}

void Server::accept_all() {
    for (std::size_t k = 0; k < limits_.accepts; ++k) {
        event_loop::Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) return;  // EAGAIN, or out of descriptors: the next event tries again
        if (!budget_.take(limits_.kind)) continue;  // shed: closed at once, others are not disturbed
        int on = 1;
        ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto id = next_++;
        auto& c = clients_[id];
        c.connection = std::make_unique<Connection>(loop_, std::move(fd), HTTP_REQUEST, limits_.message);
        c.connection->listen_events([this, id](std::uint32_t e) { on_event(id, e); },
                                    Connection::Side::accepted);
        c.connection->set_lane(limits_.lane);
        c.kind = limits_.kind;
        arm(id, c, limits_.kind == PeerKind::user ? limits_.request_s : limits_.idle_s);
        idle(id, c);
    }
}
void Server::idle(std::uint64_t id, Client& c) {
    awake(c);
    c.idle_since = loop_.now();
    c.line = c.bulk ? &bulk_quiet_ : c.spoke ? &quiet_ : &silent_;
    c.in_line = c.line->insert(c.line->end(), id);
}
void Server::awake(Client& c) {
    if (c.line) std::exchange(c.line, nullptr)->erase(c.in_line);
}
bool Server::reclaim_first(std::list<std::uint64_t>& line, double idle_s) {
    if (line.empty() || loop_.now() - clients_.at(line.front()).idle_since < idle_s) return false;
    close(line.front());
    return true;
}
bool Server::reclaim(PeerKind kind) {
    if (kind == PeerKind::worker) return reclaim_first(bulk_quiet_, limits_.bulk_quiet_s);
    if (kind != limits_.kind) return false;
    return reclaim_first(silent_, limits_.first_s) || reclaim_first(quiet_, limits_.first_s);
}
// The first request tells that this is a worker: it counts as one, and users have their socket back.
bool Server::admit_bulk(Client& c) {
    if (!budget_.move(c.kind, PeerKind::worker)) return false;
    c.kind = PeerKind::worker;
    c.bulk = true;
    c.connection->set_lane(event_loop::Lane::bulk);
    return true;
}
void Server::arm(std::uint64_t id, Client& c, double seconds) {
    // A timer that is due no later looks at the deadline when it fires: to set it anew with each request took
    // more time than reading it.
    c.deadline = loop_.now() + seconds;
    if (c.timer != 0 && c.timer_due <= c.deadline) return;
    loop_.cancel(c.timer);
    c.timer_due = c.deadline;
    c.timer = loop_.after(seconds, [this, id] { expire(id); });
}
void Server::expire(std::uint64_t id) {
    auto& c = clients_.at(id);
    c.timer = 0;
    double left = c.deadline - loop_.now();
    if (left <= 0) return close(id);
    arm(id, c, left);
}
void Server::close(std::uint64_t id) {
    auto it = clients_.find(id);
    if (it == clients_.end()) return;
    loop_.cancel(it->second.timer);
    awake(it->second);
    budget_.give_back(it->second.kind);
    clients_.erase(it);
}
void Server::on_event(std::uint64_t id, std::uint32_t events) {
    auto it = clients_.find(id);
    if (it == clients_.end()) return;
    auto& c = it->second;
    if (events & EPOLLOUT) {
        if (c.connection->flush() != Connection::State::open) return close(id);
        if (c.closing && !c.connection->pending()) return close(id);
    }
    // Its sender has given up waiting. To read it all the same would let the next ones wait until they give
    // up, too, and then nobody is answered in time any more.
    if (c.bulk && (events & EPOLLRDHUP)) return close(id);
    if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
    if (c.busy || c.closing) {
        // Readable while a request is being answered: the peer gave up, or breaks the protocol.
        if (events & (EPOLLHUP | EPOLLERR)) return close(id);
        char byte;
        ssize_t n = ::recv(c.connection->fd(), &byte, 1, MSG_PEEK);
        if (n >= 0 || (errno != EAGAIN && errno != EINTR)) close(id);
        return;
    }
    switch (c.connection->read()) {
        case Connection::State::closed:
            return close(id);
        case Connection::State::bad: {
            bool large = c.connection->incoming().too_large;
            c.busy = true;
            awake(c);
            return answer(id, {large ? 413 : 400, "{}"}, false);
        }
        case Connection::State::open:
            break;
    }
    if (c.connection->incoming().complete) return serve(id);
    if (!c.started) {
        c.started = true;
        awake(c);
        arm(id, c, limits_.request_s);  // a slow sender holds its place for a bounded time
    }
}
void Server::serve(std::uint64_t id) {
    auto& c = clients_.at(id);
    auto& in = c.connection->incoming();
    Request r{std::move(in.method), std::move(in.target), std::move(in.body), std::move(in.type)};
    bool keep = in.keep_alive;
    c.busy = true;
    c.spoke = true;
    awake(c);
    // Refused before it is read: it costs nothing but this, and its worker goes to another controller.
    if (!c.bulk && limits_.bulk && limits_.bulk(r.target) && !admit_bulk(c)) {
        if (limits_.shed) limits_.shed();
        return answer(id, {503, "{}", "application/json", limits_.retry_after_s}, false);
    }
    arm(id, c, limits_.idle_s);
    std::weak_ptr<Server*> alive = alive_;
    handler_(std::move(r), [alive, id, keep](Response response) {
        if (auto s = alive.lock(); s && *s) (*s)->answer(id, response, keep);
    });
}
void Server::answer(std::uint64_t id, const Response& r, bool keep_alive) {
    auto it = clients_.find(id);
    if (it == clients_.end() || !it->second.busy) return;
    auto& c = it->second;
    // Nearly full: connections are closed after each answer, so that more peers than places are still served,
    // and none is turned away.
    if (budget_.nearly_full(c.kind, limits_.keep_share)) keep_alive = false;
    // A worker that is refused goes to another controller, and would hold a socket at both.
    if (c.bulk && r.status != 200) keep_alive = false;
    std::string out = "HTTP/1.1 " + std::to_string(r.status) + " " + reason(r.status) +
                      "\r\nContent-Type: " + r.type + "\r\nContent-Length: " + std::to_string(r.body.size());
    if (r.retry_after_s > 0)
        out += "\r\nRetry-After: " + std::to_string(static_cast<int>(r.retry_after_s + 0.999));
    if (!keep_alive) out += "\r\nConnection: close";
    out += "\r\n\r\n";
    out += r.body;
    c.busy = false;
    c.started = false;
    c.closing = !keep_alive;
    c.connection->next();
    c.connection->write(std::move(out));
    if (c.connection->flush() != Connection::State::open) return close(id);
    if (c.closing && !c.connection->pending()) return close(id);
    arm(id, c, c.bulk ? limits_.bulk_idle_s : limits_.idle_s);
    if (!c.closing) idle(id, c);
}

}  // namespace coralhitch::http
