#include "scale/runner/run_command.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "scale/report/result_table.hpp"
#include "scale/report/run_failures.hpp"
#include "scale/report/summary.hpp"
#include "scale/runner/experiment_runner.hpp"
#include "scale/runner/work_directory.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

std::filesystem::path this_program() {
    return std::filesystem::read_symlink("/proc/self/exe");
}

// Returns the overrides of each run of a sweep, or no overrides for a single run if there is no sweep.
std::vector<std::vector<std::string>> overrides_of_runs(const std::string& sweep) {
    if (sweep.empty()) return {{}};
    auto equals = sweep.find('=');
    if (equals == std::string::npos) throw ExperimentError("'" + sweep + "' is not of the form KEY=V1,V2");
    auto key = sweep.substr(0, equals + 1);
    std::istringstream values(sweep.substr(equals + 1));
    std::vector<std::vector<std::string>> runs;
    for (std::string value; std::getline(values, value, ',');) runs.push_back({key + value});
    if (runs.empty()) runs.push_back({key});
    return runs;
}

RunOptions options_of(const RunArguments& arguments, const std::vector<std::string>& more_overrides) {
    RunOptions options;
    options.self = this_program().string();
    options.controller = arguments.controller;
    if (options.controller.empty())
        options.controller = this_program().replace_filename("coralhitch").string();
    options.file = arguments.experiment_file;
    options.quiet = arguments.quiet;
    auto texts = arguments.overrides;
    texts.insert(texts.end(), more_overrides.begin(), more_overrides.end());
    options.overrides = parse_overrides(texts);
    return options;
}

// Runs the experiment once and prints its results and failures. Returns the results, and sets `failed` if
// there are failures.
json run_once(const RunArguments& arguments, RunOptions options, bool& failed) {
    WorkDirectory directory(arguments.keep_directory);
    if (arguments.keep_directory) std::cerr << "settings and logs: " << directory.path() << "\n";
    options.directory = directory.path();
    auto measured = run_experiment(load_experiment(options.file, options.overrides), options);
    auto result = summarize(measured);
    print_table(std::cout, result);
    for (auto& failure : run_failures(result)) {
        std::cerr << "coralhitch-scale: " << failure << "\n";
        failed = true;
    }
    if (arguments.with_snapshots) result["raw"] = std::move(measured);
    return result;
}

}  // namespace

std::vector<Override> parse_overrides(const std::vector<std::string>& texts) {
    std::vector<Override> overrides;
    for (auto& text : texts) {
        auto equals = text.find('=');
        if (equals == std::string::npos || equals == 0)
            throw ExperimentError("'" + text + "' is not of the form KEY=VALUE");
        overrides.push_back({text.substr(0, equals), text.substr(equals + 1)});
    }
    return overrides;
}

int execute_run(const RunArguments& arguments) {
    json results = json::array();
    bool failed = false;
    for (auto& more_overrides : overrides_of_runs(arguments.sweep)) {
        results.push_back(run_once(arguments, options_of(arguments, more_overrides), failed));
        if (arguments.results_file.empty()) continue;
        // The file is written after each run, so that results are kept if the next run is aborted.
        std::ofstream out(arguments.results_file);
        if (!(out << (arguments.sweep.empty() ? results[0] : results).dump(1) << "\n"))
            throw ExperimentError(arguments.results_file + ": can't be written");
    }
    return failed ? 1 : 0;
}

}  // namespace coralhitch::scale
