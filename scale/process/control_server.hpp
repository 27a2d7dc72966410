// How the processes of an experiment speak with each other beside the service's own protocol: HTTP with JSON.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

namespace coralhitch::scale {

// Targets of the control servers. All answer 200 with a JSON object, or 500 with the error.
namespace control_paths {
// Every process.
inline constexpr std::string_view stats = "/stats";
// The load process.
inline constexpr std::string_view begin = "/begin", phase = "/phase", worker_events = "/observed",
                                  task_spec = "/spec/";  // and a job's id
// Worker processes.
inline constexpr std::string_view machine_up = "/up", remove_machines = "/remove",
                                  silence_machines = "/silence", gang = "/gang";
// The infrastructure process.
inline constexpr std::string_view fault = "/fault";
}  // namespace control_paths

inline constexpr double control_timeout_s = 30;

using ControlHandler = std::function<void(const http::Request&, const http::Reply&)>;

// A handler that throws answers 500 with the text.
std::unique_ptr<http::Server> control_server(event_loop::EventLoop& loop, const std::string& addr,
                                             ControlHandler handler);
// Of clients that speak with control servers.
http::ClientLimits control_client_limits();

}  // namespace coralhitch::scale
