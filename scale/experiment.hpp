// What an experiment is: one TOML file, checked whole before anything is started.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace coralhitch::scale {

// Says what is wrong, for the one who wrote the file or started the run.
struct Refused : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct WorkerSettings {
    double heartbeat_interval_s = 3, lease_s = 31, gang_wait_s = 50, gang_peer_s = 5, cancel_s = 61;
    double boot_s = 2, fetch_gb_per_s = 10, cache_gb = 50;
};
struct LoadSettings {
    // Of the tasks that are to run, this share comes and goes at the highest rate of starts of all phases;
    // the rest are replicas of services.
    double turnover_share = 0.18;
    std::uint32_t service_tasks = 100;  // replicas a service
    std::uint32_t array_tasks = 20;     // tasks an array
    std::vector<std::uint32_t> gang_sizes{2, 4, 8};
    // Shares of the jobs that arrive.
    double gang_share = 0.1, urgent_share = 0.1, cancel_share = 0.02;
    std::uint32_t teams = 4, images = 8;
    double image_gb = 0.5;
    double tight_cpus = 0;  // the limit of one team more, which takes part in the load; 0: there is none
    double poll_s = 5;
};
struct StateSettings {
    double rps = 200, write_rps = 40, value_kb = 16;
    std::uint32_t txn_ops = 24;
    double latency_ms = 2, slow_share = 0.002, slow_ms = 200;  // of answers; both latencies are means
};
struct CloudSettings {
    double rps = 10, list_lag_s = 10, latency_ms = 20;
};
struct LimitSettings {
    double core_share = 0.5, memory_mb = 512;
    std::uint32_t sockets = 8000;
};
struct Phase {
    std::string name;
    double seconds = 0, starts_per_worker_s = 0;
};
enum class FaultKind { controller, restart_all, roll, machines, rack, zone, state_outage };
struct Fault {
    FaultKind kind = FaultKind::controller;
    std::string name;   // as in the file
    double at_s = 0;    // after the first phase began
    double back_s = 1;  // until what ended is started again, or until the outage is over
    std::string which;  // a controller's label, or "leader"; a zone; a rack's number
    std::uint32_t machines = 0;
};

struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    std::uint32_t workers = 0, controllers = 3, worker_processes = 1, machines_a_rack = 16;
    double tasks_per_worker = 0, room_ratio = 1.15, fill_s = 60, drain_s = 5;
    std::uint16_t port_base = 0;  // 0: one that is free
    std::vector<std::string> zones{"a", "b", "c"};
    WorkerSettings worker;
    LoadSettings load;
    StateSettings state;
    CloudSettings cloud;
    LimitSettings limits;
    std::vector<Phase> phases;
    std::vector<Fault> faults;

    std::uint32_t slots() const;    // tasks that fit into one machine
    double base_tasks() const;      // replicas of services, in all
    double turnover_run_s() const;  // mean run time of what comes and goes
    double highest_rate() const;    // starts a worker and second
    double phases_s() const;
    // Ports, from the base. Hosts are addresses on loopback.
    std::string state_addr() const;
    std::string cloud_addr() const;
    std::string users_control() const;
    std::string cloud_control() const;
    std::string workers_control(std::uint32_t process) const;
    std::string controller_addr(std::uint32_t k) const;
    std::string peer_addr(std::uint32_t k) const;
    std::string worker_addr(std::uint64_t number) const;
    static std::string label(std::uint32_t k) { return "berth-" + std::to_string(k); }
    std::string zone_of_controller(std::uint32_t k) const { return zones[k % zones.size()]; }
    std::string controller_settings(std::uint32_t k) const;  // TOML
    std::string operator_settings() const;                   // protobuf text format
};

struct Override {
    std::string key, value;  // key: workers or load.teams
};
// Throws Refused.
Experiment parse_experiment(const std::string& text, const std::string& file,
                            const std::vector<Override>& overrides = {});
Experiment load_experiment(const std::string& file, const std::vector<Override>& overrides = {});

}  // namespace coralhitch::scale
