#include "scale/config/controller_settings.hpp"

#include <sstream>

namespace coralhitch::scale {
namespace {

void write_identity(std::ostream& out, const Experiment& experiment, std::uint32_t controller) {
    out << "label = \"" << Experiment::controller_label(controller) << "\"\ndomain = \""
        << experiment.zone_of_controller(controller) << "\"\npublic_addr = \""
        << experiment.controller_addr(controller) << "\"\npeer_listen = \""
        << experiment.peer_addr(controller) << "\"\n";
}
void write_peers(std::ostream& out, const Experiment& experiment, std::uint32_t controller) {
    for (std::uint32_t peer = 0; peer < experiment.controllers; ++peer)
        if (peer != controller)
            out << "[[seeds]]\nlabel = \"" << Experiment::controller_label(peer) << "\"\ndomain = \""
                << experiment.zone_of_controller(peer) << "\"\npeer_addr = \"" << experiment.peer_addr(peer)
                << "\"\n";
}
void write_cluster(std::ostream& out, const Experiment& experiment) {
    out << "[endpoints]\ncloud = \"" << experiment.cloud_addr() << "\"\nstate = \""
        << experiment.kv_store_addr() << "\"\n[cluster]\nnodes = " << experiment.controllers << "\nzones = [";
    const char* separator = "";
    for (auto& zone : experiment.zones) {
        out << separator << '"' << zone << '"';
        separator = ", ";
    }
    out << "]\nskew_ms = 25.0\n" << std::fixed;
}
// Guarantees each team half of an equal share of the machines' CPUs, and limits it to four times that share.
void write_teams(std::ostream& out, const Experiment& experiment) {
    double share = experiment.equal_share_cpus();
    for (std::uint32_t team = 0; team < experiment.load.teams; ++team)
        out << "[[cluster.teams]]\nname = \"team-" << team << "\"\ncpus = " << share * 0.5
            << "\ncpus_max = " << share * 4 << "\ngpus = 0.0\ngpus_max = 0.0\n";
    if (experiment.load.tight_cpus > 0)
        out << "[[cluster.teams]]\nname = \"team-tight\"\ncpus = 0.0\ncpus_max = "
            << experiment.load.tight_cpus << "\ngpus = 0.0\ngpus_max = 0.0\n";
}
void write_workers(std::ostream& out, const WorkerSettings& worker) {
    out << "[cluster.workers]\nreport_s = " << worker.heartbeat_interval_s << "\nlease_s = " << worker.lease_s
        << "\ngang_wait_s = " << worker.gang_wait_s << "\ngang_peer_s = " << worker.gang_peer_s
        << "\ncancel_s = " << worker.cancel_s << "\n";
}
void write_services(std::ostream& out, const KvStoreSettings& kv_store, const CloudSettings& cloud) {
    out << "[cluster.state]\nrps = " << kv_store.rps << "\nwrite_rps = " << kv_store.write_rps
        << "\nvalue_kb = " << kv_store.value_kb << "\ntxn_ops = " << kv_store.txn_ops
        << "\n[cluster.cloud]\nrps = " << cloud.rps << "\nlist_lag_s = " << cloud.list_lag_s << "\n";
}
void write_limits(std::ostream& out, const LimitSettings& limits) {
    out << "[cluster.limits]\ncore_share = " << limits.core_share << "\nmemory_mb = " << limits.memory_mb
        << "\nsockets = " << limits.sockets << "\n";
}

}  // namespace

std::string controller_settings(const Experiment& experiment, std::uint32_t controller) {
    std::ostringstream out;
    write_identity(out, experiment, controller);
    write_peers(out, experiment, controller);
    write_cluster(out, experiment);
    write_teams(out, experiment);
    out << "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\nwithin_s = 4.8\nshare = 0.9\n";
    write_workers(out, experiment.worker);
    write_services(out, experiment.kv_store, experiment.cloud);
    write_limits(out, experiment.limits);
    return out.str();
}

std::string operator_settings(const Experiment& experiment) {
    // The settings make the controllers rent all machines and keep them at any load, because the experiment
    // measures a cluster of this size.
    return "max_machines: " + std::to_string(experiment.workers) + "\nreserve_ratio: 2\nidle_boots: 1000\n";
}

}  // namespace coralhitch::scale
