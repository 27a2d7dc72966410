#include "scale/experiment.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace coralhitch::scale {
namespace {

// Reads one table, notes what it read, and refuses what nobody reads: a misspelt field would change the
// experiment.
class Fields {
  public:
    Fields(const toml::table& table, std::string where) : table_(table), where_(std::move(where)) {}
    void number(const char* key, double& out, double least, double most = 1e9) {
        auto* n = take(key);
        if (!n) return;
        auto v = n->value<double>();
        if (!v || !std::isfinite(*v) || *v < least || *v > most)
            fail(key, "must be a number from " + trimmed(least) + " to " + trimmed(most));
        out = *v;
    }
    template <class Int>
    void count(const char* key, Int& out, std::int64_t least, std::int64_t most) {
        auto* n = take(key);
        if (!n) return;
        auto v = n->value<std::int64_t>();
        if (!v || *v < least || *v > most)
            fail(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        out = static_cast<Int>(*v);
    }
    void text(const char* key, std::string& out) {
        auto* n = take(key);
        if (!n) return;
        auto v = n->value<std::string>();
        if (!v) fail(key, "must be a string");
        out = *v;
    }
    template <class T>
    void list(const char* key, std::vector<T>& out) {
        auto* n = take(key);
        if (!n) return;
        if (!n->as_array() || n->as_array()->empty()) fail(key, "must be a list that is not empty");
        out.clear();
        for (auto& e : *n->as_array()) {
            auto v = e.value<T>();
            if (!v) fail(key, "holds something of another type");
            out.push_back(*v);
        }
    }
    const toml::node* take(const char* key) {
        read_.insert(key);
        return table_.get(key);
    }
    void need(const char* key) const {
        if (!table_.get(key)) fail(key, "is missing");
    }
    void done() const {
        for (auto& [key, value] : table_)
            if (!read_.contains(std::string(key.str()))) fail(std::string(key.str()), "is not known");
    }
    [[noreturn]] void fail(const std::string& key, const std::string& what) const {
        throw Refused("field '" + (where_.empty() ? key : where_ + "." + key) + "' " + what);
    }

  private:
    static std::string trimmed(double v) {
        std::ostringstream o;
        o << v;
        return o.str();
    }
    const toml::table& table_;
    std::string where_;
    std::set<std::string> read_;
};

template <class Read>
void sub(Fields& parent, const char* key, Read read) {
    auto* n = parent.take(key);
    if (!n) return;
    if (!n->as_table()) parent.fail(key, "must be a table");
    Fields f(*n->as_table(), key);
    read(f);
    f.done();
}
template <class Read>
void rows(Fields& parent, const char* key, Read read) {
    auto* n = parent.take(key);
    if (!n) return;
    if (!n->as_array()) parent.fail(key, "must be a list of tables");
    std::size_t k = 0;
    for (auto& e : *n->as_array()) {
        if (!e.as_table()) parent.fail(key, "must be a list of tables");
        Fields f(*e.as_table(), std::string(key) + "[" + std::to_string(k++) + "]");
        read(f);
        f.done();
    }
}

struct KnownFault {
    const char* name;
    FaultKind kind;
};
constexpr KnownFault known_faults[] = {{"controller", FaultKind::controller},
                                       {"restart_all", FaultKind::restart_all},
                                       {"roll", FaultKind::roll},
                                       {"machines", FaultKind::machines},
                                       {"rack", FaultKind::rack},
                                       {"zone", FaultKind::zone},
                                       {"state_outage", FaultKind::state_outage}};
// Named in the plans for this tool, and not made: a run that left them out silently would claim too much.
constexpr const char* unsupported_faults[] = {"region_link", "configuration"};

FaultKind fault_kind(Fields& f, const std::string& name) {
    for (auto& k : known_faults)
        if (name == k.name) return k.kind;
    for (auto* u : unsupported_faults)
        if (name == u) f.fail("kind", "'" + name + "' is not supported by this version");
    f.fail("kind", "'" + name + "' is not a fault");
}

Fault read_fault(Fields& f) {
    Fault fault;
    f.need("kind");
    f.text("kind", fault.name);
    fault.kind = fault_kind(f, fault.name);
    f.number("at_s", fault.at_s, 0, 86400);
    f.number("back_s", fault.back_s, 0, 86400);
    f.text("which", fault.which);
    f.count("machines", fault.machines, 0, 100000);
    return fault;
}

void check(const Experiment& e) {
    if (e.phases.empty()) throw Refused("field 'phases' must hold at least one phase");
    if (e.worker.cancel_s < e.worker.lease_s + e.worker.heartbeat_interval_s)
        throw Refused("field 'worker.cancel_s' must be at least lease_s + report_s");
    for (auto& f : e.faults) {
        if (f.at_s >= e.phases_s()) throw Refused("fault '" + f.name + "' comes after the last phase");
        bool zone = std::find(e.zones.begin(), e.zones.end(), f.which) != e.zones.end();
        if (f.kind == FaultKind::zone && !zone)
            throw Refused("fault 'zone': there is no zone '" + f.which + "'");
        if (f.kind == FaultKind::machines && f.machines == 0)
            throw Refused("fault 'machines' needs 'machines'");
        bool label = f.which.empty() || f.which == "leader";
        for (std::uint32_t k = 0; k < e.controllers; ++k) label = label || f.which == Experiment::label(k);
        if (f.kind == FaultKind::controller && !label)
            throw Refused("fault 'controller': there is no controller '" + f.which + "'");
    }
}

void set(toml::table& root, const Override& o) {
    toml::table parsed;
    try {
        parsed = toml::parse("v = " + o.value);
    } catch (const toml::parse_error&) {
        parsed.insert_or_assign("v", o.value);
    }
    auto dot = o.key.find('.');
    toml::table* t = &root;
    if (dot != std::string::npos) {
        auto name = o.key.substr(0, dot);
        if (!t->contains(name)) t->insert(name, toml::table{});
        t = t->get(name)->as_table();
        if (!t) throw Refused("'" + o.key + "': '" + name + "' is not a table");
    }
    t->insert_or_assign(dot == std::string::npos ? o.key : o.key.substr(dot + 1), *parsed.get("v"));
}

}  // namespace

Experiment parse_experiment(const std::string& text, const std::string& file,
                            const std::vector<Override>& overrides) try {
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error& e) {
        throw Refused("line " + std::to_string(e.source().begin.line) + ": " + std::string(e.description()));
    }
    for (auto& o : overrides) set(root, o);
    Experiment e;
    Fields f(root, "");
    for (auto* key : {"name", "workers", "tasks_per_worker", "phases"}) f.need(key);
    f.text("name", e.name);
    f.count("seed", e.seed, 0, INT64_MAX);
    f.count("workers", e.workers, 1, 20000);
    f.count("controllers", e.controllers, 1, 17);
    f.count("worker_processes", e.worker_processes, 1, 32);
    f.count("machines_a_rack", e.machines_a_rack, 1, 1000);
    f.number("tasks_per_worker", e.tasks_per_worker, 0.1, 200);
    f.number("room_ratio", e.room_ratio, 1, 10);
    f.number("fill_s", e.fill_s, 1, 3600);
    f.number("drain_s", e.drain_s, 0, 600);
    f.count("port_base", e.port_base, 0, 60000);
    f.list("zones", e.zones);
    sub(f, "worker", [&](Fields& w) {
        w.number("report_s", e.worker.heartbeat_interval_s, 0.5);
        w.number("lease_s", e.worker.lease_s, 1);
        w.number("gang_wait_s", e.worker.gang_wait_s, 1);
        w.number("gang_peer_s", e.worker.gang_peer_s, 0.5);
        w.number("cancel_s", e.worker.cancel_s, 1);
        w.number("boot_s", e.worker.boot_s, 0);
        w.number("fetch_gb_per_s", e.worker.fetch_gb_per_s, 0.001);
        w.number("cache_gb", e.worker.cache_gb, 0.1);
    });
    sub(f, "load", [&](Fields& l) {
        l.number("turnover_share", e.load.turnover_share, 0.01, 1);
        l.count("service_tasks", e.load.service_tasks, 1, 100000);
        l.count("array_tasks", e.load.array_tasks, 1, 100000);
        l.list("gang_sizes", e.load.gang_sizes);
        l.number("gang_share", e.load.gang_share, 0, 1);
        l.number("urgent_share", e.load.urgent_share, 0, 1);
        l.number("cancel_share", e.load.cancel_share, 0, 1);
        l.count("teams", e.load.teams, 1, 1000);
        l.count("images", e.load.images, 1, 10000);
        l.number("image_gb", e.load.image_gb, 0.001);
        l.number("tight_cpus", e.load.tight_cpus, 0);
        l.number("poll_s", e.load.poll_s, 0.5);
    });
    sub(f, "state", [&](Fields& s) {
        s.number("rps", e.state.rps, 1);
        s.number("write_rps", e.state.write_rps, 1);
        s.number("value_kb", e.state.value_kb, 1, 64);
        s.count("txn_ops", e.state.txn_ops, 2, 1000);
        s.number("latency_ms", e.state.latency_ms, 0.1, 10000);
        s.number("slow_share", e.state.slow_share, 0, 1);
        s.number("slow_ms", e.state.slow_ms, 0, 60000);
    });
    sub(f, "cloud", [&](Fields& c) {
        c.number("rps", e.cloud.rps, 1);
        c.number("list_lag_s", e.cloud.list_lag_s, 0);
        c.number("latency_ms", e.cloud.latency_ms, 0.1, 10000);
    });
    sub(f, "limits", [&](Fields& l) {
        l.number("core_share", e.limits.core_share, 0.001, 1024);
        l.number("memory_mb", e.limits.memory_mb, 8);
        l.count("sockets", e.limits.sockets, 16, 1000000);
    });
    rows(f, "phases", [&](Fields& p) {
        Phase phase;
        for (auto* key : {"name", "seconds", "starts_per_worker_s"}) p.need(key);
        p.text("name", phase.name);
        p.number("seconds", phase.seconds, 1, 3600);
        p.number("starts_per_worker_s", phase.starts_per_worker_s, 0.0001, 100);
        e.phases.push_back(phase);
    });
    rows(f, "faults", [&](Fields& r) { e.faults.push_back(read_fault(r)); });
    f.done();
    check(e);
    return e;
} catch (const Refused& r) {
    throw Refused(file + ": " + r.what());
}

