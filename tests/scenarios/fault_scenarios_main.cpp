// Command-line tool that runs fault scenarios for a range of seeds and prints those that fail:
// coralhitch_fault_scenarios --from 1 --seeds 10000 [--combinations] [--size 12] [--no-shrink]
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <map>

#include "scenarios/fault_generator.hpp"
#include "scenarios/fault_scenarios.hpp"

namespace coralhitch::simulation {
namespace {

struct Arguments {
    std::uint64_t from = 1, seeds = 100;
    std::size_t size = 12;
    bool combinations = false, no_shrink = false, digest = false;
};
struct Totals {
    std::size_t failed = 0;
    std::map<std::string, std::size_t> pairs;  // names of both kinds -> how often the pair was drawn
    ScenarioCounts counts;
};

void add_options(CLI::App& app, Arguments& arguments) {
    app.add_option("--from", arguments.from, "the first seed");
    app.add_option("--seeds", arguments.seeds, "how many");
    app.add_option("--size", arguments.size, "machines at the start")->check(CLI::Range(4, 10000));
    // --meetings is the former name and is accepted for one more release.
    app.add_flag("--combinations,--meetings", arguments.combinations,
                 "pairs of faults that follow each other or overlap; says how often each pair of kinds did");
    app.add_flag("--no-shrink", arguments.no_shrink, "print all faults of a scenario that fails");
    app.add_flag("--digest", arguments.digest,
                 "print a hash of all messages of each scenario, a line a seed, and nothing else");
}
void count_pairs(const std::vector<Fault>& faults, Totals& totals) {
    for (std::size_t k = 0; k + 1 < faults.size(); k += 2)
        ++totals.pairs[kind_name(faults[k]) + " / " + kind_name(faults[k + 1])];
}
void print_digest(std::uint64_t seed, std::uint64_t digest) {
    std::printf("%llu %016llx\n", static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(digest));
    std::fflush(stdout);
}
void print_failed(const Scenario& scenario, const std::vector<std::string>& failures) {
    std::printf("seed %llu, size %zu:\n", static_cast<unsigned long long>(scenario.seed), scenario.machines);
    for (auto& fault : scenario.faults) std::printf("  %s\n", to_string(fault).c_str());
    for (auto& failure : failures) std::printf("  -> %s\n", failure.c_str());
    std::fflush(stdout);
}
void run_seed(std::uint64_t seed, const Arguments& arguments, Totals& totals) {
    Scenario scenario{
        seed, arguments.size,
        arguments.combinations ? draw_fault_pairs(seed, arguments.size) : draw_faults(seed, arguments.size)};
    if (arguments.combinations) count_pairs(scenario.faults, totals);
    auto failures = run_scenario(scenario, &totals.counts);
    if (arguments.digest) return print_digest(seed, totals.counts.digest);
    if (failures.empty()) return;
    ++totals.failed;
    if (!arguments.no_shrink) {
        scenario = shrink(scenario);
        failures = run_scenario(scenario);
    }
    print_failed(scenario, failures);
}
void print_totals(const Arguments& arguments, const Totals& totals) {
    for (auto& [pair, count] : totals.pairs) std::printf("%6zu  %s\n", count, pair.c_str());
    if (arguments.combinations) std::printf("%zu of %zu pairs met\n", totals.pairs.size(), pair_count);
    std::printf("%zu answers, %zu starts, %zu after a confirmed cancellation\n", totals.counts.answers,
                totals.counts.starts, totals.counts.starts_after_cancellation);
    std::printf("%zu of %llu scenarios failed\n", totals.failed,
                static_cast<unsigned long long>(arguments.seeds));
}

int run(const Arguments& arguments) {
    spdlog::set_level(spdlog::level::off);
    Totals totals;
    for (auto seed = arguments.from; seed < arguments.from + arguments.seeds; ++seed)
        run_seed(seed, arguments, totals);
    if (arguments.digest) return 0;
    print_totals(arguments, totals);
    return totals.failed > 0 ? 1 : 0;
}
}  // namespace
}  // namespace coralhitch::simulation

int main(int argc, char** argv) {
    using namespace coralhitch::simulation;
    CLI::App app("runs random failures of controllers, machines and networks against the rules");
    Arguments arguments;
    add_options(app, arguments);
    CLI11_PARSE(app, argc, argv);
    return run(arguments);
}
