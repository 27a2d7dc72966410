#include "scale/report/phase_summary.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "scale/report/json_numbers.hpp"
#include "scale/report/snapshot_interval.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

constexpr const char* failover_step_prefix = "takeover: ";

json summarize_process(const SnapshotInterval& interval, const std::string& name) {
    auto process = "/processes/" + name;
    return {{"cores", interval.rate(process + "/cpu_s")},
            {"peak_mb", rounded(number_at(interval.after(), process + "/peak_bytes") / 1e6)},
            {"sockets", number_at(interval.after(), process + "/sockets")}};
}

// --- Controllers ----------------------------------------------------------------------------------------

void add_planning(json& row, const SnapshotInterval& interval, const std::string& controller) {
    double plans = interval.growth(controller + "/plans");
    if (plans > 0) row["plan_ms"] = rounded(interval.growth(controller + "/plan_s") / plans * 1000);
    row["plans_s"] = rounded(plans / interval.seconds());
}
void add_failover_steps(json& row, const json& figures) {
    std::string prefix = failover_step_prefix;
    for (auto& [name, value] : figures.items())
        if (name.starts_with(prefix)) row["takeover_s"][name.substr(prefix.size())] = value;
}
double heartbeats_to(const SnapshotInterval& interval, const std::string& controller) {
    double heartbeats = 0;
    for (auto& [process, workers] : interval.after().at("workers").items()) {
        std::string counter = "/workers/";
        counter.append(process).append("/reports_to/").append(controller);
        heartbeats += interval.growth(counter);
    }
    return heartbeats;
}
json summarize_controller(const SnapshotInterval& interval, const std::string& name) {
    auto controller = "/controllers/" + name;
    auto row = summarize_process(interval, name);
    row["requests_s"] = interval.rates(controller + "/requests");
    row["events_s"] = interval.rates(controller + "/events");
    add_planning(row, interval, controller);
    auto figures = controller + "/gauges";
    for (auto* counter : {"reports_relayed", "reports_repeated", "reports_dropped", "standby_pieces"})
        row[std::string(counter) + "_s"] = interval.rate(figures + "/" + counter);
    for (auto* gauge : {"machines", "machines_lent", "standby_rows", "live_jobs"})
        row[gauge] = number_at(interval.after(), figures + "/" + gauge);
    json::json_pointer place(figures);
    if (interval.after().contains(place)) add_failover_steps(row, interval.after().at(place));
    row["reports_s"] = rounded(heartbeats_to(interval, name) / interval.seconds());
    return row;
}

// --- Hollow workers -------------------------------------------------------------------------------------

// Totals over the hollow workers of all processes. `lateness_s` is the maximum.
struct WorkerTotals {
    double workers = 0, tasks = 0, cores = 0, lateness_s = 0;
    std::map<std::string, double> growth;  // growth of each counter in the interval

    double of(const std::string& counter) const {
        auto it = growth.find(counter);
        return it == growth.end() ? 0 : it->second;
    }
};
WorkerTotals add_up_workers(const SnapshotInterval& interval) {
    WorkerTotals totals;
    for (auto& [name, row] : interval.after().at("workers").items()) {
        totals.workers += number_at(row, "/workers");
        totals.tasks += number_at(row, "/present");
        totals.cores += interval.growth("/processes/" + name + "/cpu_s") / interval.seconds();
        totals.lateness_s = std::max(totals.lateness_s, number_at(row, "/lateness_s"));
        for (auto& [counter, value] : row.items()) {
            if (!value.is_number_unsigned()) continue;
            std::string pointer = "/workers/";
            pointer.append(name).append("/").append(counter);
            totals.growth[counter] += interval.growth(pointer);
        }
    }
    return totals;
}
json summarize_workers(const SnapshotInterval& interval) {
    if (!interval.after().contains("workers")) return json::object();
    auto totals = add_up_workers(interval);
    json out{{"workers", totals.workers},
             {"tasks", totals.tasks},
             {"cores", rounded(totals.cores)},
             {"unanswered", totals.of("unanswered")},
             {"leases_expired", totals.of("expired")},
             {"lateness_s", rounded(totals.lateness_s)}};
    auto per_s = [&](const char* counter) { return totals.of(counter) / interval.seconds(); };
    for (auto* counter : {"reports", "repeated_bytes", "direct", "commands", "report_bytes", "answer_bytes",
                          "direct_bytes", "direct_answer_bytes", "redirected", "turned_away"})
        out[std::string(counter) + "_s"] = rounded(per_s(counter));
    out["starts_s"] = rounded(per_s("started"));
    out["ends_s"] = rounded(per_s("ended"));
    double reports = totals.of("reports");
    out["report_bytes"] = rounded(reports > 0 ? totals.of("report_bytes") / reports : 0);
    out["repeated_share"] = rounded(reports > 0 ? totals.of("repeated") / reports : 0);
    double bytes_s =
        per_s("report_bytes") + per_s("answer_bytes") + per_s("direct_bytes") + per_s("direct_answer_bytes");
    out["bytes_a_worker_s"] = rounded(totals.workers > 0 ? bytes_s / totals.workers : 0);
    return out;
}

// --- Key-value store, cloud and load --------------------------------------------------------------------

void add_infrastructure(json& out, const SnapshotInterval& interval) {
    out["infrastructure"] = summarize_process(interval, "infrastructure");
    out["state_s"] = interval.rates("/infrastructure/state");
    out["state_changes_s"] = interval.rates("/infrastructure/state_changes");
    out["cloud_s"] = interval.rates("/infrastructure/cloud");
    auto& infrastructure = interval.after().at("infrastructure");
    out["state_bytes"] = infrastructure.at("state_bytes");
    out["state_keys"] = infrastructure.at("state_keys");
    out["machines"] = number_at(infrastructure, "/machines");
}
void add_load(json& out, const SnapshotInterval& interval) {
    out["users"] = summarize_process(interval, "users");
    for (auto* counter : {"submissions", "accepted", "polls", "retries", "unanswered", "tasks_begun",
                          "tasks_done", "bytes_in", "bytes_out"})
        out["users_s"][counter] = interval.rate(std::string("/users/") + counter);
}

}  // namespace

json summarize_phase(const json& phase) {
    SnapshotInterval interval(phase.at("before"), phase.at("after"));
    json out{{"name", phase.at("name")},
             {"seconds", rounded(interval.seconds())},
             {"leader", phase.at("leader")},
             {"starts_per_worker_s", phase.at("starts_per_worker_s")}};
    for (auto& [name, row] : interval.after().at("controllers").items())
        out["controllers"][name] = summarize_controller(interval, name);
    out["workers"] = summarize_workers(interval);
    add_infrastructure(out, interval);
    add_load(out, interval);
    out["lateness_s"] = {{"users", number_at(interval.after(), "/users/lateness_s")},
                         {"infrastructure", number_at(interval.after(), "/infrastructure/lateness_s")}};
    return out;
}

}  // namespace coralhitch::scale
