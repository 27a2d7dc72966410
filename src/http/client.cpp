#include "http/client.hpp"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>

#include "http/address.hpp"

namespace coralhitch::http {

Client::Client(event_loop::EventLoop& loop, ClientLimits limits)
    : loop_(loop),
      limits_(std::move(limits)),
      own_budget_(limits_.connections),
      budget_(limits_.budget ? *limits_.budget : own_budget_),
      reclaimer_(budget_.add([this](PeerKind kind) { return reclaim(kind); })) {}
Client::~Client() {
    budget_.remove(reclaimer_);
    for (auto& [id, c] : calls_) {
        loop_.cancel(c.timer);
        budget_.give_back(c.kind);
    }
}

std::uint64_t Client::take_idle(const std::string& addr) {
    auto it = idle_.find(addr);
    if (it == idle_.end() || it->second.empty()) return 0;
    auto id = it->second.back();
    it->second.pop_back();
    auto& c = calls_.at(id);
    idle_order(c.kind).erase(c.in_order);
    return id;
}
// Idle connections give way: with more machines than connections they would otherwise hold every place, and
// each new request would be refused until the first of them times out.
bool Client::reclaim(PeerKind kind) {
    if (idle_order(kind).empty()) return false;
    drop(idle_order(kind).front());
    return true;
}

void Client::send(const std::string& addr, Request request, double timeout_s, Result result) {
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + addr;
    if (!request.body.empty() || request.method == "POST")
        out += "\r\nContent-Type: " + request.type +
               "\r\nContent-Length: " + std::to_string(request.body.size());
    out += "\r\n\r\n";
    out += request.body;

    std::uint64_t id = take_idle(addr);
    bool fresh = id == 0;
    if (fresh) {
        auto fail = [&] { loop_.after(0, [result = std::move(result)] { result(std::nullopt); }); };
        auto sa = socket_address(addr);
        bool bulk = limits_.bulk && limits_.bulk(request.target);
        auto kind = bulk ? PeerKind::machine : PeerKind::service;
        if (!sa || !budget_.take(kind)) return fail();
        event_loop::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        auto fail_opened = [&] {
            budget_.give_back(kind);
            fail();
        };
        if (!fd) return fail_opened();
        int on = 1;
        ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&*sa), sizeof *sa) < 0 && errno != EINPROGRESS)
            return fail_opened();
        id = next_++;
        auto& c = calls_[id];
        c.addr = addr;
        c.kind = kind;
        c.connection = std::make_unique<Connection>(loop_, std::move(fd), HTTP_RESPONSE,
                                                    Limits{limits_.response, 64 * 1024});
        c.connection->listen_events([this, id](std::uint32_t e) { on_event(id, e); },
                                    Connection::Side::connecting);
        if (bulk) c.connection->set_lane(event_loop::Lane::bulk);
    }
    auto& c = calls_.at(id);
    c.idle = false;
    c.result = std::move(result);
    loop_.cancel(c.timer);
    c.timer = loop_.after(timeout_s, [this, id, number = ++c.number] { too_late(id, number); });
    c.connection->write(std::move(out));
    if (!fresh && c.connection->flush() != Connection::State::open)
        loop_.after(0, [this, id] { finish(id, std::nullopt, false); });
}

// An answer that waits for its turn in the bulk lane has come. Given up unread, it was asked for again: a new
// leader of thousands of machines had most of its questions answered for nothing.
void Client::too_late(std::uint64_t id, std::uint64_t number) {
    on_event(id, EPOLLIN);
    auto it = calls_.find(id);
    if (it != calls_.end() && it->second.number == number) finish(id, std::nullopt, false);
}

void Client::drop(std::uint64_t id) {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    loop_.cancel(it->second.timer);
    if (it->second.idle) {
        auto list = idle_.find(it->second.addr);
        list->second.remove(id);
        idle_order(it->second.kind).erase(it->second.in_order);
        if (list->second.empty()) idle_.erase(list);
    }
    budget_.give_back(it->second.kind);
    calls_.erase(it);
}

void Client::finish(std::uint64_t id, std::optional<Response> r, bool reuse) {
    auto it = calls_.find(id);
    if (it == calls_.end() || it->second.idle) return;
    auto& c = it->second;
    Result result = std::move(c.result);
    auto& pool = idle_[c.addr];
    if (reuse && pool.size() < limits_.idle_per_addr) {
        c.idle = true;
        c.connection->next();
        pool.push_back(id);
        c.in_order = idle_order(c.kind).insert(idle_order(c.kind).end(), id);
        loop_.cancel(c.timer);
        c.timer = loop_.after(limits_.idle_s, [this, id] { drop(id); });
    } else {
        if (pool.empty()) idle_.erase(c.addr);
        drop(id);
    }
    result(std::move(r));
}

void Client::on_event(std::uint64_t id, std::uint32_t events) {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    auto& c = it->second;
    if (c.idle) return drop(id);  // closed by the other side, or speaking out of turn
    if (events & EPOLLOUT)
        if (c.connection->flush() != Connection::State::open) return finish(id, std::nullopt, false);
    if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
    if (c.connection->read() != Connection::State::open) return finish(id, std::nullopt, false);
    auto& in = c.connection->incoming();
    if (!in.complete) return;
    finish(id, Response{in.status, std::move(in.body), std::move(in.type), in.retry_after_s}, in.keep_alive);
}

}  // namespace coralhitch::http
