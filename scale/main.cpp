// coralhitch-scale: runs real controllers on the loopback interface, among simulated workers, users,
// key-value store and cloud.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "scale/process/child_process.hpp"
#include "scale/process/process_roles.hpp"
#include "scale/runner/run_command.hpp"

namespace coralhitch::scale {
namespace {

// Arguments of the processes that `run` starts.
struct RoleArguments {
    std::string experiment_file;
    std::vector<std::string> overrides;
    std::uint32_t process = 0;
};

struct Commands {
    CLI::App *run, *infrastructure, *workers, *load;
};

void set_up_log() {
    auto log = std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    log->set_pattern("%H:%M:%S.%e %l %v");
    spdlog::set_default_logger(log);
}

CLI::App* add_run(CLI::App& app, RunArguments& arguments) {
    auto* run = app.add_subcommand("run", "run an experiment");
    run->add_option("experiment", arguments.experiment_file, "the experiment (TOML)")->required();
    run->add_option("--controller", arguments.controller,
                    "the controller program; default: coralhitch in the directory of this program");
    run->add_option("--out", arguments.results_file, "the file for the results (JSON)");
    run->add_option("--set", arguments.overrides,
                    "KEY=VALUE: replaces the value of a field of the experiment")
        ->take_all();
    run->add_option("--sweep", arguments.sweep, "KEY=V1,V2,...: one run for each value");
    run->add_flag("--keep", arguments.keep_directory, "keep settings and logs");
    run->add_flag("--raw", arguments.with_snapshots, "include the snapshots in the results");
    run->add_flag("--quiet", arguments.quiet, "print no progress lines");
    return run;
}

CLI::App* add_role(CLI::App& app, const char* name, const char* description, RoleArguments& arguments) {
    auto* role = app.add_subcommand(name, description);
    role->add_option("--experiment", arguments.experiment_file)->required();
    role->add_option("--set", arguments.overrides)->take_all();
    return role;
}

Commands add_commands(CLI::App& app, RunArguments& run, RoleArguments& role) {
    Commands commands{};
    commands.run = add_run(app, run);
    commands.infrastructure =
        add_role(app, "infrastructure", "simulate the key-value store and the cloud; started by `run`", role);
    commands.workers = add_role(app, "workers", "simulate hollow workers; started by `run`", role);
    commands.workers->add_option("--process", role.process)->required();
    commands.load =
        add_role(app, "load", "simulate the users, with load balancer and checker; started by `run`", role);
    commands.load->alias("users");  // its former name
    return commands;
}

int execute(const Commands& commands, const RunArguments& run, const RoleArguments& role) {
    if (commands.run->parsed()) return execute_run(run);
    raise_descriptor_limit();
    auto experiment = load_experiment(role.experiment_file, parse_overrides(role.overrides));
    if (commands.infrastructure->parsed()) return run_infrastructure_process(experiment);
    if (commands.workers->parsed()) return run_worker_process(experiment, role.process);
    return run_load_process(experiment);
}

int main_program(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    set_up_log();
    CLI::App app("coralhitch-scale: a cluster of hollow workers around real controllers, on loopback");
    app.require_subcommand(1);
    RunArguments run;
    RoleArguments role;
    auto commands = add_commands(app, run, role);
    CLI11_PARSE(app, argc, argv);
    return execute(commands, run, role);
}

}  // namespace
}  // namespace coralhitch::scale

int main(int argc, char** argv) {
    try {
        return coralhitch::scale::main_program(argc, argv);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "coralhitch-scale: %s\n", error.what());
    } catch (...) {
        std::fprintf(stderr, "coralhitch-scale: an unknown error\n");
    }
    return 1;
}
