#include "scale/runner/cluster_processes.hpp"

#include <algorithm>
#include <fstream>

#include "protocol/user_api.hpp"
#include "scale/config/controller_settings.hpp"
#include "scale/process/control_server.hpp"

namespace coralhitch::scale {
namespace {

constexpr double largest_memory_share = 0.5;  // of the host's memory
constexpr std::size_t log_lines_shown = 5;
constexpr const char* operator_settings_file = "operator.textproto";

void write_file(const std::string& file, const std::string& text) {
    std::ofstream out(file);
    out << text;
    if (!out) throw ExperimentError(file + ": can't be written");
}

nlohmann::json usage_json(const ProcessUsage& usage) {
    return {{"cpu_s", usage.cpu_s},
            {"peak_bytes", usage.peak_bytes},
            {"rss_bytes", usage.rss_bytes},
            {"sockets", usage.sockets}};
}

}  // namespace

ClusterProcesses::ClusterProcesses(const Experiment& experiment, const RunOptions& options)
    : experiment_(experiment), options_(options), controllers_(experiment.controllers) {}

// --- Start and end --------------------------------------------------------------------------------------

void ClusterProcesses::start_role(const std::string& name, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), options_.self);
    arguments.insert(arguments.end(), {"--experiment", options_.file});
    for (auto& change : options_.overrides)
        arguments.insert(arguments.end(), {"--set", change.key + "=" + change.value});
    arguments.insert(arguments.end(), {"--set", "port_base=" + std::to_string(experiment_.port_base)});
    roles_.push_back(std::make_unique<ChildProcess>(name, arguments, path_of(name + ".log")));
}

void ClusterProcesses::start_all(ControlClient& control, const std::function<void()>& ready) {
    write_file(path_of(operator_settings_file), operator_settings(experiment_));
    // Results name the load process `users`, which was its former name.
    start_role("users", {"load"});
    control.wait_until_ready(experiment_.load_control_addr(), control_paths::stats, [this, &control, ready] {
        start_workers_and_infrastructure();
        wait_for_workers(control, 0, ready);
    });
}

void ClusterProcesses::start_workers_and_infrastructure() {
    for (std::uint32_t process = 0; process < experiment_.worker_processes; ++process) {
        auto number = std::to_string(process);
        start_role("workers-" + number, {"workers", "--process", number});
    }
    start_role("infrastructure", {"infrastructure"});
}

void ClusterProcesses::wait_for_workers(ControlClient& control, std::uint32_t process,
                                        const std::function<void()>& ready) {
    if (process < experiment_.worker_processes)
        return control.wait_until_ready(
            experiment_.worker_control_addr(process), control_paths::stats,
            [this, &control, process, ready] { wait_for_workers(control, process + 1, ready); });
    control.wait_until_ready(
        experiment_.infrastructure_control_addr(), control_paths::stats, [this, &control, ready] {
            for (std::uint32_t index = 0; index < experiment_.controllers; ++index) start_controller(index);
            control.wait_until_ready(experiment_.controller_addr(0), protocol::paths::health, ready);
        });
}

void ClusterProcesses::start_controller(std::uint32_t index) {
    auto name = Experiment::controller_label(index);
    auto settings = path_of(name + ".toml");
    write_file(settings, controller_settings(experiment_, index));
    std::vector<std::string> arguments{options_.controller, "--config", settings, "--operator",
                                       path_of(operator_settings_file)};
    auto& controller = controllers_[index];
    controller.child = std::make_unique<ChildProcess>(name, arguments, path_of(name + ".log"));
    controller.down = false;
}

bool ClusterProcesses::end_controller(std::uint32_t index) {
    auto& controller = controllers_[index];
    if (controller.down || !controller.child) return false;
    controller.down = true;
    controller.child->kill_and_wait();
    auto used = controller.child->usage();
    controller.cpu_s_before += used.cpu_s;
    controller.peak_bytes_before = std::max(controller.peak_bytes_before, used.peak_bytes);
    return true;
}

void ClusterProcesses::end_all() {
    for (auto& controller : controllers_)
        if (controller.child) controller.child->kill_and_wait();
    for (auto& role : roles_) role->kill_and_wait();
}

// --- Usage ----------------------------------------------------------------------------------------------

void ClusterProcesses::check(const std::function<void(const std::string&)>& on_failure) {
    std::uint64_t memory_bytes = 0;
    auto check_child = [&](ChildProcess& child) {
        if (child.has_ended())
            return on_failure(child.name() + " ended " + child.end_reason() + "; its last lines:\n" +
                              last_lines(child.log(), log_lines_shown));
        memory_bytes += child.usage().rss_bytes;
    };
    for (auto& role : roles_) check_child(*role);
    for (auto& controller : controllers_)
        if (controller.child && !controller.down) check_child(*controller.child);
    peak_memory_bytes_ = std::max(peak_memory_bytes_, memory_bytes);
    double allowed = largest_memory_share * static_cast<double>(machine_memory_bytes());
    if (static_cast<double>(memory_bytes) > allowed)
        on_failure("the processes use more than half of the machine's memory");
}

ProcessUsage ClusterProcesses::controller_usage(const Controller& controller) const {
    auto usage = controller.child->usage();
    // If the controller is down, `cpu_s_before` already includes its last process.
    usage.cpu_s = controller.cpu_s_before + (controller.down ? 0 : usage.cpu_s);
    usage.peak_bytes = std::max(usage.peak_bytes, controller.peak_bytes_before);
    return usage;
}

nlohmann::json ClusterProcesses::usage() const {
    auto usage = nlohmann::json::object();
    for (auto& role : roles_) usage[role->name()] = usage_json(role->usage());
    for (auto& controller : controllers_)
        usage[controller.child->name()] = usage_json(controller_usage(controller));
    return usage;
}

}  // namespace coralhitch::scale
