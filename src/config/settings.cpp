#include "config/settings.hpp"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>

#include "config/toml_table.hpp"
#include "operator.pb.h"

namespace coralhitch::config {
namespace {

constexpr std::uint32_t min_txn_ops = 2;  // the condition on the leader's key, and one change

std::string read_file(const std::string& file) {
    std::ifstream stream(file);
    if (!stream) throw BadSettings(file, "cannot be opened for reading");
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void read_own_addresses(const TomlTable& root, Settings& settings) {
    settings.label = root.text("label");
    settings.zone = root.text("domain");
    settings.listen = root.address("public_addr");
    settings.peer_listen = root.address("peer_listen");
}

void read_peers(const TomlTable& root, Settings& settings) {
    for (auto& seed : root.rows("seeds"))
        settings.peers.push_back({seed.text("label"), seed.text("domain"), seed.address("peer_addr")});
}

void read_endpoints(const TomlTable& endpoints, Settings& settings) {
    settings.cloud_addr = endpoints.address("cloud");
    settings.kv_addr = endpoints.address("state");
}

Team read_team(const TomlTable& table) {
    Team team;
    team.name = table.text("name");
    team.cpus = table.number("cpus", 0);
    team.cpus_max = table.number("cpus_max", 0);
    team.gpus = table.number("gpus", 0);
    team.gpus_max = table.number("gpus_max", 0);
    return team;
}

Objective read_objective(const TomlTable& table) {
    Objective objective;
    objective.kind = table.text("kind");
    if (table.has("class")) objective.job_class = table.text("class");
    if (table.has("within_s")) objective.within_s = table.number("within_s", 0);
    if (table.has("share")) objective.share = table.number("share", 0);
    return objective;
}

void read_cluster(const TomlTable& cluster, Settings& settings) {
    constexpr double ms_per_s = 1000;
    settings.nodes = cluster.count("nodes", 1);
    settings.zones = cluster.texts("zones");
    settings.max_clock_skew_s = cluster.number("skew_ms", 0) / ms_per_s;
    for (auto& team : cluster.rows("teams")) settings.teams.push_back(read_team(team));
    for (auto& objective : cluster.rows("objectives"))
        settings.objectives.push_back(read_objective(objective));
}

void read_workers(const TomlTable& workers, Settings& settings) {
    settings.heartbeat_interval_s = workers.positive_number("report_s");
    settings.lease_s = workers.positive_number("lease_s");
    settings.gang_wait_s = workers.number("gang_wait_s", 0);
    settings.gang_peer_s = workers.number("gang_peer_s", 0);
    settings.cancel_s = workers.positive_number("cancel_s");
    // On a machine that commands cannot reach, the tasks of a cancelled job end only when the agent's lease
    // expires. With a shorter cancel_s, any renewal of a lease could let such a task run for too long.
    if (settings.cancel_s < settings.lease_s + settings.heartbeat_interval_s)
        workers.fail_with_value("cancel_s", "must be at least lease_s + report_s");
}

// Lowers the store's limits to those that it may switch to, where these are lower.
void apply_next_limits(const TomlTable& next, Settings& settings) {
    auto lower = [&](const char* field, double& limit) {
        if (next.has(field)) limit = std::min(limit, next.positive_number(field));
    };
    lower("rps", settings.kv_rps);
    lower("write_rps", settings.kv_write_rps);
    lower("value_kb", settings.safe_value_kb);
    if (next.has("txn_ops"))
        settings.txn_ops = std::min(settings.txn_ops, next.count("txn_ops", min_txn_ops));
}

void read_key_value_store(const TomlTable& store, Settings& settings) {
    settings.kv_rps = store.positive_number("rps");
    settings.kv_write_rps = store.positive_number("write_rps");
    settings.value_kb = store.positive_number("value_kb");
    settings.txn_ops = store.count("txn_ops", min_txn_ops);
    settings.safe_value_kb = settings.value_kb;
    if (store.has("next")) apply_next_limits(store.subtable("next"), settings);
}

void read_cloud(const TomlTable& cloud, Settings& settings) {
    settings.cloud_rps = cloud.positive_number("rps");
    settings.list_lag_s = cloud.number("list_lag_s", 0);
}

// Values outside these ranges are taken for a mistake in the unit.
void read_process_limits(const TomlTable& limits, Settings& settings) {
    settings.cpu_share = limits.number_within("core_share", 1e-4, 1024);
    settings.memory_mb = limits.number_within("memory_mb", 8, 16e6);
    settings.sockets = limits.count("sockets", 16);
}

toml::table parse_toml(const std::string& text, const std::string& file) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw BadSettings(file, "line " + std::to_string(error.source().begin.line) + ": " +
                                    std::string(error.description()));
    }
}

}  // namespace

