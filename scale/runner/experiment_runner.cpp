#include "scale/runner/experiment_runner.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "scale/process/control_server.hpp"
#include "scale/runner/cluster_processes.hpp"
#include "scale/runner/control_client.hpp"
#include "scale/runner/fault_injector.hpp"
#include "scale/runner/interrupt_signals.hpp"
#include "scale/runner/preflight_checks.hpp"
#include "scale/runner/snapshot_collector.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

constexpr double check_interval_s = 0.5, progress_interval_s = 2;
// Time allowed for a run in addition to the times in the experiment file.
constexpr double start_allowance_s = 40, other_allowance_s = 120;
// Share of the service replicas at which the cluster counts as filled.
constexpr double filled_share = 0.97;

json describe(const Experiment& experiment) {
    return {{"name", experiment.name},
            {"seed", experiment.seed},
            {"workers", experiment.workers},
            {"tasks_per_worker", experiment.tasks_per_worker},
            {"controllers", experiment.controllers},
            {"report_s", experiment.worker.heartbeat_interval_s},
            {"lease_s", experiment.worker.lease_s},
            {"zones", experiment.zones},
            {"state_rps", experiment.kv_store.rps},
            {"state_write_rps", experiment.kv_store.write_rps},
            {"core_share", experiment.limits.core_share}};
}

double longest_run_s(const Experiment& experiment) {
    double longest_fault_s = 0;
    for (auto& fault : experiment.faults) longest_fault_s = std::max(longest_fault_s, fault.back_s);
    return start_allowance_s + experiment.fill_s + experiment.phases_s() + experiment.drain_s +
           longest_fault_s + other_allowance_s;
}

// One run of an experiment.
class ExperimentRunner : private FaultInjector::Run {
  public:
    ExperimentRunner(const Experiment& experiment, const RunOptions& options)
        : experiment_(experiment),
          options_(options),
          control_(loop_, [this](const std::string& reason) { fail(reason); }),
          processes_(experiment, options),
          snapshots_(loop_, experiment, processes_, control_),
          faults_(loop_, experiment, processes_, control_, *this) {}
    json run();

  private:
    // Stages of a run, in their order.
    void begin_fill();
    void wait_until_filled();
    void begin_phase(std::size_t number);
    void end_phase(std::size_t number);
    void finish();
    // Monitoring during the run.
    void check_processes();
    void report_progress();
    void print_progress() const;
    void fail(const std::string& reason);
    // Interface for the fault injector.
    [[nodiscard]] std::uint32_t leader() const override;
    [[nodiscard]] double elapsed_s() const override { return loop_.now() - started_at_; }
    [[nodiscard]] const std::string& stage() const override { return stage_; }
    void record_fault(const json& fault) override;

    const Experiment& experiment_;
    const RunOptions& options_;
    event_loop::EventLoop loop_;
    ControlClient control_;
    ClusterProcesses processes_;
    SnapshotCollector snapshots_;
    FaultInjector faults_;
    std::string failure_, stage_ = "start";
    json load_stats_ = json::object(), infrastructure_stats_ = json::object();  // last answers
    json snapshot_at_phase_start_;  // snapshot at the beginning of the phase
    json result_ = json::object();
    double started_at_ = 0, deadline_ = 0, fill_started_at_ = 0;
    std::size_t expected_tasks_ = 0;  // number of service replicas
};

void ExperimentRunner::fail(const std::string& reason) {
    if (failure_.empty()) failure_ = reason;
    loop_.stop();
}

// --- Stages ---------------------------------------------------------------------------------------------

void ExperimentRunner::begin_fill() {
    stage_ = "fill";
    fill_started_at_ = loop_.now();
    expected_tasks_ = static_cast<std::size_t>(experiment_.total_service_tasks());
    report_progress();
    control_.post(experiment_.load_control_addr(), control_paths::begin, json::object(),
                  [this](const json&) { wait_until_filled(); });
}

void ExperimentRunner::wait_until_filled() {
    auto present = load_stats_.value("present", std::size_t{0});
    double seconds = loop_.now() - fill_started_at_;
    bool filled = static_cast<double>(present) >= filled_share * static_cast<double>(expected_tasks_);
    if (!filled && seconds < experiment_.fill_s) {
        loop_.after(check_interval_s, [this] { wait_until_filled(); });
        return;
    }
    result_["fill"] = {{"filled", filled}, {"seconds", seconds}, {"tasks", present}};
    faults_.schedule_all();
    begin_phase(0);
}

