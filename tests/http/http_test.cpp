// Tests HTTP client and server on the loopback interface: limits, malformed input, and running out of
// sockets.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/address.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

namespace coralhitch::http {
namespace {

// Returns an address with a free port of the loopback interface.
std::string free_address() {
    event_loop::Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof sa;
    ::bind(fd.get(), reinterpret_cast<sockaddr*>(&sa), size);
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&sa), &size);
    return "127.0.0.1:" + std::to_string(ntohs(sa.sin_port));
}

struct ServerFixture {
    event_loop::EventLoop loop;
    std::string addr = free_address();
    ServerLimits limits;
    std::unique_ptr<Server> server;
    std::size_t served = 0;
    void serve() {
        server = std::make_unique<Server>(loop, addr, limits, [this](Request r, Reply reply) {
            ++served;
            reply({200, r.body.empty() ? "{}" : r.body});
        });
    }
    // Runs the loop until the test stops it. The timer only keeps a failing test from hanging.
    void run() {
        loop.after(20, [this] { loop.stop(); });
        loop.run();
    }
};

// Sends raw bytes to the server, and returns what the first read of the answer yields.
std::string send_raw(ServerFixture& fixture, const std::string& bytes) {
    event_loop::Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
    auto sa = socket_address(fixture.addr);
    EXPECT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&*sa), sizeof *sa), 0);
    EXPECT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    std::string out;
    fixture.loop.watch(fd.get(), EPOLLIN, [&](std::uint32_t) {
        char buffer[4096];
        auto n = ::recv(fd.get(), buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0) out.append(buffer, static_cast<std::size_t>(n));
        fixture.loop.unwatch(fd.get());
        fixture.loop.stop();
    });
    fixture.run();
    return out;
}

TEST(Http, MalformedAndOversizeRequestsAreRejected) {
    struct Case {
        const char* name;
        std::string bytes, answer;
        std::size_t served;
    };
    const Case cases[] = {
        {"a request", "POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200", 1},
        {"no HTTP", "hello there\r\n\r\n", "HTTP/1.1 400", 0},
        {"a length that is no number", "POST /x HTTP/1.1\r\nContent-Length: many\r\n\r\n", "HTTP/1.1 400", 0},
        {"a body said to be too large", "POST /x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
         "HTTP/1.1 413", 0},
        {"a body that is too large in chunks",
         "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + std::string(0x11000, 'x'),
         "HTTP/1.1 413", 0},
        {"a header without an end", "GET /x HTTP/1.1\r\nA: " + std::string(20000, 'x'), "HTTP/1.1 413", 0},
    };
    for (auto& c : cases) {
        ServerFixture fixture;
        fixture.serve();
        EXPECT_EQ(send_raw(fixture, c.bytes).substr(0, c.answer.size()), c.answer) << c.name;
        EXPECT_EQ(fixture.served, c.served) << c.name;
    }
}
// With more machines than connections, idle connections held every socket, and each new request was refused.
TEST(Http, IdleConnectionsAreClosedForNewRequests) {
    ServerFixture fixture;
    fixture.serve();
    std::vector<std::unique_ptr<Server>> others;
    std::vector<std::string> addresses{fixture.addr};
    for (int k = 0; k < 4; ++k) {
        addresses.push_back(free_address());
        others.push_back(std::make_unique<Server>(fixture.loop, addresses.back(), ServerLimits{},
                                                  [](Request, Reply reply) {
                                                      reply({200, "{}"});
                                                  }));
    }
    Client client(fixture.loop, {1024, 2, 4, 60});
    std::size_t answered = 0, next = 0;
    std::function<void()> send_next = [&] {
        if (next == addresses.size() * 2) return fixture.loop.stop();
        client.send(addresses[next++ % addresses.size()], {"GET", "/x", {}}, 5,
                    [&](std::optional<Response> r) {
                        answered += r && r->status == 200;
                        send_next();
                    });
    };
    send_next();
    fixture.run();
    EXPECT_EQ(answered, addresses.size() * 2);
}
TEST(Http, AClientWithoutFreeConnectionsFailsRequestsAtOnce) {
    ServerFixture fixture;
    fixture.server = std::make_unique<Server>(fixture.loop, fixture.addr, fixture.limits,
                                              [](Request, Reply) {});  // never answers
    Client client(fixture.loop, {1024, 2, 4, 60});
    int refused = 0;
    for (int k = 0; k < 3; ++k)
        client.send(fixture.addr, {"GET", "/x", {}}, 60, [&](std::optional<Response> r) {
            refused += !r;
            fixture.loop.stop();
        });
    fixture.run();
    EXPECT_EQ(refused, 1);
}
// A server that is nearly out of connections closes each after its answer, instead of refusing new peers.
TEST(Http, ANearlyFullServerClosesAfterEachAnswer) {
    for (auto [limit, closes] : {std::pair(100u, false), {1u, true}}) {
        ServerFixture fixture;
        fixture.limits.connections = limit;
        fixture.serve();
        auto answer = send_raw(fixture, "GET /x HTTP/1.1\r\n\r\n");
        EXPECT_EQ(answer.find("Connection: close") != std::string::npos, closes);
    }
}

