// Log lines about what this controller had to refuse: connections without a socket, and requests to the
// key-value store beyond its budget. Only while something is refused; it sends nothing.
#pragma once
#include <cstdint>
#include <optional>

#include "api/admission.hpp"
#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "http/socket_budget.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::controller {

// Logs refused connections and requests, when there are new ones.
class OverloadLog {
  public:
    OverloadLog(const event_loop::Timers& timers, const config::Settings& settings, const kv::KvClient& kv,
                const api::Admission& admission)
        : timers_(timers), settings_(settings), kv_(kv), admission_(admission) {}

    // `sockets` must outlive this.
    void watch_sockets(const http::SocketBudget& sockets) { sockets_ = &sockets; }
    // To be called now and then; logs what was refused since the last line.
    void update();

  private:
    void log_sockets();
    void log_requests();
    [[nodiscard]] double refused_requests() const;

    const event_loop::Timers& timers_;
    const config::Settings& settings_;
    const kv::KvClient& kv_;
    const api::Admission& admission_;
    const http::SocketBudget* sockets_ = nullptr;
    std::uint64_t logged_refused_sockets_ = 0;
    double logged_refused_requests_ = 0;
    std::optional<double> requests_logged_at_;  // steady seconds
};

}  // namespace coralhitch::controller
