#include "controller/user_router.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "controller/peer_http.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::controller {
namespace paths = protocol::paths;

namespace {
constexpr double forward_timeout_heartbeat_periods = 1.0 / 3;
constexpr int min_overload_status = 429;

void refuse(const http::Reply& reply, int status, const char* error) {
    reply({status, protocol::error_body(error)});
}
}  // namespace

std::string path_of(const http::Request& request) {
    return request.target.substr(0, request.target.find('?'));
}

// --- Forwarding -----------------------------------------------------------------------------------------

void UserRouter::serve(const http::Request& request, const http::Reply& reply) {
    if (auto* peer = peer_to_forward_to(request)) {
        const http::Response fallback{503, "{}", "application/json", 1};
        return forward(request, peer->config, fallback, reply);
    }
    serve_here(request, [this, request, reply](http::Response response) {
        // The key-value store may have become unreachable while the request waited for it.
        auto* peer = response.status == 503 ? peer_to_forward_to(request) : nullptr;
        if (peer) return forward(request, peer->config, std::move(response), reply);
        reply(std::move(response));
    });
}

// Returns null if this controller reaches the key-value store or no suitable peer does. A suitable peer
// supports all features that the request uses: a version without dependencies would store a job that depends
// on others as a job without dependencies.
const PeerMonitor::Peer* UserRouter::peer_to_forward_to(const http::Request& request) const {
    if (dependencies_.kv_reachability.reachable()) return nullptr;
    const bool has_dependencies = request.method == "POST" && protocol::names_dependencies(request.body);
    return dependencies_.peers.peer_that_reaches_kv(has_dependencies ? protocol::peer_features::dependencies
                                                                     : 0);
}

// Forwards the request and passes on the peer's answer. Answers `fallback` if the peer does not answer.
void UserRouter::forward(const http::Request& request, const config::Peer& peer, http::Response fallback,
                         const http::Reply& reply) {
    auto body = protocol::pack_peer(protocol::PeerUserRequest{request.method, request.target, request.body});
    dependencies_.http.send(
        peer.addr, msgpack_request(protocol::peer_user_path, std::move(body)),
        dependencies_.settings.heartbeat_interval_s * forward_timeout_heartbeat_periods,
        [fallback = std::move(fallback), reply](std::optional<http::Response> response) {
            if (!response || response->status != 200) return reply(fallback);
            auto answer = protocol::unpack_peer<protocol::PeerUserResponse>(response->body);
            if (!answer) return reply(fallback);
            reply({answer->status, std::move(answer->body), "application/json", answer->retry_after_s});
        });
}

void UserRouter::serve_forwarded(const protocol::PeerUserRequest& forwarded, const http::Reply& reply) {
    serve_here({forwarded.method, forwarded.target, forwarded.body}, [reply](http::Response response) {
        protocol::PeerUserResponse answer{response.status, std::move(response.body), response.retry_after_s};
        reply(msgpack_response(protocol::pack_peer(answer)));
    });
}

// --- Paths ----------------------------------------------------------------------------------------------

void UserRouter::serve_here(const http::Request& request, http::Reply reply) {
    const auto path = path_of(request);
    if (!path.starts_with(paths::jobs)) return refuse(reply, 404, "no such path");
    std::string rest = path.substr(paths::jobs.size());
    if (rest.empty()) {
        if (request.method != "POST") return refuse(reply, 405, "wrong method");
        return submit(request, reply);
    }
    if (rest[0] != '/') return refuse(reply, 404, "no such path");
    rest.erase(0, 1);
    if (rest.ends_with(paths::cancel)) {
        if (request.method != "POST") return refuse(reply, 405, "wrong method");
        const auto job = rest.substr(0, rest.size() - paths::cancel.size());
        return dependencies_.user_api.cancel(job, with_request_count("cancel", std::move(reply)));
    }
    if (rest.empty() || rest.find('/') != std::string::npos) return refuse(reply, 404, "no such path");
    if (request.method != "GET") return refuse(reply, 405, "wrong method");
    dependencies_.user_api.query(rest, with_request_count("query", std::move(reply)));
}

void UserRouter::submit(const http::Request& request, const http::Reply& reply) {
    const double started_at = dependencies_.timers.now();
    dependencies_.user_api.submit(request.body, [this, started_at, reply](http::Response response) {
        dependencies_.metrics.observe_submission(dependencies_.timers.now() - started_at);
        dependencies_.metrics.count_request("submit", response.status);
        if (response.status >= min_overload_status)
            spdlog::debug("component=controller event=submission_deferred status={}", response.status);
        reply(std::move(response));
    });
}

http::Reply UserRouter::with_request_count(const char* route, http::Reply reply) {
    return [this, route, reply = std::move(reply)](http::Response response) {
        dependencies_.metrics.count_request(route, response.status);
        reply(std::move(response));
    };
}

}  // namespace coralhitch::controller
