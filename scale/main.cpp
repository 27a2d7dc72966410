// coralhitch-scale: real controllers on loopback beside hollow workers, users, key-value store and cloud.
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "scale/process/child_process.hpp"
#include "scale/process/process_roles.hpp"
#include "scale/report/result_table.hpp"
#include "scale/report/run_failures.hpp"
#include "scale/report/summary.hpp"
#include "scale/runner/experiment_runner.hpp"

namespace {
using namespace coralhitch::scale;
using nlohmann::json;

std::vector<Override> overrides_of(const std::vector<std::string>& texts) {
    std::vector<Override> out;
    for (auto& t : texts) {
        auto eq = t.find('=');
        if (eq == std::string::npos || eq == 0)
            throw ExperimentError("'" + t + "' is not of the form KEY=VALUE");
        out.push_back({t.substr(0, eq), t.substr(eq + 1)});
    }
    return out;
}
// A run for each value of "KEY=V1,V2", one run without.
std::vector<std::vector<std::string>> sweep_of(const std::string& sweep) {
    if (sweep.empty()) return {{}};
    auto eq = sweep.find('=');
    if (eq == std::string::npos) throw ExperimentError("'" + sweep + "' is not of the form KEY=V1,V2");
    std::vector<std::vector<std::string>> out;
    for (auto& value : CLI::detail::split(sweep.substr(eq + 1), ','))
        out.push_back({sweep.substr(0, eq + 1) + value});
    return out;
}

// A directory of its own below the temporary one, gone at the end unless it is to be kept.
class WorkDirectory {
  public:
    explicit WorkDirectory(bool keep) : keep_(keep) {
        auto pattern = (std::filesystem::temp_directory_path() / "coralhitch-scale-XXXXXX").string();
        if (!::mkdtemp(pattern.data())) throw ExperimentError("can't make a directory like " + pattern);
        path_ = pattern;
    }
    ~WorkDirectory() {
        std::error_code ignored;
        if (!keep_) std::filesystem::remove_all(path_, ignored);
    }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
    bool keep_;
};

struct RunArguments {
    std::string file, controller, out, sweep;
    std::vector<std::string> set;
    bool keep = false, raw = false, quiet = false;
};
std::string beside_this_program(const char* name) {
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

int run(const RunArguments& a) {
    json results = json::array();
    int failed = 0;
    for (auto& more : sweep_of(a.sweep)) {
        WorkDirectory directory(a.keep);
        if (a.keep) std::cerr << "settings and logs: " << directory.path() << "\n";
        auto texts = a.set;
        texts.insert(texts.end(), more.begin(), more.end());
        RunOptions options;
        options.self = std::filesystem::read_symlink("/proc/self/exe").string();
        options.controller = a.controller;
        options.directory = directory.path();
        options.file = a.file;
        options.overrides = overrides_of(texts);
        options.quiet = a.quiet;
        auto measured = run_experiment(load_experiment(a.file, options.overrides), options);
        auto result = summarize(measured);
        print_table(std::cout, result);
        for (auto& c : run_failures(result)) {
            std::cerr << "coralhitch-scale: " << c << "\n";
            failed = 1;
        }
        if (a.raw) result["raw"] = std::move(measured);
        results.push_back(std::move(result));
        // After each run: what was measured stays if the next one is broken off.
        if (!a.out.empty() &&
            !(std::ofstream(a.out) << (a.sweep.empty() ? results[0] : results).dump(1) << "\n"))
            throw ExperimentError(a.out + ": can't be written");
    }
    return failed;
}
}  // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    auto log = std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    log->set_pattern("%H:%M:%S.%e %l %v");
    spdlog::set_default_logger(log);

    CLI::App app("coralhitch-scale: a cluster of hollow workers around real controllers, on loopback");
    app.require_subcommand(1);
    RunArguments a;
    auto* driver = app.add_subcommand("run", "run an experiment");
    driver->add_option("experiment", a.file, "the experiment (TOML)")->required();
    driver->add_option("--controller", a.controller,
                       "the service's program; else coralhitch beside this one");
    driver->add_option("--out", a.out, "the file for the results (JSON)");
    driver->add_option("--set", a.set, "KEY=VALUE: another value for a field of the experiment")->take_all();
    driver->add_option("--sweep", a.sweep, "KEY=V1,V2,...: one run for each value");
    driver->add_flag("--keep", a.keep, "keep settings and logs");
    driver->add_flag("--raw", a.raw, "snapshots too in the results");
    driver->add_flag("--quiet", a.quiet, "no progress lines");
    std::uint32_t process = 0;
    auto role = [&](const char* name, const char* text) {
        auto* r = app.add_subcommand(name, text);
        r->add_option("--experiment", a.file)->required();
        r->add_option("--set", a.set)->take_all();
        return r;
    };
    auto* infrastructure = role("infrastructure", "the process of state service and cloud; started by `run`");
    auto* workers = role("workers", "a process of hollow workers; started by `run`");
    workers->add_option("--process", process)->required();
    auto* users = role("users", "the process of users, load balancer and checker; started by `run`");
    CLI11_PARSE(app, argc, argv);
    try {
        if (driver->parsed()) {
            if (a.controller.empty()) a.controller = beside_this_program("coralhitch");
            return run(a);
        }
        raise_descriptor_limit();
        auto experiment = load_experiment(a.file, overrides_of(a.set));
        if (infrastructure->parsed()) return run_infrastructure_process(experiment);
        if (workers->parsed()) return run_worker_process(experiment, process);
        if (users->parsed()) return run_load_process(experiment);
    } catch (const std::exception& e) {
        std::cerr << "coralhitch-scale: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
