#include "config/settings.hpp"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "operator.pb.h"

namespace coralhitch::config {
namespace {

// Reads one table and names the field in every complaint.
class Table {
  public:
    Table(const toml::table* t, std::string file, std::string where)
        : table_(t), file_(std::move(file)), where_(std::move(where)) {}

    std::string text(const char* key) const {
        auto v = node(key).value<std::string>();
        if (!v || v->empty()) fail(key, "must be a string that is not empty");
        return *v;
    }
    std::string addr(const char* key) const {
        auto v = text(key);
        auto colon = v.rfind(':');
        int port = 0;
        try {
            port = colon == std::string::npos ? 0 : std::stoi(v.substr(colon + 1));
        } catch (const std::exception&) {
        }
        if (colon == 0 || port < 1 || port > 65535) fail(key, "must be an address like 10.0.0.1:8080");
        return v;
    }
    double number(const char* key, double least, bool above = false) const {
        auto v = node(key).value<double>();
        if (!v || !std::isfinite(*v)) fail(key, "must be a number");
        if (*v < least || (above && *v == least))
            fail(key, (std::string("must be ") + (above ? "above " : "at least ") + trimmed(least)).c_str());
        return *v;
    }
    double number_within(const char* key, double least, double most) const {
        double v = number(key, least);
        if (v > most) fail(key, ("must be at most " + trimmed(most)).c_str());
        return v;
    }
    std::uint32_t count(const char* key, std::uint32_t least) const {
        auto v = node(key).value<std::int64_t>();
        if (!v || *v < least || *v > 0xffffffffll)
            fail(key, ("must be a whole number from " + std::to_string(least)).c_str());
        return static_cast<std::uint32_t>(*v);
    }
    Table sub(const char* key) const {
        auto* t = node(key).as_table();
        if (!t) fail(key, "must be a table");
        return {t, file_, path(key)};
    }
    std::vector<Table> rows(const char* key) const {
        std::vector<Table> out;
        auto* n = table_->get(key);
        if (!n) return out;
        auto* a = n->as_array();
        if (!a) fail(key, "must be a list of tables");
        for (auto& e : *a) {
            if (!e.as_table()) fail(key, "must be a list of tables");
            out.emplace_back(e.as_table(), file_, path(key) + "[" + std::to_string(out.size()) + "]");
        }
        return out;
    }
    std::vector<std::string> texts(const char* key) const {
        std::vector<std::string> out;
        auto* a = node(key).as_array();
        if (!a) fail(key, "must be a list of strings");
        for (auto& e : *a) {
            auto s = e.value<std::string>();
            if (!s) fail(key, "must be a list of strings");
            out.push_back(*s);
        }
        return out;
    }
    bool has(const char* key) const { return table_->get(key) != nullptr; }

  private:
    const toml::node& node(const char* key) const {
        auto* n = table_->get(key);
        if (!n) fail(key, "is missing");
        return *n;
    }
    std::string path(const char* key) const { return where_.empty() ? key : where_ + "." + key; }
    [[noreturn]] void fail(const char* key, const char* what) const {
        throw BadSettings(file_ + ": field '" + path(key) + "' " + what);
    }
    static std::string trimmed(double v) {
        std::ostringstream o;
        o << v;
        return o.str();
    }
    const toml::table* table_;
    std::string file_, where_;
};

std::string read_file(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw BadSettings(file + ": can't be read");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

toml::table parse_toml(const std::string& text, const std::string& file) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw BadSettings(file + ": line " + std::to_string(error.source().begin.line) + ": " +
                          std::string(error.description()));
    }
}

void read_controllers(const Table& root, Settings& settings) {
    settings.label = root.text("label");
    settings.zone = root.text("domain");
    settings.listen = root.addr("public_addr");
    settings.peer_listen = root.addr("peer_listen");
    for (auto& seed : root.rows("seeds"))
        settings.peers.push_back({seed.text("label"), seed.text("domain"), seed.addr("peer_addr")});
    auto endpoints = root.sub("endpoints");
    settings.cloud_addr = endpoints.addr("cloud");
    settings.kv_addr = endpoints.addr("state");
}

Objective read_objective(const Table& row) {
    Objective objective;
    objective.kind = row.text("kind");
    if (row.has("class")) objective.job_class = row.text("class");
    if (row.has("within_s")) objective.within_s = row.number("within_s", 0);
    if (row.has("share")) objective.share = row.number("share", 0);
    return objective;
}

void read_cluster(const Table& cluster, Settings& settings) {
    settings.nodes = cluster.count("nodes", 1);
    settings.zones = cluster.texts("zones");
    settings.max_clock_skew_s = cluster.number("skew_ms", 0) / 1000;
    for (auto& row : cluster.rows("teams"))
        settings.teams.push_back({row.text("name"), row.number("cpus", 0), row.number("cpus_max", 0),
                                  row.number("gpus", 0), row.number("gpus_max", 0)});
    for (auto& row : cluster.rows("objectives")) settings.objectives.push_back(read_objective(row));
}

void read_workers(const Table& workers, const std::string& file, Settings& settings) {
    settings.heartbeat_interval_s = workers.number("report_s", 0, true);
    settings.lease_s = workers.number("lease_s", 0, true);
    settings.gang_wait_s = workers.number("gang_wait_s", 0);
    settings.gang_peer_s = workers.number("gang_peer_s", 0);
    settings.cancel_s = workers.number("cancel_s", 0, true);
    // What ends the tasks of a cancelled job on a machine that no command reaches is its worker's lease. With
    // less time than this nobody could renew one without breaking the rule.
    if (settings.cancel_s < settings.lease_s + settings.heartbeat_interval_s)
        throw BadSettings(file + ": field 'cluster.workers.cancel_s' must be at least lease_s + report_s");
}

void read_kv_limits(const Table& limits, Settings& settings) {
    settings.kv_rps = limits.number("rps", 0, true);
    settings.kv_write_rps = limits.number("write_rps", 0, true);
    settings.value_kb = limits.number("value_kb", 0, true);
    settings.txn_ops = limits.count("txn_ops", 2);
    settings.safe_value_kb = settings.value_kb;
    if (!limits.has("next")) return;
    auto next = limits.sub("next");
    auto lower = [&](const char* key, double& limit) {
        if (next.has(key)) limit = std::min(limit, next.number(key, 0, true));
    };
    lower("rps", settings.kv_rps);
    lower("write_rps", settings.kv_write_rps);
    lower("value_kb", settings.safe_value_kb);
    if (next.has("txn_ops")) settings.txn_ops = std::min(settings.txn_ops, next.count("txn_ops", 2));
}

void read_own_limits(const Table& limits, Settings& settings) {
    // Below or beyond these somebody has mistaken the unit.
    settings.cpu_share = limits.number_within("core_share", 1e-4, 1024);
    settings.memory_mb = limits.number_within("memory_mb", 8, 16e6);
    settings.sockets = limits.count("sockets", 16);
}

}  // namespace

