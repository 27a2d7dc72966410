#include "scale/process/control_server.hpp"

#include <algorithm>

namespace coralhitch::scale {
namespace {
constexpr double look_every_s = 0.1, late_s = 0.1;
constexpr std::size_t control_body = 64 << 20;
}  // namespace

void TimerLateness::arm() {
    double due = loop_.now() + look_every_s;
    loop_.after(look_every_s, [this, due] {
        double late = loop_.now() - due;
        most_ = std::max(most_, late);
        late_ += late > late_s;
        arm();
    });
}

std::unique_ptr<http::Server> control_server(event_loop::EventLoop& loop, const std::string& addr,
                                             Control control) {
    http::ServerLimits limits;
    limits.message.body = control_body;
    limits.idle_s = 3600;
    limits.request_s = 60;
    return std::make_unique<http::Server>(loop, addr, limits, [control](http::Request r, http::Reply reply) {
        try {
            control(r, reply);
        } catch (const std::exception& e) {
            reply({500, nlohmann::json{{"error", e.what()}}.dump()});
        }
    });
}
http::ClientLimits control_limits() {
    http::ClientLimits l;
    l.response = control_body;
    l.idle_s = 3600;
    return l;
}

}  // namespace coralhitch::scale
