// Runs fault scenarios from seeds by hand:
// coralhitch_fault_scenarios --from 1 --seeds 10000 [--combinations] [--size 12] [--no-shrink]
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <map>

#include "scenarios/fault_scenarios.hpp"

int main(int argc, char** argv) {
    using namespace coralhitch::simulation;
    CLI::App app("plays random failures of controllers, machines and networks against the rules");
    std::uint64_t from = 1, seeds = 100;
    std::size_t size = 12;
    bool whole = false, combinations = false, digest = false;
    app.add_option("--from", from, "the first seed");
    app.add_option("--seeds", seeds, "how many");
    app.add_option("--size", size, "machines at the start")->check(CLI::Range(4, 10000));
    // The former name is read for one release more.
    app.add_flag("--combinations,--meetings", combinations,
                 "pairs of faults that follow each other or overlap; says how often each pair of kinds did");
    app.add_flag("--no-shrink", whole, "print all faults of a play that fails");
    app.add_flag("--digest", digest,
                 "print a hash of all messages of each play, a line a seed, and nothing else");
    CLI11_PARSE(app, argc, argv);
    spdlog::set_level(spdlog::level::off);
    std::size_t failed = 0;
    std::map<std::string, std::size_t> met;
    Counts counts;
    for (auto seed = from; seed < from + seeds; ++seed) {
        auto faults = combinations ? draw_fault_pairs(seed, size) : draw_faults(seed, size);
        for (std::size_t k = 0; combinations && k + 1 < faults.size(); k += 2)
            ++met[name(faults[k]) + " / " + name(faults[k + 1])];
        auto bad = run_scenario(seed, size, faults, &counts);
        if (digest) {
            std::printf("%llu %016llx\n", static_cast<unsigned long long>(seed),
                        static_cast<unsigned long long>(counts.digest));
            std::fflush(stdout);
            continue;
        }
        if (bad.empty()) continue;
        ++failed;
        if (!whole) faults = shrink(seed, size, faults), bad = run_scenario(seed, size, faults);
        std::printf("seed %llu, size %zu:\n", static_cast<unsigned long long>(seed), size);
        for (auto& fault : faults) std::printf("  %s\n", text(fault).c_str());
        for (auto& violation : bad) std::printf("  -> %s\n", violation.c_str());
        std::fflush(stdout);
    }
    if (digest) return 0;
    for (auto& [pair, n] : met) std::printf("%6zu  %s\n", n, pair.c_str());
    if (combinations) std::printf("%zu of %zu pairs met\n", met.size(), pairs);
    std::printf("%zu answers, %zu starts, %zu after a confirmed cancellation\n", counts.answers,
                counts.starts, counts.starts_after_cancellation);
    std::printf("%zu of %llu plays failed\n", failed, static_cast<unsigned long long>(seeds));
    return failed > 0;
}
