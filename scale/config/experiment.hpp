// The description of an experiment: the cluster, the load on it, its phases and faults. experiment_file.hpp
// reads it from a file.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace coralhitch::scale {

// Timings that are also in the controllers' settings, and the properties of hollow workers. A machine boots
// in 0.6 to 1.5 times `boot_s`, and `fetch_gb_per_s` is the mean rate at which images are fetched.
struct WorkerSettings {
    double heartbeat_interval_s = 3, lease_s = 31, gang_wait_s = 50, gang_peer_s = 5, cancel_s = 61;
    double boot_s = 2, fetch_gb_per_s = 10, cache_gb = 50;
};

// The generated load.
struct LoadSettings {
    // Mean number of running array and gang tasks at the highest rate of starts of all phases, as a ratio to
    // workers * tasks_per_worker. total_service_tasks() gives the number of service replicas beside them.
    double turnover_share = 0.18;
    std::uint32_t service_tasks = 100;  // replicas of one service
    std::uint32_t array_tasks = 20;     // tasks of one array
    std::vector<std::uint32_t> gang_sizes{2, 4, 8};
    // Shares of the arriving arrays and gangs: gangs, jobs of production priority, and jobs that are
    // cancelled.
    double gang_share = 0.1, urgent_share = 0.1, cancel_share = 0.02;
    std::uint32_t teams = 4, images = 8;
    double image_gb = 0.5;
    // CPU limit of an additional team, which also submits jobs. 0: there is no such team.
    double tight_cpus = 0;
    double poll_s = 5;  // interval at which users poll the status of a job
};

// Limits and latencies of the key-value store: table `state` of the file.
struct KvStoreSettings {
    double rps = 200, write_rps = 40, value_kb = 16;
    std::uint32_t txn_ops = 24;
    // Mean latency of most answers, share of slow answers, and mean latency of slow answers.
    double latency_ms = 2, slow_share = 0.002, slow_ms = 200;
};

// Limits and latencies of the simulated cloud. Lists of machines are up to `list_lag_s` old, and `latency_ms`
// is the mean latency of answers.
struct CloudSettings {
    double rps = 10, list_lag_s = 10, latency_ms = 20;
};

// Resources that each controller may use, according to its settings.
struct LimitSettings {
    double core_share = 0.5, memory_mb = 512;
    std::uint32_t sockets = 8000;
};

// A period of the run with a constant rate of starts. Results are reported for each phase.
struct Phase {
    std::string name;
    double seconds = 0, starts_per_worker_s = 0;
};

// Effect of a fault: kills one controller, kills all at the same time, kills them one after the other, fails
// a number of machines, fails a rack of machines, fails the machines and controllers of a zone, or makes the
// key-value store refuse requests.
enum class FaultKind { controller, restart_all, roll, machines, rack, zone, state_outage };

// A fault to inject.
struct Fault {
    FaultKind kind = FaultKind::controller;
    std::string name;  // name of the kind in the file
    double at_s = 0;   // seconds after the beginning of the first phase
    // Seconds until killed controllers are restarted, machines can be created in a failed zone again, or the
    // outage ends.
    double back_s = 1;
    std::string which;           // `controller`: a label or "leader"; `zone`: a zone; ignored otherwise
    std::uint32_t machines = 0;  // `machines`: how many fail
};

// One experiment. Members that the file may leave out have their default values.
struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    std::uint32_t workers = 0, controllers = 3, worker_processes = 1, machines_per_rack = 16;
    double tasks_per_worker = 0, room_ratio = 1.15, fill_s = 60, drain_s = 5;
    std::uint16_t port_base = 0;  // first port; 0: choose_ports() chooses free ports
    std::vector<std::string> zones{"a", "b", "c"};
    WorkerSettings worker;
    LoadSettings load;
    KvStoreSettings kv_store;
    CloudSettings cloud;
    LimitSettings limits;
    std::vector<Phase> phases;
    std::vector<Fault> faults;

    [[nodiscard]] std::uint32_t slots() const;         // tasks that fit on one machine
    [[nodiscard]] double total_service_tasks() const;  // total number of service replicas
    [[nodiscard]] double turnover_run_s() const;       // mean run time of array and gang tasks
    // Returns the highest rate of all phases, in starts per worker and second.
    [[nodiscard]] double max_starts_per_worker_s() const;
    [[nodiscard]] double phases_s() const;  // total duration of all phases
    // Returns the CPUs per team if all teams had equal shares of the machines.
    [[nodiscard]] double equal_share_cpus() const;

    // Return addresses on the loopback interface, with ports relative to `port_base`.
    [[nodiscard]] std::string kv_store_addr() const;
    [[nodiscard]] std::string cloud_addr() const;
    [[nodiscard]] std::string load_control_addr() const;
    [[nodiscard]] std::string infrastructure_control_addr() const;
    [[nodiscard]] std::string worker_control_addr(std::uint32_t process) const;
    [[nodiscard]] std::string controller_addr(std::uint32_t index) const;
    [[nodiscard]] std::string peer_addr(std::uint32_t index) const;
    [[nodiscard]] std::string worker_addr(std::uint64_t number) const;

    static std::string controller_label(std::uint32_t index) { return "berth-" + std::to_string(index); }
    [[nodiscard]] std::string zone_of_controller(std::uint32_t index) const {
        return zones[index % zones.size()];
    }
};

}  // namespace coralhitch::scale
