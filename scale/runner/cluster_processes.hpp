// The child processes of a run: controllers, and the roles around them.
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

// They are killed when this is destroyed.
class ClusterProcesses {
  public:
    // Both must outlive this.
    ClusterProcesses(const Experiment& experiment, const RunOptions& options);

    // Starts all, each before those that call it, and calls `ready` when the first controller answers.
    void start_all(ControlClient& control, const std::function<void()>& ready);
    void start_controller(std::uint32_t index);
    // Kills it. False if it was down already.
    bool end_controller(std::uint32_t index);
    [[nodiscard]] bool is_down(std::uint32_t index) const { return controllers_[index].down; }
    void end_all();

    // Reads what all use. Calls `on_failure` for each that has ended by itself, and if they take too much of
    // the machine's memory together.
    void check(const std::function<void(const std::string& reason)>& on_failure);
    // Of all processes together, at the checks.
    [[nodiscard]] std::uint64_t most_memory_bytes() const { return most_memory_bytes_; }
    // Of each process, by name; of a controller over all its starts.
    [[nodiscard]] nlohmann::json usage() const;

  private:
    struct Controller {
        std::unique_ptr<ChildProcess> child;
        double cpu_s_before = 0;  // of processes that were ended
        std::uint64_t peak_bytes_before = 0;
        bool down = false;  // by a fault
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
    std::uint64_t most_memory_bytes_ = 0;
};

}  // namespace coralhitch::scale
