#include "scale/config/experiment.hpp"

#include <algorithm>
#include <cmath>

namespace coralhitch::scale {
namespace {

// Port numbers relative to the base port.
constexpr std::uint32_t cloud_port = 1, load_control_port = 2, infrastructure_control_port = 3,
                        first_worker_control_port = 10, controller_port = 50, peer_port = 51,
                        worker_port = 60;

std::string address(const std::string& host, std::uint32_t port) {
    return host + ":" + std::to_string(port);
}
std::string local_address(std::uint32_t port) {
    return address("127.0.0.1", port);
}
std::string controller_host(std::uint32_t index) {
    return "127.0.1." + std::to_string(index + 1);
}

}  // namespace

std::uint32_t Experiment::slots() const {
    return static_cast<std::uint32_t>(std::ceil(tasks_per_worker * room_ratio));
}
double Experiment::total_service_tasks() const {
    return workers * tasks_per_worker * (1 - load.turnover_share / 2);
}
double Experiment::turnover_run_s() const {
    return load.turnover_share * tasks_per_worker / max_starts_per_worker_s();
}
double Experiment::max_starts_per_worker_s() const {
    double most = 0;
    for (auto& phase : phases) most = std::max(most, phase.starts_per_worker_s);
    return most;
}
double Experiment::phases_s() const {
    double sum = 0;
    for (auto& phase : phases) sum += phase.seconds;
    return sum;
}
double Experiment::equal_share_cpus() const {
    return static_cast<double>(workers) * slots() / load.teams;
}

std::string Experiment::kv_store_addr() const {
    return local_address(port_base);
}
std::string Experiment::cloud_addr() const {
    return local_address(port_base + cloud_port);
}
std::string Experiment::load_control_addr() const {
    return local_address(port_base + load_control_port);
}
std::string Experiment::infrastructure_control_addr() const {
    return local_address(port_base + infrastructure_control_port);
}
std::string Experiment::worker_control_addr(std::uint32_t process) const {
    return local_address(port_base + first_worker_control_port + process);
}
std::string Experiment::controller_addr(std::uint32_t index) const {
    return address(controller_host(index), port_base + controller_port);
}
std::string Experiment::peer_addr(std::uint32_t index) const {
    return address(controller_host(index), port_base + peer_port);
}
std::string Experiment::worker_addr(std::uint64_t number) const {
    // Addresses begin at 127.64.0.1, with 250 in each /24 block. The 16,000 blocks are enough for the workers
    // of any run.
    auto block = number / 250;
    return address("127." + std::to_string(64 + block / 256) + "." + std::to_string(block % 256) + "." +
                       std::to_string(number % 250 + 1),
                   port_base + worker_port);
}

}  // namespace coralhitch::scale
