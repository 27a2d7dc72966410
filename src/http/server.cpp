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
constexpr int listen_backlog = 1024;

const char* reason_phrase(int status) {
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

// Returns a listening socket. Throws std::system_error if the address is malformed or cannot be used.
event_loop::Fd listen_on(const std::string& addr) {
    auto address = socket_address(addr);
    event_loop::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!address || !fd ||
        ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) < 0 ||
        ::listen(fd.get(), listen_backlog) < 0)
        throw std::system_error(errno, std::generic_category(), "can't listen on " + addr);
    return fd;
}

std::string to_bytes(const Response& response, bool keep_alive) {
    constexpr double round_up = 0.999;  // the header takes whole seconds
    std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) +
                        "\r\nContent-Type: " + response.type +
                        "\r\nContent-Length: " + std::to_string(response.body.size());
    if (response.retry_after_s > 0)
        bytes += "\r\nRetry-After: " + std::to_string(static_cast<int>(response.retry_after_s + round_up));
    if (!keep_alive) bytes += "\r\nConnection: close";
    bytes += "\r\n\r\n";
    bytes += response.body;
    return bytes;
}
}  // namespace

Server::Server(event_loop::EventLoop& loop, const std::string& addr, ServerLimits limits, Handler handler)
    : loop_(loop),
      listener_(listen_on(addr)),
      limits_(std::move(limits)),
      handler_(std::move(handler)),
      own_budget_(limits_.connections),
      budget_(limits_.budget ? *limits_.budget : own_budget_),
      reclaimer_registration_(budget_.add_reclaimer([this](PeerKind kind) { return close_idle(kind); })),
      alive_(std::make_shared<Server*>(this)) {
    loop_.watch(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
}

Server::~Server() {
    *alive_ = nullptr;
    budget_.remove_reclaimer(reclaimer_registration_);
    for (auto& [id, peer] : peers_) {
        loop_.cancel(peer.timer);
        budget_.give_back(peer.kind);
    }
    loop_.unwatch(listener_.get());
}

// --- Connections and sockets ----------------------------------------------------------------------------

void Server::accept_all() {
    for (std::size_t accepted = 0; accepted < limits_.accepts_per_event; ++accepted) {
        event_loop::Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) return;  // EAGAIN, or out of file descriptors: retried at the next event
        if (!budget_.take(limits_.kind)) continue;  // no socket left: closes `fd`, not the connections in use
        add_peer(std::move(fd));
    }
}

void Server::add_peer(event_loop::Fd fd) {
    int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto id = next_id_++;
    auto& peer = peers_[id];
    peer.connection = std::make_unique<Connection>(loop_, std::move(fd), HTTP_REQUEST, limits_.message);
    peer.connection->watch([this, id](std::uint32_t events) { handle_event(id, events); },
                           Connection::Origin::accepted);
    peer.connection->set_lane(limits_.lane);
    peer.kind = limits_.kind;
    set_deadline(id, peer, limits_.kind == PeerKind::user ? limits_.request_s : limits_.idle_s);
    set_idle(id, peer);
}

void Server::set_idle(PeerId id, Peer& peer) {
    set_busy(peer);
    peer.idle_since = loop_.now();
    auto& peers = idle_peers(peer.traffic);
    peer.idle_position = peers.insert(peers.end(), id);
}

// Removes the peer from its list of idle connections. Must be called before `traffic` changes, which selects
// the list.
void Server::set_busy(Peer& peer) {
    if (!peer.idle_position) return;
    idle_peers(peer.traffic).erase(*peer.idle_position);
    peer.idle_position.reset();
}

bool Server::close_longest_idle(Traffic traffic, double idle_s) {
    auto& peers = idle_peers(traffic);
    if (peers.empty() || loop_.now() - peers_.at(peers.front()).idle_since < idle_s) return false;
    close(peers.front());
    return true;
}

bool Server::close_idle(PeerKind kind) {
    if (kind == PeerKind::worker) return close_longest_idle(Traffic::bulk, limits_.bulk_reclaim_s);
    if (kind != limits_.kind) return false;
    return close_longest_idle(Traffic::none, limits_.ordinary_reclaim_s) ||
           close_longest_idle(Traffic::ordinary, limits_.ordinary_reclaim_s);
}

// Counts the connection as a worker's from its first heartbeat on. This frees the socket for the kind that it
// was counted as. Returns false if no socket is left for workers.
bool Server::admit_bulk(Peer& peer) {
    if (!budget_.reclassify(peer.kind, PeerKind::worker)) return false;
    peer.kind = PeerKind::worker;
    peer.traffic = Traffic::bulk;
    peer.connection->set_lane(event_loop::Lane::bulk);
    return true;
}

void Server::set_deadline(PeerId id, Peer& peer, double seconds) {
    // A timer that fires before the deadline sets itself again, so an earlier timer is kept. Setting a new
    // timer for each request took more time than reading the request.
    peer.deadline = loop_.now() + seconds;
    if (peer.timer != 0 && peer.timer_due <= peer.deadline) return;
    loop_.cancel(peer.timer);
    peer.timer_due = peer.deadline;
    peer.timer = loop_.after(seconds, [this, id] { handle_timer(id); });
}

