// The `coralhitch` process: reads its command line and settings, builds the network, the planner and one
// controller, and runs the event loop until the process is killed.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <random>

#include "config/settings.hpp"
#include "controller/controller.hpp"
#include "controller/turn_log.hpp"
#include "controller/version.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "http/socket_budget.hpp"
#include "protocol/agent_api.hpp"

namespace coralhitch {
namespace {

// Limits on the time without a heartbeat on an agent's connection. Agents vary the heartbeat period by up to
// a quarter. After the first limit, the agent sends its heartbeats to another controller or hangs, and its
// connection may be closed to free the socket. After the second limit, the connection is always closed.
constexpr double agent_reclaim_heartbeat_periods = 1.5, agent_idle_heartbeat_periods = 4;

// Shares of the process's memory that one message may take.
constexpr double response_memory_share = 1.0 / 8;
constexpr double peer_message_memory_share = 1.0 / 32;

// The parsed command line.
struct CommandLine {
    std::string settings_file, operator_file;
    bool only_check = false;
};

void set_up_log() {
    auto log = std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    log->set_pattern("%H:%M:%S.%e %l %v");
    const char* level = std::getenv("LOG_LEVEL");
    const std::string name = level ? level : "info";
    log->set_level(name == "error"   ? spdlog::level::err
                   : name == "debug" ? spdlog::level::debug
                                     : spdlog::level::info);
    spdlog::set_default_logger(log);
}

std::uint64_t random_seed() {
    std::random_device device;
    const std::uint64_t high = device();
    return (high << 32) ^ device();
}

std::size_t memory_share_bytes(const config::Settings& settings, double share) {
    return static_cast<std::size_t>(settings.memory_mb * 1024 * 1024 * share);
}

http::ClientLimits client_limits(const config::Settings& settings, http::SocketBudget& sockets) {
    http::ClientLimits limits;
    limits.budget = &sockets;
    limits.response = memory_share_bytes(settings, response_memory_share);
    limits.is_bulk = [](const std::string& path) { return path == protocol::paths::commands; };
    return limits;
}

// Returns the limits of the server for users and agents. `on_agent_refused` is called when an agent's
// connection is refused because no socket is free.
http::ServerLimits public_server_limits(const config::Settings& settings, http::SocketBudget& sockets,
                                        std::function<void()> on_agent_refused) {
    http::ServerLimits limits;
    limits.budget = &sockets;
    limits.bulk_reclaim_s = settings.heartbeat_interval_s * agent_reclaim_heartbeat_periods;
    limits.bulk_idle_s = settings.heartbeat_interval_s * agent_idle_heartbeat_periods;
    limits.lane = event_loop::Lane::ordinary;
    limits.is_bulk = [](const std::string& path) { return path == protocol::paths::heartbeat; };
    limits.on_bulk_refused = std::move(on_agent_refused);
    return limits;
}

http::ServerLimits peer_server_limits(const config::Settings& settings, http::SocketBudget& sockets) {
    http::ServerLimits limits;
    limits.budget = &sockets;
    limits.kind = http::PeerKind::controller;
    // Messages between controllers grow with the numbers of jobs and machines and exceed the limit for users.
    limits.message.body = memory_share_bytes(settings, peer_message_memory_share);
    return limits;
}

void log_start(const config::Settings& settings) {
    spdlog::info("component=controller event=listening controller={} zone={} address={}", settings.label,
                 settings.zone, settings.listen);
    const double needed = config::expected_cpu_share(settings);
    if (settings.cpu_share < needed)
        spdlog::warn("component=controller event=core_share_too_small core_share={:.3f} needed={:.3f}",
                     settings.cpu_share, needed);
}

// Runs the event loop and does not return. Throws if a listening address cannot be bound.
void run_controller(const config::Settings& settings) {
    std::signal(SIGPIPE, SIG_IGN);  // a peer that closed its connection is an error of that connection alone
    event_loop::TurnMonitor turns(controller::long_turn_s(settings));
    event_loop::EventLoop loop;
    loop.monitor_turns(turns, controller::log_long_turn);
    http::SocketBudget sockets(static_cast<std::size_t>(settings.sockets * http::usable_sockets),
                               http::controller_shares);
    http::Client client(loop, client_limits(settings, sockets));
    leader::ThreadPlanner planner(loop);
    controller::Controller controller(loop, client, settings, planner, random_seed());

    const auto on_agent_refused = [&] {
        controller.heartbeat_rejections().record(relay::HeartbeatRejection::socket_limit);
    };
    http::Server public_server(loop, settings.listen,
                               public_server_limits(settings, sockets, on_agent_refused),
                               [&](http::Request request, http::Reply reply) {
                                   controller.serve(std::move(request), std::move(reply));
                               });
    http::Server peer_server(loop, settings.peer_listen, peer_server_limits(settings, sockets),
                             [&](const http::Request& request, const http::Reply& reply) {
                                 controller.serve_peer(request, reply);
                             });
    log_start(settings);
    controller.watch_sockets(sockets);
    controller.watch_turns(turns);
    const event_loop::TurnWatchdog watchdog(loop, turns, controller::log_unfinished_turn);
    controller.start();
    loop.run();
}

void run(const CommandLine& command_line) {
    auto settings = config::load_settings(command_line.settings_file);
    if (!command_line.operator_file.empty()) settings.op = config::load_operator(command_line.operator_file);
    if (command_line.only_check)
        std::cout << "settings are fine\n";
    else
        run_controller(settings);
}

// Returns the exit status of the process.
int run_command_line(int argc, char** argv) {
    CLI::App app("coralhitch: a cluster scheduler");
    CommandLine command_line;
    app.add_option("--config", command_line.settings_file, "the platform's settings (TOML)")->required();
    app.add_option("--operator", command_line.operator_file,
                   "operators' own settings (protobuf text format)");
    app.add_flag("--check", command_line.only_check, "check the settings and exit");
    app.set_version_flag("--version", std::string(controller::version));
    CLI11_PARSE(app, argc, argv);
    set_up_log();
    run(command_line);
    return 0;
}

}  // namespace
}  // namespace coralhitch

int main(int argc, char** argv) {
    try {
        return coralhitch::run_command_line(argc, argv);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "coralhitch: %s\n", error.what());
        return 1;
    }
}