// Of 20 sockets, 4 are guaranteed to users and 2 to each other kind. Workers may hold at most 10.
constexpr SocketShares test_shares = {{{0.2, 0.5}, {0.1, 0.5}, {0.1, 0.1}, {0.1, 0.3}, {0.1, 0.4}}};
constexpr std::size_t most_workers = 10;

// Many workers that send heartbeats to one server with a socket budget. Their client has a budget of its own.
struct WorkerLoadFixture : ServerFixture {
    WorkerLoadFixture() {
        limits.budget = &budget;
        limits.is_bulk = [](const std::string& path) { return path == "/report"; };
        limits.on_bulk_refused = [this] { ++refused_heartbeats; };
        limits.keep_share = 1;
    }
    ~WorkerLoadFixture() { server.reset(); }
    // Leaves the first `held` heartbeats without an answer, and calls `full` when the last of them arrives.
    void serve_holding(std::size_t held, std::function<void()> full) {
        server = std::make_unique<Server>(loop, addr, limits, [this, held, full](Request r, Reply reply) {
            if (r.target != "/report" || ++heartbeats > held) return reply({200, "{}"});
            if (heartbeats == held) full();
        });
    }
    void send(
        const std::string& path, std::size_t n, Result result = [](auto) {}) {
        for (std::size_t k = 0; k < n; ++k) client.send(addr, {"POST", path, "{}"}, 15, result);
    }
    SocketBudget budget{20, test_shares};
    std::size_t refused_heartbeats = 0, heartbeats = 0;
    Client client{loop, {1024, 200, 200, 60}};
};
// Workers that all turned to one controller held every socket, so that users and health checks were refused.
TEST(Http, WorkersCannotTakeSocketsOfUsers) {
    WorkerLoadFixture load;
    std::optional<Response> worker, user;
    load.serve_holding(most_workers, [&] {
        load.send("/report", 1, [&](auto r) {
            worker = std::move(r);
            load.send("/healthz", 1, [&](auto r) {
                user = std::move(r);
                load.loop.stop();
            });
        });
    });
    load.send("/report", most_workers);
    load.run();
    ASSERT_TRUE(worker && user);
    EXPECT_EQ(worker->status, 503);
    EXPECT_GT(worker->retry_after_s, 0);
    EXPECT_EQ(load.refused_heartbeats, 1u);
    EXPECT_EQ(user->status, 200);
    EXPECT_EQ(load.budget.used(PeerKind::worker), most_workers);
    EXPECT_EQ(load.budget.used(PeerKind::user), 1u);
}
// Workers that turned to another controller may leave connections that are never closed by them. The server
// closes the connection that has been idle for longest when a new worker needs a socket, but none that may
// still be used.
TEST(Http, AbandonedWorkerConnectionsAreClosedForNewWorkers) {
    for (auto [quiet_s, status] : {std::pair(0.0, 200), {60.0, 503}}) {
        WorkerLoadFixture load;
        load.limits.bulk_reclaim_s = quiet_s;
        load.serve_holding(0, [] {});
        std::size_t answered = 0;
        std::optional<Response> last;
        Client other(load.loop, {1024, 10, 10, 60});
        load.send("/report", most_workers, [&](auto) {
            if (++answered < most_workers) return;
            other.send(load.addr, {"POST", "/report", "{}"}, 15, [&](auto r) {
                last = std::move(r);
                load.loop.stop();
            });
        });
        load.run();
        ASSERT_TRUE(last);
        EXPECT_EQ(last->status, status);
        EXPECT_EQ(load.budget.used(PeerKind::worker), most_workers);
    }
}
// Connections that never send a request are closed when a user needs a socket.
TEST(Http, SilentConnectionsAreClosedForUsers) {
    for (auto [reclaim_s, served] : {std::pair(0.0, true), {60.0, false}}) {
        WorkerLoadFixture load;
        load.limits.ordinary_reclaim_s = reclaim_s;
        load.limits.accepts_per_event = 100;
        load.serve_holding(0, [] {});
        std::vector<event_loop::Fd> silent;
        auto sa = socket_address(load.addr);
        for (std::size_t k = 0; k < 10; ++k) {
            silent.emplace_back(::socket(AF_INET, SOCK_STREAM, 0));
            ASSERT_EQ(::connect(silent.back().get(), reinterpret_cast<sockaddr*>(&*sa), sizeof *sa), 0);
        }
        std::optional<Response> user;
        load.send("/healthz", 1, [&](auto r) {
            user = std::move(r);
            load.loop.stop();
        });
        load.run();
        EXPECT_EQ(user && user->status == 200, served);
    }
}
// A worker that was redirected held a socket at each controller that it had tried.
TEST(Http, ConnectionsOfRefusedWorkersAreClosed) {
    for (auto [path, kept] : {std::pair("/report", 0u), {"/api/jobs", 1u}}) {
        WorkerLoadFixture load;
        load.server = std::make_unique<Server>(load.loop, load.addr, load.limits, [](Request, Reply reply) {
            reply({421, "{}"});
        });
        load.send(path, 1, [&](auto r) {
            EXPECT_EQ(r ? r->status : 0, 421);
            load.loop.stop();
        });
        load.run();
        EXPECT_EQ(load.server->connections(), kept) << path;
    }
}
// Commands to machines that do not answer must not take the socket that the lease renewal needs.
TEST(Http, MachinesCannotTakeSocketsOfServices) {
    WorkerLoadFixture load;
    load.server = std::make_unique<Server>(load.loop, load.addr, ServerLimits{}, [](Request r, Reply reply) {
        if (r.target != "/do") reply({200, "{}"});
    });
    ClientLimits limits;
    limits.is_bulk = [](const std::string& path) { return path == "/do"; };
    limits.budget = &load.budget;
    Client client(load.loop, limits);
    std::size_t refused = 0;
    for (int k = 0; k < 20; ++k)
        client.send(load.addr, {"POST", "/do", "{}"}, 60, [&](auto r) { refused += !r; });
    std::optional<Response> renewed;
    client.send(load.addr, {"POST", "/renew", "{}"}, 15, [&](auto r) {
        renewed = std::move(r);
        load.loop.stop();
    });
    load.run();
    EXPECT_TRUE(renewed);
    EXPECT_EQ(refused, 12u);
    EXPECT_EQ(load.budget.used(PeerKind::machine), 8u);
}

