#include "http/client.hpp"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>

#include "http/address.hpp"

namespace coralhitch::http {
namespace {
constexpr std::size_t max_response_head_bytes = std::size_t{64} * 1024;

std::string to_bytes(const std::string& addr, const Request& request) {
    std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + addr;
    if (!request.body.empty() || request.method == "POST")
        bytes += "\r\nContent-Type: " + request.type +
                 "\r\nContent-Length: " + std::to_string(request.body.size());
    bytes += "\r\n\r\n";
    bytes += request.body;
    return bytes;
}

// Returns a socket that is connected or being connected, or an empty Fd if the system reports an error.
event_loop::Fd start_connecting(const sockaddr_in& address) {
    event_loop::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd) return fd;
    int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (::connect(fd.get(), generic, sizeof address) < 0 && errno != EINPROGRESS) fd.reset();
    return fd;
}
}  // namespace

Client::Client(event_loop::EventLoop& loop, ClientLimits limits)
    : loop_(loop),
      limits_(std::move(limits)),
      own_budget_(limits_.connections),
      budget_(limits_.budget ? *limits_.budget : own_budget_),
      reclaimer_registration_(budget_.add_reclaimer([this](PeerKind kind) { return close_idle(kind); })) {}

Client::~Client() {
    budget_.remove_reclaimer(reclaimer_registration_);
    for (auto& [id, open] : connections_) {
        loop_.cancel(open.timer);
        budget_.give_back(open.kind);
    }
}

std::optional<Client::ConnectionId> Client::take_idle(const std::string& addr) {
    auto idle = idle_by_addr_.find(addr);
    if (idle == idle_by_addr_.end() || idle->second.empty()) return std::nullopt;
    auto id = idle->second.back();
    idle->second.pop_back();
    auto& open = connections_.at(id);
    idle_order(open.kind).erase(open.idle_position);
    return id;
}

// Closes the connection that has been idle for longest. With more machines than sockets, idle connections
// would otherwise hold every socket, and each new request would be refused until the first of them timed out.
bool Client::close_idle(PeerKind kind) {
    if (idle_order(kind).empty()) return false;
    close(idle_order(kind).front());
    return true;
}

std::optional<Client::ConnectionId> Client::open_connection(const std::string& addr,
                                                            const std::string& target) {
    auto address = socket_address(addr);
    bool is_bulk = limits_.is_bulk && limits_.is_bulk(target);
    auto kind = is_bulk ? PeerKind::machine : PeerKind::service;
    if (!address || !budget_.take(kind)) return std::nullopt;
    auto fd = start_connecting(*address);
    if (!fd) {
        budget_.give_back(kind);
        return std::nullopt;
    }
    auto id = next_id_++;
    auto& open = connections_[id];
    open.addr = addr;
    open.kind = kind;
    open.connection = std::make_unique<Connection>(loop_, std::move(fd), HTTP_RESPONSE,
                                                   MessageLimits{limits_.response, max_response_head_bytes});
    open.connection->watch([this, id](std::uint32_t events) { handle_event(id, events); },
                           Connection::Origin::opened);
    if (is_bulk) open.connection->set_lane(event_loop::Lane::bulk);
    return id;
}

void Client::send(const std::string& addr, Request request, double timeout_s, Result result) {
    auto idle = take_idle(addr);
    auto taken = idle ? idle : open_connection(addr, request.target);
    if (!taken) {
        loop_.after(0, [result = std::move(result)] { result(std::nullopt); });
        return;
    }
    auto id = *taken;
    auto& open = connections_.at(id);
    open.idle = false;
    open.result = std::move(result);
    loop_.cancel(open.timer);
    auto number = ++open.request_number;
    open.timer = loop_.after(timeout_s, [this, id, number] { handle_timeout(id, number); });
    open.connection->write(to_bytes(addr, request));
    // A new connection is flushed by its first writable event, once it is established.
    if (idle && !open.connection->flush()) loop_.after(0, [this, id] { fail(id); });
}

// Reads once more before the request fails, because the answer may have arrived and still wait for its turn
// in the bulk lane. When such answers were dropped, the requests were sent again: most of the answers to the
// probes that a new leader sent to thousands of machines were lost in this way.
void Client::handle_timeout(ConnectionId id, std::uint64_t request_number) {
    handle_event(id, EPOLLIN);
    auto found = connections_.find(id);
    if (found != connections_.end() && found->second.request_number == request_number) fail(id);
}

void Client::close(ConnectionId id) {
    auto found = connections_.find(id);
    if (found == connections_.end()) return;
    auto& open = found->second;
    loop_.cancel(open.timer);
    if (open.idle) {
        auto idle = idle_by_addr_.find(open.addr);
        idle->second.remove(id);
        idle_order(open.kind).erase(open.idle_position);
        if (idle->second.empty()) idle_by_addr_.erase(idle);
    }
    budget_.give_back(open.kind);
    connections_.erase(found);
}

void Client::finish(ConnectionId id, std::optional<Response> response, Reuse reuse) {
    auto found = connections_.find(id);
    if (found == connections_.end() || found->second.idle) return;
    auto& open = found->second;
    Result result = std::move(open.result);
    auto& idle = idle_by_addr_[open.addr];
    if (reuse == Reuse::yes && idle.size() < limits_.idle_per_addr) {
        open.idle = true;
        open.connection->reset_for_next_message();
        idle.push_back(id);
        auto& order = idle_order(open.kind);
        open.idle_position = order.insert(order.end(), id);
        loop_.cancel(open.timer);
        open.timer = loop_.after(limits_.idle_s, [this, id] { close(id); });
    } else {
        if (idle.empty()) idle_by_addr_.erase(open.addr);
        close(id);
    }
    result(std::move(response));
}

void Client::handle_event(ConnectionId id, std::uint32_t events) {
    auto found = connections_.find(id);
    if (found == connections_.end()) return;
    auto& open = found->second;
    if (open.idle) return close(id);  // closed by the peer, or the peer sent data without a request
    if ((events & EPOLLOUT) && !open.connection->flush()) return fail(id);
    if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
    auto result = open.connection->read();
    if (result == Connection::ReadResult::incomplete) return;
    if (result != Connection::ReadResult::complete) return fail(id);
    auto& incoming = open.connection->incoming();
    auto reuse = incoming.keep_alive ? Reuse::yes : Reuse::no;
    finish(
        id,
        Response{incoming.status, std::move(incoming.body), std::move(incoming.type), incoming.retry_after_s},
        reuse);
}

}  // namespace coralhitch::http
