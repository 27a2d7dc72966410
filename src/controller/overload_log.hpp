// Logs what this controller refused for lack of capacity: connections for which no socket was free,
// submissions beyond the admitted rate, and requests to the key-value store beyond its rate limit. Logs
// nothing while nothing is refused, and sends no requests.
#pragma once
#include <cstdint>
#include <optional>

#include "api/admission.hpp"
#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "http/socket_budget.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::controller {

// A logger of newly refused connections and requests. Not thread safe.
class OverloadLog {
  public:
    OverloadLog(const event_loop::Timers& timers, const config::Settings& settings, const kv::KvClient& kv,
                const api::Admission& admission)
        : timers_(timers), settings_(settings), kv_(kv), admission_(admission) {}

    // Includes refused connections in the log. `sockets` must outlive this object.
    void watch_sockets(const http::SocketBudget& sockets) { sockets_ = &sockets; }
    // Logs the connections and requests that were refused since the last log line. Call periodically.
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
    std::optional<double> requests_logged_at_;  // seconds of the steady clock
};

}  // namespace coralhitch::controller
