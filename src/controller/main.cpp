#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <random>

#include "config/settings.hpp"
#include "controller/controller.hpp"
#include "controller/version.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "http/socket_budget.hpp"

namespace {
using namespace coralhitch;

// Ratios to the report period, from which workers differ by a quarter: after the first a worker that has not
// reported has gone elsewhere or hangs, after the second its connection is closed in any case.
constexpr double quiet_reports = 1.5, idle_reports = 4;

void set_up_log() {
    auto log = std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    log->set_pattern("%H:%M:%S.%e %l %v");
    const char* level = std::getenv("LOG_LEVEL");
    std::string name = level ? level : "info";
    log->set_level(name == "error"   ? spdlog::level::err
                   : name == "debug" ? spdlog::level::debug
                                     : spdlog::level::info);
    spdlog::set_default_logger(log);
}

int serve(const config::Settings& settings) {
    ::signal(SIGPIPE, SIG_IGN);
    event_loop::EventLoop loop;
    http::SocketBudget sockets(static_cast<std::size_t>(settings.sockets * http::usable_sockets),
                               http::controller_shares);
    http::ClientLimits client_limits;
    client_limits.budget = &sockets;
    client_limits.response = static_cast<std::size_t>(settings.memory_mb * 1024 * 1024 / 8);
    client_limits.bulk = [](const std::string& path) { return path == protocol::paths::commands; };
    http::Client client(loop, client_limits);
    leader::ThreadPlanner planner(loop);
    std::random_device device;
    std::uint64_t seed = (std::uint64_t{device()} << 32) ^ device();
    controller::Controller controller(loop, client, settings, planner, seed);
    http::ServerLimits user_limits;
    user_limits.budget = &sockets;
    user_limits.bulk_quiet_s = settings.report_s * quiet_reports;
    user_limits.bulk_idle_s = settings.report_s * idle_reports;
    user_limits.lane = event_loop::Lane::ordinary;
    user_limits.bulk = [](const std::string& path) { return path == protocol::paths::report; };
    user_limits.shed = [&] { controller.heartbeat_rejections().note(relay::HeartbeatRejection::sockets); };
    http::Server users(
        loop, settings.listen, std::move(user_limits),
        [&](http::Request r, http::Reply reply) { controller.serve(std::move(r), std::move(reply)); });
    http::ServerLimits peer_limits;
    peer_limits.budget = &sockets;
    peer_limits.kind = http::PeerKind::controller;
    // What controllers tell each other grows with jobs and machines, beyond what a user may send.
    peer_limits.message.body = static_cast<std::size_t>(settings.memory_mb * 1024 * 1024 / 32);
    http::Server peers(loop, settings.peer_listen, peer_limits, [&](http::Request r, http::Reply reply) {
        controller.serve_peer(std::move(r), std::move(reply));
    });
    spdlog::info("{} of {}: listening on {}", settings.label, settings.zone, settings.listen);
    if (double expected = config::share_expected(settings); settings.cpu_share < expected)
        spdlog::warn(
            "limits.core_share is {:.3f}: to hear as many workers as there are sockets for takes {:.3f}",
            settings.cpu_share, expected);
    controller.watch_sockets(sockets);
    controller.start();
    loop.run();
    return 0;
}
}  // namespace

int main(int argc, char** argv) {
    CLI::App app("coralhitch: a cluster scheduler");
    std::string file, operator_file;
    bool check = false;
    app.add_option("--config", file, "the platform's settings (TOML)")->required();
    app.add_option("--operator", operator_file, "operators' own settings (protobuf text format)");
    app.add_flag("--check", check, "check the settings and exit");
    app.set_version_flag("--version", std::string(coralhitch::controller::version));
    CLI11_PARSE(app, argc, argv);
    set_up_log();
    try {
        auto settings = coralhitch::config::load_settings(file);
        if (!operator_file.empty()) settings.op = coralhitch::config::load_operator(operator_file);
        if (check) {
            std::cout << "settings are fine\n";
            return 0;
        }
        return serve(settings);
    } catch (const std::exception& e) {
        std::cerr << "coralhitch: " << e.what() << "\n";
        return 1;
    }
}
