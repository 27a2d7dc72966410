#include "scale/config/experiment_file.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "scale/config/toml_fields.hpp"

namespace coralhitch::scale {
namespace {

struct FaultName {
    const char* name;
    FaultKind kind;
};
constexpr FaultName supported_faults[] = {{"controller", FaultKind::controller},
                                          {"restart_all", FaultKind::restart_all},
                                          {"roll", FaultKind::roll},
                                          {"machines", FaultKind::machines},
                                          {"rack", FaultKind::rack},
                                          {"zone", FaultKind::zone},
                                          {"state_outage", FaultKind::state_outage}};
// Kinds of faults that were planned for this tool but are not implemented. They are an error, because a run
// that ignored them would claim to have tested more than it has.
constexpr const char* unsupported_faults[] = {"region_link", "configuration"};

FaultKind fault_kind(const TomlFields& fields, const std::string& name) {
    for (auto& supported : supported_faults)
        if (name == supported.name) return supported.kind;
    for (auto* unsupported : unsupported_faults)
        if (name == unsupported) fields.fail("kind", "'" + name + "' is not supported by this version");
    fields.fail("kind", "'" + name + "' is not a fault");
}

// --- Tables ---------------------------------------------------------------------------------------------

void read_worker(TomlFields& fields, WorkerSettings& worker) {
    fields.number("report_s", worker.heartbeat_interval_s, 0.5);
    fields.number("lease_s", worker.lease_s, 1);
    fields.number("gang_wait_s", worker.gang_wait_s, 1);
    fields.number("gang_peer_s", worker.gang_peer_s, 0.5);
    fields.number("cancel_s", worker.cancel_s, 1);
    fields.number("boot_s", worker.boot_s, 0);
    fields.number("fetch_gb_per_s", worker.fetch_gb_per_s, 0.001);
    fields.number("cache_gb", worker.cache_gb, 0.1);
}
void read_load(TomlFields& fields, LoadSettings& load) {
    fields.number("turnover_share", load.turnover_share, 0.01, 1);
    fields.count("service_tasks", load.service_tasks, 1, 100000);
    fields.count("array_tasks", load.array_tasks, 1, 100000);
    fields.list("gang_sizes", load.gang_sizes);
    fields.number("gang_share", load.gang_share, 0, 1);
    fields.number("urgent_share", load.urgent_share, 0, 1);
    fields.number("cancel_share", load.cancel_share, 0, 1);
    fields.count("teams", load.teams, 1, 1000);
    fields.count("images", load.images, 1, 10000);
    fields.number("image_gb", load.image_gb, 0.001);
    fields.number("tight_cpus", load.tight_cpus, 0);
    fields.number("poll_s", load.poll_s, 0.5);
}
void read_kv_store(TomlFields& fields, KvStoreSettings& kv_store) {
    fields.number("rps", kv_store.rps, 1);
    fields.number("write_rps", kv_store.write_rps, 1);
    fields.number("value_kb", kv_store.value_kb, 1, 64);
    fields.count("txn_ops", kv_store.txn_ops, 2, 1000);
    fields.number("latency_ms", kv_store.latency_ms, 0.1, 10000);
    fields.number("slow_share", kv_store.slow_share, 0, 1);
    fields.number("slow_ms", kv_store.slow_ms, 0, 60000);
}
void read_cloud(TomlFields& fields, CloudSettings& cloud) {
    fields.number("rps", cloud.rps, 1);
    fields.number("list_lag_s", cloud.list_lag_s, 0);
    fields.number("latency_ms", cloud.latency_ms, 0.1, 10000);
}
void read_limits(TomlFields& fields, LimitSettings& limits) {
    fields.number("core_share", limits.core_share, 0.001, 1024);
    fields.number("memory_mb", limits.memory_mb, 8);
    fields.count("sockets", limits.sockets, 16, 1000000);
}
Phase read_phase(TomlFields& fields) {
    Phase phase;
    for (auto* key : {"name", "seconds", "starts_per_worker_s"}) fields.require(key);
    fields.text("name", phase.name);
    fields.number("seconds", phase.seconds, 1, 3600);
    fields.number("starts_per_worker_s", phase.starts_per_worker_s, 0.0001, 100);
    return phase;
}
Fault read_fault(TomlFields& fields) {
    Fault fault;
    fields.require("kind");
    fields.text("kind", fault.name);
    fault.kind = fault_kind(fields, fault.name);
    fields.number("at_s", fault.at_s, 0, 86400);
    fields.number("back_s", fault.back_s, 0, 86400);
    fields.text("which", fault.which);
    fields.count("machines", fault.machines, 0, 100000);
    return fault;
}
void read_cluster(TomlFields& fields, Experiment& experiment) {
    for (auto* key : {"name", "workers", "tasks_per_worker", "phases"}) fields.require(key);
    fields.text("name", experiment.name);
    fields.count("seed", experiment.seed, 0, INT64_MAX);
    fields.count("workers", experiment.workers, 1, 20000);
    fields.count("controllers", experiment.controllers, 1, 17);
    fields.count("worker_processes", experiment.worker_processes, 1, 32);
    fields.count("machines_a_rack", experiment.machines_per_rack, 1, 1000);
    fields.number("tasks_per_worker", experiment.tasks_per_worker, 0.1, 200);
    fields.number("room_ratio", experiment.room_ratio, 1, 10);
    fields.number("fill_s", experiment.fill_s, 1, 3600);
    fields.number("drain_s", experiment.drain_s, 0, 600);
    fields.count("port_base", experiment.port_base, 0, 60000);
    fields.list("zones", experiment.zones);
}
Experiment read_experiment(const toml::table& root) {
    Experiment experiment;
    TomlFields fields(root, "");
    read_cluster(fields, experiment);
    fields.table("worker", [&](TomlFields& worker) { read_worker(worker, experiment.worker); });
    fields.table("load", [&](TomlFields& load) { read_load(load, experiment.load); });
    fields.table("state", [&](TomlFields& state) { read_kv_store(state, experiment.kv_store); });
    fields.table("cloud", [&](TomlFields& cloud) { read_cloud(cloud, experiment.cloud); });
    fields.table("limits", [&](TomlFields& limits) { read_limits(limits, experiment.limits); });
    fields.tables("phases", [&](TomlFields& phase) { experiment.phases.push_back(read_phase(phase)); });
    fields.tables("faults", [&](TomlFields& fault) { experiment.faults.push_back(read_fault(fault)); });
    fields.check_all_read();
    return experiment;
}

// --- Checks across fields -------------------------------------------------------------------------------

bool names_a_controller(const Experiment& experiment, const std::string& label) {
    if (label.empty() || label == "leader") return true;
    for (std::uint32_t index = 0; index < experiment.controllers; ++index)
        if (label == Experiment::controller_label(index)) return true;
    return false;
}
void check_fault(const Experiment& experiment, const Fault& fault) {
    if (fault.at_s >= experiment.phases_s())
        throw ExperimentError("fault '" + fault.name + "' comes after the last phase");
    auto& zones = experiment.zones;
    if (fault.kind == FaultKind::zone && std::find(zones.begin(), zones.end(), fault.which) == zones.end())
        throw ExperimentError("fault 'zone': there is no zone '" + fault.which + "'");
    if (fault.kind == FaultKind::machines && fault.machines == 0)
        throw ExperimentError("fault 'machines' needs 'machines'");
    if (fault.kind == FaultKind::controller && !names_a_controller(experiment, fault.which))
        throw ExperimentError("fault 'controller': there is no controller '" + fault.which + "'");
}
void check(const Experiment& experiment) {
    if (experiment.phases.empty()) throw ExperimentError("field 'phases' must hold at least one phase");
    auto& worker = experiment.worker;
    if (worker.cancel_s < worker.lease_s + worker.heartbeat_interval_s)
        throw ExperimentError("field 'worker.cancel_s' must be at least lease_s + report_s");
    for (auto& fault : experiment.faults) check_fault(experiment, fault);
}

// --- Text -----------------------------------------------------------------------------------------------

toml::table parse_toml(const std::string& text) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw ExperimentError("line " + std::to_string(error.source().begin.line) + ": " +
                              std::string(error.description()));
    }
}
void apply_override(toml::table& root, const Override& change) {
    toml::table parsed;
    try {
        parsed = toml::parse("v = " + change.value);
    } catch (const toml::parse_error&) {
        parsed.insert_or_assign("v", change.value);
    }
    auto dot = change.key.find('.');
    toml::table* table = &root;
    if (dot != std::string::npos) {
        auto name = change.key.substr(0, dot);
        if (!table->contains(name)) table->insert(name, toml::table{});
        table = table->get(name)->as_table();
        if (!table) throw ExperimentError("'" + change.key + "': '" + name + "' is not a table");
    }
    auto field = dot == std::string::npos ? change.key : change.key.substr(dot + 1);
    table->insert_or_assign(field, *parsed.get("v"));
}

}  // namespace

Experiment parse_experiment(const std::string& text, const std::string& file,
                            const std::vector<Override>& overrides) try {
    auto root = parse_toml(text);
    for (auto& change : overrides) apply_override(root, change);
    auto experiment = read_experiment(root);
    check(experiment);
    return experiment;
} catch (const ExperimentError& error) {
    throw ExperimentError(file + ": " + error.what());
}

Experiment load_experiment(const std::string& file, const std::vector<Override>& overrides) {
    std::ifstream in(file);
    if (!in) throw ExperimentError(file + ": can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_experiment(text.str(), file, overrides);
}

}  // namespace coralhitch::scale
