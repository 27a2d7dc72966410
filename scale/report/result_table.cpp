#include "scale/report/result_table.hpp"

#include <algorithm>
#include <cstdio>
#include <string>

#include "scale/report/json_numbers.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

template <class... Arguments>
void print_line(std::ostream& out, const char* format, Arguments... arguments) {
    char text[400];
    std::snprintf(text, sizeof text, format, arguments...);
    out << text << "\n";
}

void print_run(std::ostream& out, const json& summary) {
    auto& experiment = summary.at("experiment");
    print_line(out,
               "%s: %.0f workers, %.3g tasks a worker, seed %.0f; filled %s after %.1f s; %.0f MB at most",
               experiment.at("name").get<std::string>().c_str(), number_at(experiment, "/workers"),
               number_at(experiment, "/tasks_per_worker"), number_at(experiment, "/seed"),
               summary.at("fill").at("filled").get<bool>() ? "yes" : "NO",
               number_at(summary, "/fill/seconds"), number_at(summary, "/most_memory_mb"));
}

void print_processes(std::ostream& out, const json& phase) {
    print_line(out, "  %-16s %8s %9s %8s %10s %10s %10s", "process", "cores", "peak MB", "sockets",
               "requests/s", "relayed/s", "repeated/s");
    for (auto& [name, row] : phase.at("controllers").items()) {
        auto shown = name + (phase.at("leader") == name ? " (leader)" : "");
        print_line(out, "  %-16s %8.3f %9.1f %8.0f %10.1f %10.1f %10.1f", shown.c_str(),
                   number_at(row, "/cores"), number_at(row, "/peak_mb"), number_at(row, "/sockets"),
                   number_at(row, "/reports_s"), number_at(row, "/reports_relayed_s"),
                   number_at(row, "/reports_repeated_s"));
    }
    for (auto* name : {"infrastructure", "users"})
        print_line(out, "  %-16s %8.3f %9.1f %8.0f", name, number_at(phase.at(name), "/cores"),
                   number_at(phase.at(name), "/peak_mb"), number_at(phase.at(name), "/sockets"));
    print_line(out, "  %-16s %8.3f", "hollow workers", number_at(phase, "/workers/cores"));
}

void print_traffic(std::ostream& out, const json& phase) {
    auto& workers = phase.at("workers");
    print_line(out,
               "  a worker: %.0f bytes a second; reports %.1f/s of %.0f bytes, %.0f%% repeat the last; asked "
               "%.1f/s",
               number_at(workers, "/bytes_a_worker_s"), number_at(workers, "/reports_s"),
               number_at(workers, "/report_bytes"), number_at(workers, "/repeated_share") * 100,
               number_at(workers, "/direct_s"));
    print_line(out,
               "  state service: %.1f requests, %.1f changes, %.0f bytes in, %.0f out a second; cloud %.2f "
               "requests/s",
               number_at(phase, "/state_s/requests"), number_at(phase, "/state_s/changes"),
               number_at(phase, "/state_s/bytes_in"), number_at(phase, "/state_s/bytes_out"),
               number_at(phase, "/cloud_s/requests"));
    print_line(
        out,
        "  latest timer of the hollow side %.3f s; leases that ran out %.0f; reports without answer %.0f",
        std::max({number_at(workers, "/lateness_s"), number_at(phase, "/lateness_s/users"),
                  number_at(phase, "/lateness_s/infrastructure")}),
        number_at(workers, "/leases_expired"), number_at(workers, "/unanswered"));
}

void print_phase(std::ostream& out, const json& phase) {
    auto& workers = phase.at("workers");
    print_line(out,
               "\nphase %s, %.0f s: %.0f workers, %.0f tasks on them, %.1f starts and %.1f ends a second",
               phase.at("name").get<std::string>().c_str(), number_at(phase, "/seconds"),
               number_at(workers, "/workers"), number_at(workers, "/tasks"), number_at(workers, "/starts_s"),
               number_at(workers, "/ends_s"));
    print_processes(out, phase);
    print_traffic(out, phase);
}

void print_latencies(std::ostream& out, const json& latencies) {
    print_line(out, "\n  %-34s %8s %8s %8s %8s %8s", "phase/class/measure, seconds", "count", "p50", "p90",
               "p99", "max");
    for (auto& [name, row] : latencies.items())
        print_line(out, "  %-34s %8.0f %8.3f %8.3f %8.3f %8.3f", name.c_str(), number_at(row, "/count"),
                   number_at(row, "/p50"), number_at(row, "/p90"), number_at(row, "/p99"),
                   number_at(row, "/max"));
}

void print_end(std::ostream& out, const json& end) {
    print_line(out,
               "\njobs: %.0f submitted, %.0f accepted, %.0f done, %.0f cancelled, %.0f given up; tasks: %.0f "
               "done; rules broken: %zu",
               number_at(end, "/submissions"), number_at(end, "/accepted"), number_at(end, "/done"),
               number_at(end, "/cancelled"), number_at(end, "/given_up"), number_at(end, "/tasks_done"),
               end.at("broken").size());
}

}  // namespace

void print_table(std::ostream& out, const json& summary) {
    print_run(out, summary);
    for (auto& phase : summary.at("phases")) print_phase(out, phase);
    print_latencies(out, summary.at("latencies"));
    print_end(out, summary.at("end"));
}

}  // namespace coralhitch::scale
