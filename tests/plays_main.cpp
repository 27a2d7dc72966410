// Plays of seeds by hand: coralhitch_plays --from 1 --seeds 10000 [--size 12] [--no-shrink]
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "plays.hpp"

int main(int argc, char** argv) {
    using namespace coralhitch::standin;
    CLI::App app("plays random failures of controllers, machines and networks against the rules");
    std::uint64_t from = 1, seeds = 100;
    std::size_t size = 12;
    bool whole = false;
    app.add_option("--from", from, "the first seed");
    app.add_option("--seeds", seeds, "how many");
    app.add_option("--size", size, "machines at the start")->check(CLI::Range(4, 250));
    app.add_flag("--no-shrink", whole, "print all faults of a play that fails");
    CLI11_PARSE(app, argc, argv);
    spdlog::set_level(spdlog::level::off);
    std::size_t failed = 0;
    for (auto seed = from; seed < from + seeds; ++seed) {
        auto faults = draw_faults(seed, size);
        auto bad = play(seed, size, faults);
        if (bad.empty()) continue;
        ++failed;
        if (!whole) faults = shrink(seed, size, faults), bad = play(seed, size, faults);
        std::printf("seed %llu, size %zu:\n", static_cast<unsigned long long>(seed), size);
        for (auto& f : faults) std::printf("  %s\n", text(f).c_str());
        for (auto& b : bad) std::printf("  -> %s\n", b.c_str());
        std::fflush(stdout);
    }
    std::printf("%zu of %llu plays failed\n", failed, static_cast<unsigned long long>(seeds));
    return failed > 0;
}
