// The control interface of an experiment's processes: HTTP with JSON, separate from the protocol under test.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

namespace coralhitch::scale {

// Targets of the control servers. All answer 200 with a JSON object, or 500 with the error's text. A request
// for the spec of an unknown job is answered with 404.
namespace control_paths {
// All processes.
inline constexpr std::string_view stats = "/stats";
// The load process.
inline constexpr std::string_view begin = "/begin", phase = "/phase", worker_events = "/observed",
                                  task_spec = "/spec/";  // followed by a job's id
// Worker processes.
inline constexpr std::string_view machine_up = "/up", remove_machines = "/remove",
                                  silence_machines = "/silence", gang = "/gang";
// The infrastructure process.
inline constexpr std::string_view fault = "/fault";
}  // namespace control_paths

// Timeout of requests between the simulated processes.
inline constexpr double control_timeout_s = 30;

using ControlHandler = std::function<void(const http::Request&, const http::Reply&)>;

// Starts a control server on `addr`. If the handler throws, the answer is 500 with the exception's text.
std::unique_ptr<http::Server> control_server(event_loop::EventLoop& loop, const std::string& addr,
                                             ControlHandler handler);
// Returns the limits for clients of control servers.
http::ClientLimits control_client_limits();

}  // namespace coralhitch::scale
