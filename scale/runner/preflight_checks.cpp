#include "scale/runner/preflight_checks.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include "event_loop/file_descriptor.hpp"
#include "http/address.hpp"
#include "scale/config/experiment_error.hpp"
#include "scale/process/child_process.hpp"

namespace coralhitch::scale {
namespace {

// File descriptors of a hollow worker: a listening socket, a connection to a controller, and connections from
// up to four other controllers at a time.
constexpr std::uint64_t descriptors_per_worker = 6, other_descriptors = 512;

// Candidates for the base port. They are below the kernel's range of ephemeral ports.
constexpr std::uint32_t first_port_base = 10000, port_base_step = 100, port_bases = 200,
                        port_base_attempts = 40, bases_per_try = 7;

void check_free(const std::string& addr) {
    auto socket_address = http::socket_address(addr);
    event_loop::Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!socket_address || !socket ||
        ::bind(socket.get(), reinterpret_cast<sockaddr*>(&*socket_address), sizeof *socket_address) < 0 ||
        ::listen(socket.get(), 1) < 0)
        throw ExperimentError("port in use: can't listen on " + addr);
}

void check_ports(const Experiment& experiment) {
    check_free(experiment.kv_store_addr());
    check_free(experiment.cloud_addr());
    check_free(experiment.load_control_addr());
    check_free(experiment.infrastructure_control_addr());
    for (std::uint32_t process = 0; process < experiment.worker_processes; ++process)
        check_free(experiment.worker_control_addr(process));
    for (std::uint32_t index = 0; index < experiment.controllers; ++index) {
        check_free(experiment.controller_addr(index));
        check_free(experiment.peer_addr(index));
    }
    check_free(experiment.worker_addr(0));
}

}  // namespace

void check_executable(const std::string& program) {
    if (::access(program.c_str(), X_OK) != 0) throw ExperimentError(program + ": can't be run");
}

void check_descriptors(const Experiment& experiment) {
    auto limit = raise_descriptor_limit();
    // Allows a tenth more workers than the equal share, since replaced machines exist for a while beside the
    // new ones.
    auto workers =
        (experiment.workers * 11ULL / 10 + experiment.worker_processes) / experiment.worker_processes;
    auto needed = workers * descriptors_per_worker + other_descriptors;
    if (limit < needed)
        throw ExperimentError("too few file descriptors: a worker process needs " + std::to_string(needed) +
                              ", the limit is " + std::to_string(limit) + "; raise it or 'worker_processes'");
    if (limit < experiment.limits.sockets)
        throw ExperimentError("too few file descriptors: limits.sockets is " +
                              std::to_string(experiment.limits.sockets) + ", the limit is " +
                              std::to_string(limit));
}

void choose_ports(Experiment& experiment) {
    if (experiment.port_base) return check_ports(experiment);
    auto start = static_cast<std::uint32_t>(::getpid());  // concurrent runs begin with different ports
    for (std::uint32_t tried = 1; true; ++tried) {
        auto base = (start + (tried - 1) * bases_per_try) % port_bases;
        experiment.port_base = static_cast<std::uint16_t>(first_port_base + base * port_base_step);
        try {
            return check_ports(experiment);
        } catch (const ExperimentError&) {
            if (tried == port_base_attempts) throw;
        }
    }
}

}  // namespace coralhitch::scale
