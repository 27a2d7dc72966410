#include "scale/runner/control_client.hpp"

#include <utility>

#include "protocol/user_api.hpp"
#include "scale/process/control_server.hpp"

namespace coralhitch::scale {
namespace {
constexpr double answer_timeout_s = 10;
constexpr double ready_within_s = 20, ready_poll_s = 0.1, ready_timeout_s = 1;
}  // namespace

ControlClient::ControlClient(event_loop::EventLoop& loop, OnFailure on_failure)
    : loop_(loop), on_failure_(std::move(on_failure)), http_(loop, control_client_limits()) {}

void ControlClient::get(const std::string& addr, std::string_view path, const OnAnswer& on_answer) {
    send(addr, {"GET", std::string(path), {}}, on_answer);
}
void ControlClient::post(const std::string& addr, std::string_view path, const nlohmann::json& body,
                         const OnAnswer& on_answer) {
    send(addr, {"POST", std::string(path), body.dump()}, on_answer);
}

void ControlClient::send(const std::string& addr, http::Request request, const OnAnswer& on_answer) {
    auto asked = addr + request.target;
    http_.send(addr, std::move(request), answer_timeout_s,
               [this, asked, on_answer](const std::optional<http::Response>& response) {
                   if (!response || response->status != 200)
                       return on_failure_(asked + " failed: " + (response ? response->body : "no answer"));
                   on_answer(nlohmann::json::parse(response->body));
               });
}

void ControlClient::get_metrics(const std::string& addr,
                                const std::function<void(const std::string&)>& on_text) {
    http_.send(addr, {"GET", std::string(protocol::paths::metrics), {}}, answer_timeout_s,
               [on_text](const std::optional<http::Response>& response) {
                   on_text(response && response->status == 200 ? response->body : "");
               });
}

void ControlClient::wait_until_ready(const std::string& addr, std::string_view path,
                                     const std::function<void()>& ready) {
    poll_until_ready(addr, std::string(path), ready, loop_.now() + ready_within_s);
}

void ControlClient::poll_until_ready(const std::string& addr, const std::string& path,
                                     const std::function<void()>& ready, double deadline) {
    auto on_response = [this, addr, path, ready, deadline](const std::optional<http::Response>& response) {
        if (response && response->status == 200) return ready();
        if (loop_.now() > deadline)
            return on_failure_(addr + " was not ready within " +
                               std::to_string(static_cast<int>(ready_within_s)) + " s");
        loop_.after(ready_poll_s,
                    [this, addr, path, ready, deadline] { poll_until_ready(addr, path, ready, deadline); });
    };
    http_.send(addr, {"GET", path, {}}, ready_timeout_s, on_response);
}

}  // namespace coralhitch::scale
