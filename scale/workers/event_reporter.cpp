#include "scale/workers/event_reporter.hpp"

#include <spdlog/spdlog.h>

#include <cstdlib>
#include <utility>

#include "scale/process/control_server.hpp"

namespace coralhitch::scale {
namespace {
constexpr double send_interval_s = 0.1, retry_after_s = 0.5;
constexpr int max_attempts = 10;
}  // namespace

EventReporter::EventReporter(event_loop::EventLoop& loop, http::Client& http, const Experiment& experiment,
                             std::uint32_t process)
    : loop_(loop), http_(http), experiment_(experiment), process_(process) {
    loop_.after(send_interval_s, [this] { report(); });
}

// Sends all events recorded since the last message. The message states that it holds every event before
// `now`. Messages are numbered, so that the load process counts a message once that was sent again because
// its answer was lost.
void EventReporter::report() {
    nlohmann::json body{{"process", process_},
                        {"number", ++last_message_},
                        {"now", loop_.now()},
                        {"events", std::exchange(events_, nlohmann::json::array())}};
    send(body.dump(), max_attempts);
}

void EventReporter::send(const std::string& body, int attempts_left) {
    http_.send(experiment_.load_control_addr(), {"POST", std::string(control_paths::worker_events), body},
               control_timeout_s, [this, body, attempts_left](const std::optional<http::Response>& response) {
                   if (response && response->status == 200) {
                       loop_.after(send_interval_s, [this] { report(); });
                       return;
                   }
                   if (attempts_left > 1) {
                       loop_.after(retry_after_s,
                                   [this, body, attempts_left] { send(body, attempts_left - 1); });
                       return;
                   }
                   spdlog::error("workers {}: the load process did not accept the events: {}", process_,
                                 response ? response->body : "no answer");
                   std::exit(1);
               });
}

}  // namespace coralhitch::scale
