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

}  // namespace

Settings parse_settings(const std::string& text, const std::string& file) {
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error& e) {
        throw BadSettings(file + ": line " + std::to_string(e.source().begin.line) + ": " +
                          std::string(e.description()));
    }
    Table t(&root, file, "");
    Settings s;
    s.label = t.text("label");
    s.zone = t.text("domain");
    s.listen = t.addr("public_addr");
    s.peer_listen = t.addr("peer_listen");
    for (auto& p : t.rows("seeds"))
        s.peers.push_back({p.text("label"), p.text("domain"), p.addr("peer_addr")});
    auto endpoints = t.sub("endpoints");
    s.cloud_addr = endpoints.addr("cloud");
    s.kv_addr = endpoints.addr("state");
    auto c = t.sub("cluster");
    s.nodes = c.count("nodes", 1);
    s.zones = c.texts("zones");
    s.max_clock_skew_s = c.number("skew_ms", 0) / 1000;
    for (auto& r : c.rows("teams"))
        s.teams.push_back({r.text("name"), r.number("cpus", 0), r.number("cpus_max", 0), r.number("gpus", 0),
                           r.number("gpus_max", 0)});
    for (auto& r : c.rows("objectives")) {
        Objective o;
        o.kind = r.text("kind");
        if (r.has("class")) o.job_class = r.text("class");
        if (r.has("within_s")) o.within_s = r.number("within_s", 0);
        if (r.has("share")) o.share = r.number("share", 0);
        s.objectives.push_back(o);
    }
    auto w = c.sub("workers");
    s.heartbeat_interval_s = w.number("report_s", 0, true);
    s.lease_s = w.number("lease_s", 0, true);
    s.gang_wait_s = w.number("gang_wait_s", 0);
    s.gang_peer_s = w.number("gang_peer_s", 0);
    s.cancel_s = w.number("cancel_s", 0, true);
    // What ends the tasks of a cancelled job on a machine that no command reaches is its worker's lease. With
    // less time than this nobody could renew one without breaking the rule.
    if (s.cancel_s < s.lease_s + s.heartbeat_interval_s)
        throw BadSettings(file + ": field 'cluster.workers.cancel_s' must be at least lease_s + report_s");
    auto st = c.sub("state");
    s.kv_rps = st.number("rps", 0, true);
    s.kv_write_rps = st.number("write_rps", 0, true);
    s.value_kb = st.number("value_kb", 0, true);
    s.txn_ops = st.count("txn_ops", 2);
    s.safe_value_kb = s.value_kb;
    if (st.has("next")) {
        auto next = st.sub("next");
        auto lower = [&](const char* key, double& v) {
            if (next.has(key)) v = std::min(v, next.number(key, 0, true));
        };
        lower("rps", s.kv_rps);
        lower("write_rps", s.kv_write_rps);
        lower("value_kb", s.safe_value_kb);
        if (next.has("txn_ops")) s.txn_ops = std::min(s.txn_ops, next.count("txn_ops", 2));
    }
    auto cl = c.sub("cloud");
    s.cloud_rps = cl.number("rps", 0, true);
    s.list_lag_s = cl.number("list_lag_s", 0);
    auto l = c.sub("limits");
    // Below or beyond these somebody has mistaken the unit.
    s.cpu_share = l.number_within("core_share", 1e-4, 1024);
    s.memory_mb = l.number_within("memory_mb", 8, 16e6);
    s.sockets = l.count("sockets", 16);
    return s;
}
double status_queries_per_s(const Settings& s) {
    constexpr double question_cost_s = 2.5e-4, part = 1.0 / 2;
    return s.cpu_share * part / question_cost_s;
}
double expected_cpu_share(const Settings& s) {
    // As many workers as there are sockets for them, each report and its answer at what they were seen to
    // cost.
    constexpr double report_cost_s = 1e-4, workers = 0.7;
    return s.sockets * workers / s.heartbeat_interval_s * report_cost_s;
}
Settings load_settings(const std::string& file) {
    return parse_settings(read_file(file), file);
}

namespace {
class Complaints : public google::protobuf::io::ErrorCollector {
  public:
    void AddError(int line, int column, const std::string& message) override {
        if (first.empty())
            first = "line " + std::to_string(line + 1) + ", column " + std::to_string(column + 1) + ": " +
                    message;
    }
    std::string first;
};
}  // namespace

Operator parse_operator(const std::string& text, const std::string& file) {
    OperatorSettings p;
    Complaints complaints;
    google::protobuf::TextFormat::Parser parser;
    parser.RecordErrorsTo(&complaints);
    if (!parser.ParseFromString(text, &p)) throw BadSettings(file + ": " + complaints.first);
    Operator o;
    auto range = [&](const char* field, double v, double least, double most) {
        if (!(v >= least && v <= most)) {
            std::ostringstream m;
            m << file << ": field '" << field << "' must be from " << least << " to " << most;
            throw BadSettings(m.str());
        }
        return v;
    };
    if (p.has_lease_ratio()) o.lease_ratio = range("lease_ratio", p.lease_ratio(), 0.02, 0.5);
    if (p.has_silence_reports())
        o.suspicion_timeout_periods = range("silence_reports", p.silence_reports(), 1.5, 100);
    if (p.has_draws()) o.draws = static_cast<std::uint32_t>(range("draws", p.draws(), 2, 64));
    if (p.has_draw_rounds())
        o.draw_rounds = static_cast<std::uint32_t>(range("draw_rounds", p.draw_rounds(), 1, 64));
    if (p.has_reserve_ratio()) o.reserve_ratio = range("reserve_ratio", p.reserve_ratio(), 0, 10);
    if (p.has_max_machines()) o.max_machines = p.max_machines();
    if (p.has_hearing()) o.relay_heartbeats = p.hearing();
    if (p.has_standby()) o.standby = p.standby();
    if (p.has_idle_boots()) o.idle_boots = range("idle_boots", p.idle_boots(), 0.1, 1000);
    return o;
}
Operator load_operator(const std::string& file) {
    return parse_operator(read_file(file), file);
}

}  // namespace coralhitch::config
