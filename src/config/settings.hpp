// The platform's settings (TOML) and the operators' own (protobuf text format).
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace coralhitch::config {

struct BadSettings : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Peer {
    std::string label, zone, addr;
};
struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // a maximum of 0: no limit
};
struct Objective {
    std::string kind, job_class;
    double within_s = 0, share = 0;
};
struct Operator {
    double lease_ratio = 0.1;
    double suspicion_timeout_periods = 1.6;
    std::uint32_t draws = 2;
    std::uint32_t draw_rounds = 4;
    double reserve_ratio = 0.3;
    std::uint32_t max_machines = 0;
    double idle_boots = 0.5;
    bool relay_heartbeats = true;
    bool replicate_starts = true;
};
struct Settings {
    std::string label, zone, listen, peer_listen;
    std::vector<Peer> peers;
    std::string cloud_addr, kv_addr;
    std::uint32_t nodes = 1;
    std::vector<std::string> zones;
    double max_clock_skew_s = 0;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
    // The key-value store's limits. It may go over to others at any moment without notice (`state.next`), so
    // what is asked of it and written keeps to the smaller of both from the start.
    double kv_rps = 0, kv_write_rps = 0, safe_value_kb = 0;
    std::uint32_t txn_ops = 0;
    // The present limit of a value alone: the layout of stored progress goes by it in every version.
    double value_kb = 0;
    double cloud_rps = 0, list_lag_s = 0;
    double cpu_share = 1, memory_mb = 0;
    std::uint32_t sockets = 0;
    Operator op;
};

Settings parse_settings(const std::string& text, const std::string& file);
// How many questions a second, each on a connection of its own, take half of the processor, at what they were
// seen to cost: 0.25 ms, packets included.
double status_queries_per_s(const Settings& s);
// The share of a core with which a controller hears as many workers as it has sockets for, and does little
// else.
double expected_cpu_share(const Settings& s);
Settings load_settings(const std::string& file);
Operator parse_operator(const std::string& text, const std::string& file);
Operator load_operator(const std::string& file);

}  // namespace coralhitch::config