// With more ready events than one turn handles, urgent events come first, users' (ordinary) before workers'
// (bulk), and a timer that is due waits for one turn only.
TEST(Loop, HandlesLanesByPriority) {
    event_loop::EventLoop l;
    struct End {
        event_loop::Fd in, out;
    };
    std::vector<End> ends;
    std::string order;
    constexpr std::size_t each = 40;
    for (auto [lane, letter] :
         {std::pair(event_loop::Lane::bulk, 'b'), std::pair(event_loop::Lane::ordinary, 'o'),
          std::pair(event_loop::Lane::urgent, 'u')})
        for (std::size_t k = 0; k < each; ++k) {
            int fds[2];
            ASSERT_EQ(::pipe(fds), 0);
            auto& e = ends.emplace_back(End{event_loop::Fd(fds[0]), event_loop::Fd(fds[1])});
            ASSERT_EQ(::write(e.out.get(), "x", 1), 1);
            l.watch(fds[0], EPOLLIN, [&, fd = fds[0], letter](std::uint32_t) {
                char byte;
                EXPECT_EQ(::read(fd, &byte, 1), 1);
                order += letter;
                if (order.find('t') != std::string::npos && order.size() == 3 * each + 1) l.stop();
            });
            l.set_lane(fds[0], lane);
        }
    l.after(0, [&] { order += 't'; });
    l.after(20, [&] { l.stop(); });
    l.run();
    auto times = [](std::size_t n, char c) { return std::string(n, c); };
    EXPECT_EQ(order, times(40, 'u') + times(32, 'o') + times(16, 'b') + "t" + times(8, 'o') + times(16, 'b') +
                         times(8, 'b'));
}
// A bulk request whose sender has closed its connection is not read. Under overload, serving such requests
// made all later ones late as well.
TEST(Http, ABulkRequestWhoseSenderHasLeftIsNotServed) {
    for (bool bulk : {true, false}) {
        ServerFixture fixture;
        fixture.limits.is_bulk = [&](const std::string& path) { return bulk && path == "/x"; };
        fixture.serve();
        event_loop::Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
        auto sa = socket_address(fixture.addr);
        ASSERT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&*sa), sizeof *sa), 0);
        const std::string request = "POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
        auto send = [&] {
            ASSERT_EQ(::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL),
                      static_cast<ssize_t>(request.size()));
        };
        send();
        std::function<void()> stop_when_closed = [&] {
            if (fixture.server->connections() == 0) return fixture.loop.stop();
            fixture.loop.after(0, stop_when_closed);
        };
        fixture.loop.watch(fd.get(), EPOLLIN, [&](std::uint32_t) {
            fixture.loop.unwatch(fd.get());
            send();
            fd.reset();
            stop_when_closed();
        });
        fixture.run();
        EXPECT_EQ(fixture.server->connections(), 0u);
        EXPECT_EQ(fixture.served, bulk ? 1u : 2u);
    }
}

