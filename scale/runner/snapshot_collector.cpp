#include "scale/runner/snapshot_collector.hpp"

#include "scale/process/control_server.hpp"
#include "scale/report/controller_metrics.hpp"

namespace coralhitch::scale {
using nlohmann::json;

// A snapshot for which some answers are outstanding.
struct SnapshotCollector::Collection {
    json snapshot = json::object();
    std::size_t answers_left = 0;
    OnSnapshot on_snapshot;

    void answered() {
        if (--answers_left == 0) on_snapshot(snapshot);
    }
};

SnapshotCollector::SnapshotCollector(event_loop::EventLoop& loop, const Experiment& experiment,
                                     const ClusterProcesses& processes, ControlClient& control)
    : loop_(loop), experiment_(experiment), processes_(processes), control_(control) {}

void SnapshotCollector::collect(const OnSnapshot& on_snapshot) {
    auto collection = std::make_shared<Collection>();
    collection->on_snapshot = on_snapshot;
    constexpr std::size_t users_and_infrastructure = 2;
    collection->answers_left =
        users_and_infrastructure + experiment_.worker_processes + experiment_.controllers;
    collection->snapshot["t"] = loop_.now();
    collection->snapshot["processes"] = processes_.usage();
    ask_roles(collection);
    ask_controllers(collection);
}

void SnapshotCollector::ask_roles(const std::shared_ptr<Collection>& collection) {
    auto ask = [&](const std::string& addr, const std::string& place) {
        control_.get(addr, control_paths::stats, [collection, place](const json& stats) {
            collection->snapshot[json::json_pointer(place)] = stats;
            collection->answered();
        });
    };
    ask(experiment_.load_control_addr(), "/users");
    ask(experiment_.infrastructure_control_addr(), "/infrastructure");
    for (std::uint32_t process = 0; process < experiment_.worker_processes; ++process)
        ask(experiment_.worker_control_addr(process), "/workers/workers-" + std::to_string(process));
}

// Requests the controllers' metrics. A controller that is down gets an empty object.
void SnapshotCollector::ask_controllers(const std::shared_ptr<Collection>& collection) {
    for (std::uint32_t index = 0; index < experiment_.controllers; ++index) {
        auto label = Experiment::controller_label(index);
        collection->snapshot["controllers"][label] = json::object();
    }
    for (std::uint32_t index = 0; index < experiment_.controllers; ++index) {
        if (processes_.is_down(index)) {
            collection->answered();
            continue;
        }
        auto label = Experiment::controller_label(index);
        control_.get_metrics(experiment_.controller_addr(index), [collection,
                                                                  label](const std::string& text) {
            if (!text.empty())
                collection->snapshot["controllers"][label] = read_controller_metrics(PrometheusText(text));
            collection->answered();
        });
    }
}

}  // namespace coralhitch::scale
