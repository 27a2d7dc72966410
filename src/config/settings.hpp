// The platform's settings (TOML) and the operators' settings (protobuf text format).
//
// Plain values, read once when the process starts and not changed afterwards. Times are in seconds. The field
// names in the files are a public interface and must not change.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace coralhitch::config {

// Error for a settings file that cannot be used. what() is one line for operators with the file, the path of
// the field, the values it allows and the value found.
class BadSettings : public std::runtime_error {
  public:
    // For a problem with the whole file, or at a place in it that is not a field.
    BadSettings(std::string file, const std::string& problem)
        : std::runtime_error(file + ": " + problem), file_(std::move(file)) {}
    BadSettings(std::string file, std::string field, const std::string& problem)
        : std::runtime_error(file + ": field '" + field + "' " + problem),
          file_(std::move(file)),
          field_(std::move(field)) {}
    [[nodiscard]] const std::string& file() const { return file_; }
    // Returns the path of the field, such as `cluster.workers.lease_s`; empty if the error is not about a
    // single field.
    [[nodiscard]] const std::string& field() const { return field_; }

  private:
    std::string file_;
    std::string field_;
};

// The address of another controller.
struct Peer {
    std::string label, zone, addr;
};
// A team's guaranteed quota and hard limit.
struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0 in a `_max` field: no limit
};
// A service-level objective: the share of the jobs of a kind and class that must start or end within a time.
struct Objective {
    std::string kind, job_class;
    double within_s = 0, share = 0;
};
// The operators' settings with their defaults; operator.proto describes each.
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
// The platform's settings, with their names in the file mapped to the usual terms.
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
    // The limits of the key-value store. The store may switch to the limits in `state.next` at any moment
    // without notice, so requests and values observe the smaller of both from the start.
    double kv_rps = 0, kv_write_rps = 0, safe_value_kb = 0;
    std::uint32_t txn_ops = 0;
    // The store's present limit for a value, without `state.next`. The layout of stored progress depends on
    // it in every version.
    double value_kb = 0;
    double cloud_rps = 0, list_lag_s = 0;
    double cpu_share = 1, memory_mb = 0;
    std::uint32_t sockets = 0;
    Operator op;
};

// The functions below throw BadSettings. For the parse functions, `file` is only the name given in the error.
Settings parse_settings(const std::string& text, const std::string& file);
Settings load_settings(const std::string& file);
Operator parse_operator(const std::string& text, const std::string& file);
Operator load_operator(const std::string& file);

// Returns the rate of status queries, per second, that uses half of the processor share. A query on its own
// connection was measured to cost 0.25 ms, packets included.
[[nodiscard]] double status_queries_per_s(const Settings& settings);
// Returns the share of a core that a controller needs to handle the heartbeats of as many agents as it has
// sockets for, with little left for other work.
[[nodiscard]] double expected_cpu_share(const Settings& settings);

}  // namespace coralhitch::config