Settings parse_settings(const std::string& text, const std::string& file) {
    auto parsed = parse_toml(text, file);
    Table root(&parsed, file, "");
    Settings settings;
    read_controllers(root, settings);
    auto cluster = root.sub("cluster");
    read_cluster(cluster, settings);
    read_workers(cluster.sub("workers"), file, settings);
    read_kv_limits(cluster.sub("state"), settings);
    auto cloud = cluster.sub("cloud");
    settings.cloud_rps = cloud.number("rps", 0, true);
    settings.list_lag_s = cloud.number("list_lag_s", 0);
    read_own_limits(cluster.sub("limits"), settings);
    return settings;
}
Settings load_settings(const std::string& file) {
    return parse_settings(read_file(file), file);
}

double status_queries_per_s(const Settings& settings) {
    constexpr double query_cost_s = 2.5e-4, query_share = 1.0 / 2;
    return settings.cpu_share * query_share / query_cost_s;
}
double expected_cpu_share(const Settings& settings) {
    // As many workers as there are sockets for them, each heartbeat and its answer at what they were measured
    // to cost.
    constexpr double heartbeat_cost_s = 1e-4, worker_socket_ratio = 0.7;
    return settings.sockets * worker_socket_ratio / settings.heartbeat_interval_s * heartbeat_cost_s;
}

namespace {

class FirstError : public google::protobuf::io::ErrorCollector {
  public:
    void AddError(int line, int column, const std::string& message) override {
        if (text.empty())
            text = "line " + std::to_string(line + 1) + ", column " + std::to_string(column + 1) + ": " +
                   message;
    }
    std::string text;
};

struct Range {
    double least, most;
};
double within(const std::string& file, const char* field, double value, Range range) {
    if (value >= range.least && value <= range.most) return value;
    std::ostringstream error;
    error << file << ": field '" << field << "' must be from " << range.least << " to " << range.most;
    throw BadSettings(error.str());
}

// Fields under the names that they had before; see operator.proto.
void read_former_names(const OperatorSettings& fields, const std::string& file, Range suspicion_timeout,
                       Operator& op) {
    if (fields.has_silence_reports())
        op.suspicion_timeout_periods =
            within(file, "silence_reports", fields.silence_reports(), suspicion_timeout);
    if (fields.has_hearing()) op.relay_heartbeats = fields.hearing();
    if (fields.has_standby()) op.replicate_starts = fields.standby();
}

Operator read_operator(const OperatorSettings& fields, const std::string& file) {
    constexpr Range suspicion_timeout{1.5, 100};
    Operator op;
    read_former_names(fields, file, suspicion_timeout, op);
    auto number = [&](const char* field, double value, Range range) {
        return within(file, field, value, range);
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
    OperatorSettings fields;
    FirstError error;
    google::protobuf::TextFormat::Parser parser;
    parser.RecordErrorsTo(&error);
    if (!parser.ParseFromString(text, &fields)) throw BadSettings(file + ": " + error.text);
    return read_operator(fields, file);
}
Operator load_operator(const std::string& file) {
    return parse_operator(read_file(file), file);
}

}  // namespace coralhitch::config