// An answer that is already in the socket when the request times out, because other events were handled
// first, is read and not dropped.
TEST(Http, AnAnswerThatArrivedBeforeTheTimeoutIsRead) {
    ServerFixture fixture;
    event_loop::Fd listener(::socket(AF_INET, SOCK_STREAM, 0));
    auto sa = socket_address(fixture.addr);
    ASSERT_EQ(::bind(listener.get(), reinterpret_cast<sockaddr*>(&*sa), sizeof *sa), 0);
    ASSERT_EQ(::listen(listener.get(), 1), 0);
    Client client(fixture.loop, {});
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    event_loop::Fd peer;
    auto respond = [&] {
        char buffer[4096];
        ASSERT_GT(::recv(peer.get(), buffer, sizeof buffer, 0), 0);
        ASSERT_EQ(::send(peer.get(), answer.data(), answer.size(), 0), static_cast<ssize_t>(answer.size()));
    };
    std::optional<Response> second;
    client.send(fixture.addr, {"GET", "/1", {}}, 10, [&](std::optional<Response> first) {
        EXPECT_TRUE(first);
        // Sent over the same connection and answered before the loop polls. Its time-out of 0 s has then
        // passed.
        client.send(fixture.addr, {"GET", "/2", {}}, 0, [&](std::optional<Response> r) {
            second = std::move(r);
            fixture.loop.stop();
        });
        respond();
    });
    fixture.loop.watch(listener.get(), EPOLLIN, [&](std::uint32_t) {
        peer = event_loop::Fd(::accept(listener.get(), nullptr, nullptr));
        fixture.loop.unwatch(listener.get());
        fixture.loop.watch(peer.get(), EPOLLIN, [&](std::uint32_t) {
            fixture.loop.unwatch(peer.get());
            respond();
        });
    });
    fixture.run();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->body, "hi");
}

}  // namespace
}  // namespace coralhitch::http