void ExperimentRunner::begin_phase(std::size_t number) {
    auto& phase = experiment_.phases[number];
    stage_ = phase.name;
    auto after_snapshot = [this, number](const json& snapshot) {
        snapshot_at_phase_start_ = snapshot;
        loop_.after(experiment_.phases[number].seconds, [this, number] { end_phase(number); });
    };
    control_.post(experiment_.load_control_addr(), control_paths::phase, {{"name", phase.name}},
                  [this, after_snapshot](const json&) { snapshots_.collect(after_snapshot); });
}

void ExperimentRunner::end_phase(std::size_t number) {
    snapshots_.collect([this, number](const json& snapshot) {
        auto& phase = experiment_.phases[number];
        result_["phases"].push_back({{"name", phase.name},
                                     {"starts_per_worker_s", phase.starts_per_worker_s},
                                     {"before", snapshot_at_phase_start_},
                                     {"after", snapshot},
                                     {"leader", Experiment::controller_label(leader())}});
        if (number + 1 < experiment_.phases.size()) return begin_phase(number + 1);
        stage_ = "drain";
        loop_.after(experiment_.drain_s, [this] { finish(); });
    });
}

void ExperimentRunner::finish() {
    snapshots_.collect([this](const json& snapshot) {
        result_["end"] = snapshot;
        loop_.stop();
    });
}

json ExperimentRunner::run() {
    started_at_ = loop_.now();
    deadline_ = started_at_ + longest_run_s(experiment_);
    InterruptSignals interrupts(loop_, [this] { fail("broken off"); });
    processes_.start_all(control_, [this] { begin_fill(); });
    check_processes();
    loop_.run();
    processes_.end_all();
    if (!failure_.empty()) throw ExperimentError(failure_);
    result_["experiment"] = describe(experiment_);
    result_["seconds"] = elapsed_s();
    result_["most_memory_bytes"] = processes_.peak_memory_bytes();
    return result_;
}

// --- Monitoring -----------------------------------------------------------------------------------------

void ExperimentRunner::check_processes() {
    processes_.check([this](const std::string& reason) { fail(reason); });
    if (loop_.now() > deadline_) fail("the run exceeded its time limit");
    loop_.after(check_interval_s, [this] { check_processes(); });
}

std::uint32_t ExperimentRunner::leader() const {
    auto record = json::parse(infrastructure_stats_.value("leader", ""), nullptr, false);
    if (record.is_object())
        for (std::uint32_t index = 0; index < experiment_.controllers; ++index)
            if (record.value("label", "") == Experiment::controller_label(index)) return index;
    return 0;
}

void ExperimentRunner::record_fault(const json& fault) {
    std::fprintf(stderr, "%6.1f s fault: %s %s\n", elapsed_s(),
                 fault.at("kind").get_ref<const std::string&>().c_str(), fault.dump().c_str());
    result_["faults"].push_back(fault);
}

void ExperimentRunner::report_progress() {
    loop_.after(progress_interval_s, [this] { report_progress(); });
    control_.get(experiment_.infrastructure_control_addr(), control_paths::stats,
                 [this](const json& stats) { infrastructure_stats_ = stats; });
    control_.get(experiment_.load_control_addr(), control_paths::stats, [this](const json& stats) {
        load_stats_ = stats;
        double tenths = std::round(elapsed_s() * 10) / 10;
        result_["course"].push_back(
            {tenths, stage_, infrastructure_stats_.value("machines", 0ULL), stats.value("present", 0ULL)});
        if (!options_.quiet) print_progress();
    });
}

void ExperimentRunner::print_progress() const {
    auto count = [](const json& stats, const char* key) { return stats.value(key, 0ULL); };
    std::fprintf(stderr,
                 "%6.1f s %-10s %5llu machines  %6llu of %zu tasks on them  %4llu jobs open  %llu done  "
                 "leader %s  %zu rules broken\n",
                 elapsed_s(), stage_.c_str(), count(infrastructure_stats_, "machines"),
                 count(load_stats_, "present"), expected_tasks_, count(load_stats_, "jobs_open"),
                 count(load_stats_, "done"), Experiment::controller_label(leader()).c_str(),
                 load_stats_.at("broken").size());
}

}  // namespace

json run_experiment(Experiment experiment, const RunOptions& options) {
    check_executable(options.controller);
    check_descriptors(experiment);
    choose_ports(experiment);
    return ExperimentRunner(experiment, options).run();
}

}  // namespace coralhitch::scale
