// The child processes of a run: the controllers, and the load tool's own processes ("roles").
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scale/config/experiment.hpp"
#include "scale/process/child_process.hpp"
#include "scale/runner/control_client.hpp"
#include "scale/runner/run_options.hpp"

namespace coralhitch::scale {

// Starts, monitors and ends the processes. The destructor kills them.
class ClusterProcesses {
  public:
    // Both must outlive this.
    ClusterProcesses(const Experiment& experiment, const RunOptions& options);

    // Starts all processes, each before those that send requests to it. Calls `ready` when the first
    // controller answers.
    void start_all(ControlClient& control, const std::function<void()>& ready);
    // Starts a controller, also after end_controller(). Throws ExperimentError if it can't be started.
    void start_controller(std::uint32_t index);
    // Kills the controller. Returns false if it was down already.
    bool end_controller(std::uint32_t index);
    [[nodiscard]] bool is_down(std::uint32_t index) const { return controllers_[index].down; }
    // Kills all processes.
    void end_all();

    // Reads the resource usage of all processes. Calls `on_failure` for each process that has ended by
    // itself, and if all together use too much of the host's memory.
    void check(const std::function<void(const std::string& reason)>& on_failure);
    // Returns the highest memory usage of all processes together that check() has seen.
    [[nodiscard]] std::uint64_t peak_memory_bytes() const { return peak_memory_bytes_; }
    // Returns the usage of each process by name. That of a controller covers all its processes since the
    // first start.
    [[nodiscard]] nlohmann::json usage() const;

  private:
    struct Controller {
        std::unique_ptr<ChildProcess> child;
        double cpu_s_before = 0;  // CPU time of its previous processes
        std::uint64_t peak_bytes_before = 0;
        bool down = false;  // killed by a fault and not restarted yet
    };
    void start_role(const std::string& name, std::vector<std::string> arguments);
    void start_workers_and_infrastructure();
    void wait_for_workers(ControlClient& control, std::uint32_t process, const std::function<void()>& ready);
    [[nodiscard]] ProcessUsage controller_usage(const Controller& controller) const;
    [[nodiscard]] std::string path_of(const std::string& file) const {
        return options_.directory + "/" + file;
    }

    const Experiment& experiment_;
    const RunOptions& options_;
    std::vector<std::unique_ptr<ChildProcess>> roles_;
    std::vector<Controller> controllers_;
    std::uint64_t peak_memory_bytes_ = 0;
};

}  // namespace coralhitch::scale
