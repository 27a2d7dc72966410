#include "scale/process/control_server.hpp"

#include <nlohmann/json.hpp>

namespace coralhitch::scale {
namespace {
constexpr std::size_t largest_body = std::size_t{64} << 20;
constexpr double idle_timeout_s = 3600, request_timeout_s = 60;
}  // namespace

std::unique_ptr<http::Server> control_server(event_loop::EventLoop& loop, const std::string& addr,
                                             ControlHandler handler) {
    http::ServerLimits limits;
    limits.message.body = largest_body;
    limits.idle_s = idle_timeout_s;
    limits.request_s = request_timeout_s;
    auto serve = [handler = std::move(handler)](const http::Request& request, const http::Reply& reply) {
        try {
            handler(request, reply);
        } catch (const std::exception& error) {
            reply({500, nlohmann::json{{"error", error.what()}}.dump()});
        }
    };
    return std::make_unique<http::Server>(loop, addr, limits, std::move(serve));
}

http::ClientLimits control_client_limits() {
    http::ClientLimits limits;
    limits.response = largest_body;
    limits.idle_s = idle_timeout_s;
    return limits;
}

}  // namespace coralhitch::scale