Experiment load_experiment(const std::string& file, const std::vector<Override>& overrides) {
    std::ifstream in(file);
    if (!in) throw Refused(file + ": can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_experiment(text.str(), file, overrides);
}

std::uint32_t Experiment::slots() const {
    return static_cast<std::uint32_t>(std::ceil(tasks_per_worker * room_ratio));
}
double Experiment::highest_rate() const {
    double most = 0;
    for (auto& p : phases) most = std::max(most, p.starts_per_worker_s);
    return most;
}
double Experiment::base_tasks() const {
    return workers * tasks_per_worker * (1 - load.turnover_share / 2);
}
double Experiment::turnover_run_s() const {
    return load.turnover_share * tasks_per_worker / highest_rate();
}
double Experiment::phases_s() const {
    double sum = 0;
    for (auto& p : phases) sum += p.seconds;
    return sum;
}

namespace {
std::string at(const std::string& host, std::uint32_t port) {
    return host + ":" + std::to_string(port);
}
}  // namespace
std::string Experiment::state_addr() const {
    return at("127.0.0.1", port_base);
}
std::string Experiment::cloud_addr() const {
    return at("127.0.0.1", port_base + 1u);
}
std::string Experiment::users_control() const {
    return at("127.0.0.1", port_base + 2u);
}
std::string Experiment::cloud_control() const {
    return at("127.0.0.1", port_base + 3u);
}
std::string Experiment::workers_control(std::uint32_t process) const {
    return at("127.0.0.1", port_base + 10 + process);
}
std::string Experiment::controller_addr(std::uint32_t k) const {
    return at("127.0.1." + std::to_string(k + 1), port_base + 50u);
}
std::string Experiment::peer_addr(std::uint32_t k) const {
    return at("127.0.1." + std::to_string(k + 1), port_base + 51u);
}
std::string Experiment::worker_addr(std::uint64_t n) const {
    // 127.64.0.1 and up, 250 addresses to each block: 16,000 blocks are more than the workers of any run.
    auto block = n / 250;
    return at("127." + std::to_string(64 + block / 256) + "." + std::to_string(block % 256) + "." +
                  std::to_string(n % 250 + 1),
              port_base + 60u);
}

std::string Experiment::controller_settings(std::uint32_t k) const {
    std::ostringstream o;
    o << "label = \"" << label(k) << "\"\ndomain = \"" << zone_of_controller(k) << "\"\npublic_addr = \""
      << controller_addr(k) << "\"\npeer_listen = \"" << peer_addr(k) << "\"\n";
    for (std::uint32_t p = 0; p < controllers; ++p)
        if (p != k)
            o << "[[seeds]]\nlabel = \"" << label(p) << "\"\ndomain = \"" << zone_of_controller(p)
              << "\"\npeer_addr = \"" << peer_addr(p) << "\"\n";
    o << "[endpoints]\ncloud = \"" << cloud_addr() << "\"\nstate = \"" << state_addr()
      << "\"\n[cluster]\nnodes = " << controllers << "\nzones = [";
    for (std::size_t z = 0; z < zones.size(); ++z) o << (z ? ", " : "") << '"' << zones[z] << '"';
    o << "]\nskew_ms = 25.0\n" << std::fixed;
    // Guarantees are an equal share of the machines; each team may use four times that.
    double share = static_cast<double>(workers) * slots() / load.teams;
    for (std::uint32_t t = 0; t < load.teams; ++t)
        o << "[[cluster.teams]]\nname = \"team-" << t << "\"\ncpus = " << share * 0.5
          << "\ncpus_max = " << share * 4 << "\ngpus = 0.0\ngpus_max = 0.0\n";
    if (load.tight_cpus > 0)
        o << "[[cluster.teams]]\nname = \"team-tight\"\ncpus = 0.0\ncpus_max = " << load.tight_cpus
          << "\ngpus = 0.0\ngpus_max = 0.0\n";
    o << "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\nwithin_s = 4.8\nshare = 0.9\n";
    o << "[cluster.workers]\nreport_s = " << worker.heartbeat_interval_s << "\nlease_s = " << worker.lease_s
      << "\ngang_wait_s = " << worker.gang_wait_s << "\ngang_peer_s = " << worker.gang_peer_s
      << "\ncancel_s = " << worker.cancel_s << "\n[cluster.state]\nrps = " << state.rps
      << "\nwrite_rps = " << state.write_rps << "\nvalue_kb = " << state.value_kb
      << "\ntxn_ops = " << state.txn_ops << "\n[cluster.cloud]\nrps = " << cloud.rps
      << "\nlist_lag_s = " << cloud.list_lag_s << "\n[cluster.limits]\ncore_share = " << limits.core_share
      << "\nmemory_mb = " << limits.memory_mb << "\nsockets = " << limits.sockets << "\n";
    return o.str();
}
std::string Experiment::operator_settings() const {
    // All of the machines are to be rented and stay, whatever the load: the count is what the experiment is
    // about.
    return "max_machines: " + std::to_string(workers) + "\nreserve_ratio: 2\nidle_boots: 1000\n";
}

}  // namespace coralhitch::scale