void Server::handle_timer(PeerId id) {
    auto& peer = peers_.at(id);
    peer.timer = 0;
    double left_s = peer.deadline - loop_.now();
    if (left_s <= 0) return close(id);
    set_deadline(id, peer, left_s);
}

void Server::close(PeerId id) {
    auto found = peers_.find(id);
    if (found == peers_.end()) return;
    auto& peer = found->second;
    loop_.cancel(peer.timer);
    set_busy(peer);
    budget_.give_back(peer.kind);
    peers_.erase(found);
}

// --- Requests and answers -------------------------------------------------------------------------------

void Server::handle_event(PeerId id, std::uint32_t events) {
    auto found = peers_.find(id);
    if (found == peers_.end()) return;
    auto& peer = found->second;
    if (events & EPOLLOUT) {
        if (!peer.connection->flush()) return close(id);
        if (peer.phase == Phase::closing && !peer.connection->has_unsent()) return close(id);
    }
    // The worker has closed its side and no longer waits for an answer. Under overload, serving such a
    // request would delay the next ones until their senders give up as well, and no request would be answered
    // in time.
    if (peer.traffic == Traffic::bulk && (events & EPOLLRDHUP)) return close(id);
    if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
    if (peer.phase != Phase::answering && peer.phase != Phase::closing) return read(id, peer);
    // Input while a request is being answered: the peer closed the connection, or sent an unsupported
    // pipelined request.
    if ((events & (EPOLLHUP | EPOLLERR)) || peer.connection->has_input()) close(id);
}

void Server::read(PeerId id, Peer& peer) {
    switch (peer.connection->read()) {
        case Connection::ReadResult::closed:
            return close(id);
        case Connection::ReadResult::malformed:
            return refuse(id, peer, 400);
        case Connection::ReadResult::too_large:
            return refuse(id, peer, 413);
        case Connection::ReadResult::complete:
            return serve(id);
        case Connection::ReadResult::incomplete:
            break;
    }
    if (peer.phase == Phase::reading) return;
    peer.phase = Phase::reading;
    set_busy(peer);
    set_deadline(id, peer, limits_.request_s);  // bounds the time for which a slow sender holds a socket
}

void Server::refuse(PeerId id, Peer& peer, int status) {
    peer.phase = Phase::answering;
    set_busy(peer);
    answer(id, {status, "{}"}, false);
}

void Server::serve(PeerId id) {
    auto& peer = peers_.at(id);
    auto& incoming = peer.connection->incoming();
    Request request{std::move(incoming.method), std::move(incoming.target), std::move(incoming.body),
                    std::move(incoming.type)};
    bool keep_alive = incoming.keep_alive;
    peer.phase = Phase::answering;
    set_busy(peer);
    if (peer.traffic == Traffic::none) peer.traffic = Traffic::ordinary;
    // If no socket is left for workers, a heartbeat is refused before its body is parsed, which costs little.
    // The worker then turns to another controller.
    bool is_first_bulk = peer.traffic != Traffic::bulk && limits_.is_bulk && limits_.is_bulk(request.target);
    if (is_first_bulk && !admit_bulk(peer)) {
        if (limits_.on_bulk_refused) limits_.on_bulk_refused();
        return answer(id, {503, "{}", "application/json", limits_.retry_after_s}, false);
    }
    set_deadline(id, peer, limits_.idle_s);
    std::weak_ptr<Server*> alive = alive_;
    handler_(std::move(request), [alive, id, keep_alive](const Response& response) {
        if (auto server = alive.lock(); server && *server) (*server)->answer(id, response, keep_alive);
    });
}

void Server::answer(PeerId id, const Response& response, bool keep_alive) {
    auto found = peers_.find(id);
    if (found == peers_.end() || found->second.phase != Phase::answering) return;
    auto& peer = found->second;
    bool is_bulk = peer.traffic == Traffic::bulk;
    // When sockets run short, connections are closed after each answer, so that more peers than sockets can
    // be served and none is refused.
    if (budget_.nearly_full(peer.kind, limits_.keep_share)) keep_alive = false;
    // A worker that is refused turns to another controller. If kept, its connection would hold a socket at
    // both.
    if (is_bulk && response.status != 200) keep_alive = false;
    peer.phase = keep_alive ? Phase::idle : Phase::closing;
    peer.connection->reset_for_next_message();
    peer.connection->write(to_bytes(response, keep_alive));
    if (!peer.connection->flush()) return close(id);
    if (!keep_alive && !peer.connection->has_unsent()) return close(id);
    set_deadline(id, peer, is_bulk ? limits_.bulk_idle_s : limits_.idle_s);
    if (keep_alive) set_idle(id, peer);
}

}  // namespace coralhitch::http