Settings parse_settings(const std::string& text, const std::string& file) {
    auto parsed = parse_toml(text, file);
    TomlTable root(parsed, file, "");
    Settings settings;
    read_own_addresses(root, settings);
    read_peers(root, settings);
    read_endpoints(root.subtable("endpoints"), settings);
    auto cluster = root.subtable("cluster");
    read_cluster(cluster, settings);
    read_workers(cluster.subtable("workers"), settings);
    read_key_value_store(cluster.subtable("state"), settings);
    read_cloud(cluster.subtable("cloud"), settings);
    read_process_limits(cluster.subtable("limits"), settings);
    return settings;
}

double status_queries_per_s(const Settings& settings) {
    constexpr double query_cost_s = 2.5e-4, query_share = 1.0 / 2;
    return settings.cpu_share * query_share / query_cost_s;
}

double expected_cpu_share(const Settings& settings) {
    // heartbeat_cost_s is the measured processor time of a heartbeat and its response; worker_socket_ratio is
    // the share of the sockets that agents may use.
    constexpr double heartbeat_cost_s = 1e-4, worker_socket_ratio = 0.7;
    return settings.sockets * worker_socket_ratio / settings.heartbeat_interval_s * heartbeat_cost_s;
}

Settings load_settings(const std::string& file) {
    return parse_settings(read_file(file), file);
}

namespace {
// Keeps the first error of a parse, with its line and column.
class FirstError : public google::protobuf::io::ErrorCollector {
  public:
    void AddError(int line, int column, const std::string& message) override {
        if (!text_.empty()) return;
        text_ =
            "line " + std::to_string(line + 1) + ", column " + std::to_string(column + 1) + ": " + message;
    }
    [[nodiscard]] const std::string& text() const { return text_; }

  private:
    std::string text_;
};

OperatorSettings parse_operator_fields(const std::string& text, const std::string& file) {
    OperatorSettings fields;
    FirstError error;
    google::protobuf::TextFormat::Parser parser;
    parser.RecordErrorsTo(&error);
    if (!parser.ParseFromString(text, &fields)) throw BadSettings(file, error.text());
    return fields;
}

struct Range {
    double min = 0;
    double max = 0;
};

double require_within(const std::string& file, const char* field, double value, Range range) {
    if (value >= range.min && value <= range.max) return value;
    std::ostringstream problem;
    problem << "must be from " << range.min << " to " << range.max << ", found " << std::setprecision(15)
            << value;
    throw BadSettings(file, field, problem.str());
}

// Reads fields under their former names; see operator.proto.
void read_former_names(const OperatorSettings& fields, const std::string& file, Range suspicion_timeout,
                       Operator& op) {
    if (fields.has_silence_reports())
        op.suspicion_timeout_periods =
            require_within(file, "silence_reports", fields.silence_reports(), suspicion_timeout);
    if (fields.has_hearing()) op.relay_heartbeats = fields.hearing();
    if (fields.has_standby()) op.replicate_starts = fields.standby();
}

Operator read_operator(const OperatorSettings& fields, const std::string& file) {
    constexpr Range suspicion_timeout{1.5, 100};
    Operator op;
    read_former_names(fields, file, suspicion_timeout, op);
    auto number = [&](const char* field, double value, Range range) {
        return require_within(file, field, value, range);
    };
    if (fields.has_lease_ratio()) op.lease_ratio = number("lease_ratio", fields.lease_ratio(), {0.02, 0.5});
    if (fields.has_suspicion_timeout_periods())
        op.suspicion_timeout_periods =
            number("suspicion_timeout_periods", fields.suspicion_timeout_periods(), suspicion_timeout);
    if (fields.has_draws()) op.draws = static_cast<std::uint32_t>(number("draws", fields.draws(), {2, 64}));
    if (fields.has_draw_rounds())
        op.draw_rounds = static_cast<std::uint32_t>(number("draw_rounds", fields.draw_rounds(), {1, 64}));
    if (fields.has_reserve_ratio())
        op.reserve_ratio = number("reserve_ratio", fields.reserve_ratio(), {0, 10});
    if (fields.has_max_machines()) op.max_machines = fields.max_machines();
    if (fields.has_relay_heartbeats()) op.relay_heartbeats = fields.relay_heartbeats();
    if (fields.has_replicate_starts()) op.replicate_starts = fields.replicate_starts();
    if (fields.has_idle_boots()) op.idle_boots = number("idle_boots", fields.idle_boots(), {0.1, 1000});
    return op;
}

}  // namespace

Operator parse_operator(const std::string& text, const std::string& file) {
    return read_operator(parse_operator_fields(text, file), file);
}

Operator load_operator(const std::string& file) {
    return parse_operator(read_file(file), file);
}

}  // namespace coralhitch::config
