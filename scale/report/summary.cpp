#include "scale/report/summary.hpp"

#include <cstdio>

namespace coralhitch::scale {
namespace {
using nlohmann::json;

double number(const json& j, const std::string& pointer) {
    json::json_pointer p(pointer);
    return j.contains(p) && j.at(p).is_number() ? j.at(p).get<double>() : 0;
}
// Counters of a process that was started again begin at nothing.
double grown(const json& before, const json& after, const std::string& pointer) {
    double b = number(before, pointer), a = number(after, pointer);
    return a < b ? a : a - b;
}
double rounded(double v) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", v);
    return std::atof(text);
}
json rates(const json& before, const json& after, const std::string& at, double seconds) {
    json out = json::object();
    json::json_pointer p(at);
    if (!after.contains(p)) return out;
    for (auto& [name, value] : after.at(p).items())
        if (value.is_number()) out[name] = rounded(grown(before, after, at + "/" + name) / seconds);
    return out;
}

json process(const json& before, const json& after, const std::string& name, double seconds) {
    auto at = "/processes/" + name;
    return {{"cores", rounded(grown(before, after, at + "/cpu_s") / seconds)},
            {"peak_mb", rounded(number(after, at + "/peak_bytes") / 1e6)},
            {"sockets", number(after, at + "/sockets")}};
}
json controller(const json& before, const json& after, const std::string& name, double seconds) {
    auto row = process(before, after, name, seconds);
    auto at = "/controllers/" + name;
    row["requests_s"] = rates(before, after, at + "/requests", seconds);
    row["events_s"] = rates(before, after, at + "/events", seconds);
    double plans = grown(before, after, at + "/plans"), plan_s = grown(before, after, at + "/plan_s");
    if (plans > 0) row["plan_ms"] = rounded(plan_s / plans * 1000);
    row["plans_s"] = rounded(plans / seconds);
    for (auto* gauge : {"reports_relayed", "reports_repeated", "reports_dropped", "standby_pieces"})
        row[std::string(gauge) + "_s"] = rounded(grown(before, after, at + "/gauges/" + gauge) / seconds);
    for (auto* gauge : {"machines", "machines_lent", "standby_rows", "live_jobs"})
        row[gauge] = number(after, at + "/gauges/" + gauge);
    json::json_pointer gauges(at + "/gauges");
    if (after.contains(gauges))
        for (auto& [gauge, value] : after.at(gauges).items())
            if (gauge.starts_with("takeover: ")) row["takeover_s"][gauge.substr(10)] = value;
    return row;
}
json workers(const json& before, const json& after, double seconds) {
    double n = 0, present = 0;
    json sums = json::object();
    if (!after.contains("workers")) return sums;
    double cores = 0, late = 0;
    for (auto& [name, row] : after["workers"].items()) {
        n += number(row, "/workers");
        present += number(row, "/present");
        cores += grown(before, after, "/processes/" + name + "/cpu_s") / seconds;
        late = std::max(late, number(row, "/lateness_s"));
        for (auto& [key, value] : row.items())
            if (value.is_number_unsigned())
                sums[key] = sums.value(key, 0.0) + grown(before, after, "/workers/" + name + "/" + key);
    }
    auto per_s = [&](const char* key) { return sums.value(key, 0.0) / seconds; };
    double reports = sums.value("reports", 0.0);
    double bytes =
        per_s("report_bytes") + per_s("answer_bytes") + per_s("direct_bytes") + per_s("direct_answer_bytes");
    return {{"workers", n},
            {"tasks", present},
            {"cores", rounded(cores)},
            {"reports_s", rounded(per_s("reports"))},
            {"report_bytes", rounded(reports > 0 ? sums.value("report_bytes", 0.0) / reports : 0)},
            {"repeated_share", rounded(reports > 0 ? sums.value("repeated", 0.0) / reports : 0)},
            {"repeated_bytes_s", rounded(per_s("repeated_bytes"))},
            {"direct_s", rounded(per_s("direct"))},
            {"commands_s", rounded(per_s("commands"))},
            {"starts_s", rounded(per_s("started"))},
            {"ends_s", rounded(per_s("ended"))},
            {"report_bytes_s", rounded(per_s("report_bytes"))},
            {"answer_bytes_s", rounded(per_s("answer_bytes"))},
            {"direct_bytes_s", rounded(per_s("direct_bytes"))},
            {"direct_answer_bytes_s", rounded(per_s("direct_answer_bytes"))},
            {"bytes_a_worker_s", rounded(n > 0 ? bytes / n : 0)},
            {"redirected_s", rounded(per_s("redirected"))},
            {"turned_away_s", rounded(per_s("turned_away"))},
            {"unanswered", sums.value("unanswered", 0.0)},
            {"leases_expired", sums.value("expired", 0.0)},
            {"lateness_s", rounded(late)}};
}
json one_phase(const json& p) {
    auto &before = p["before"], &after = p["after"];
    double seconds = number(after, "/t") - number(before, "/t");
    json out{{"name", p["name"]},
             {"seconds", rounded(seconds)},
             {"leader", p["leader"]},
             {"starts_per_worker_s", p["starts_per_worker_s"]}};
    for (auto& [name, row] : after["controllers"].items()) {
        auto& c = out["controllers"][name] = controller(before, after, name, seconds);
        double reports = 0;
        for (auto& [process, workers] : after["workers"].items())
            reports += grown(before, after, "/workers/" + process + "/reports_to/" + name);
        c["reports_s"] = rounded(reports / seconds);
    }
    out["workers"] = workers(before, after, seconds);
    out["infrastructure"] = process(before, after, "infrastructure", seconds);
    out["state_s"] = rates(before, after, "/infrastructure/state", seconds);
    out["state_changes_s"] = rates(before, after, "/infrastructure/state_changes", seconds);
    out["state_bytes"] = after["infrastructure"]["state_bytes"];
    out["state_keys"] = after["infrastructure"]["state_keys"];
    out["cloud_s"] = rates(before, after, "/infrastructure/cloud", seconds);
    out["machines"] = number(after, "/infrastructure/machines");
    out["users"] = process(before, after, "users", seconds);
    for (auto* key : {"submissions", "accepted", "polls", "retries", "unanswered", "tasks_begun",
                      "tasks_done", "bytes_in", "bytes_out"})
        out["users_s"][key] = rounded(grown(before, after, std::string("/users/") + key) / seconds);
    out["lateness_s"] = {{"users", number(after, "/users/lateness_s")},
                         {"infrastructure", number(after, "/infrastructure/lateness_s")}};
    return out;
}
}  // namespace

json summary(const json& m) {
    json out{{"experiment", m.at("experiment")},
             {"seconds", rounded(m.at("seconds").get<double>())},
             {"most_memory_mb", rounded(m.at("most_memory_bytes").get<double>() / 1e6)},
             {"fill", m.at("fill")},
             {"faults", m.value("faults", json::array())},
             // Seconds since the start, stage, machines, tasks on them.
             {"course", m.value("course", json::array())},
             {"phases", json::array()}};
    for (auto& p : m.at("phases")) out["phases"].push_back(one_phase(p));
    auto& users = m.at("end").at("users");
    for (auto* key : {"broken", "started", "tasks_begun", "tasks_done", "submissions", "accepted", "done",
                      "cancelled", "refused", "given_up", "retries", "jobs_open"})
        out["end"][key] = users.at(key);
    out["latencies"] = users.at("latencies");
    for (auto& [name, row] : out["latencies"].items())
        for (auto& [key, value] : row.items())
            if (value.is_number_float()) value = rounded(value.get<double>());
    return out;
}

std::vector<std::string> complaints(const json& s) {
    std::vector<std::string> out;
    auto& end = s.at("end");
    for (auto& b : end.at("broken")) out.push_back("rule broken: " + b.get<std::string>());
    if (end.at("tasks_begun").get<double>() == 0) out.push_back("no task was started");
    if (end.at("tasks_done").get<double>() == 0) out.push_back("no task was completed");
    if (end.at("done").get<double>() == 0) out.push_back("no user was told that a job is done");
    if (end.at("refused").get<double>() > 0) out.push_back("jobs were refused as malformed or never to run");
    return out;
}

namespace {
template <class... Args>
void line(std::ostream& out, const char* format, Args... args) {
    char text[400];
    std::snprintf(text, sizeof text, format, args...);
    out << text << "\n";
}
}  // namespace

void print_table(std::ostream& out, const json& s) {
    auto& e = s.at("experiment");
    line(out, "%s: %.0f workers, %.3g tasks a worker, seed %.0f; filled %s after %.1f s; %.0f MB at most",
         e.at("name").get<std::string>().c_str(), number(e, "/workers"), number(e, "/tasks_per_worker"),
         number(e, "/seed"), s.at("fill").at("filled").get<bool>() ? "yes" : "NO", number(s, "/fill/seconds"),
         number(s, "/most_memory_mb"));
    for (auto& p : s.at("phases")) {
        auto& w = p.at("workers");
        line(out, "\nphase %s, %.0f s: %.0f workers, %.0f tasks on them, %.1f starts and %.1f ends a second",
             p.at("name").get<std::string>().c_str(), number(p, "/seconds"), number(w, "/workers"),
             number(w, "/tasks"), number(w, "/starts_s"), number(w, "/ends_s"));
        line(out, "  %-16s %8s %9s %8s %10s %10s %10s", "process", "cores", "peak MB", "sockets",
             "requests/s", "relayed/s", "repeated/s");
        for (auto& [name, c] : p.at("controllers").items()) {
            auto shown = name + (p.at("leader") == name ? " (leader)" : "");
            line(out, "  %-16s %8.3f %9.1f %8.0f %10.1f %10.1f %10.1f", shown.c_str(), number(c, "/cores"),
                 number(c, "/peak_mb"), number(c, "/sockets"), number(c, "/reports_s"),
                 number(c, "/reports_relayed_s"), number(c, "/reports_repeated_s"));
        }
        for (auto* name : {"infrastructure", "users"})
            line(out, "  %-16s %8.3f %9.1f %8.0f", name, number(p.at(name), "/cores"),
                 number(p.at(name), "/peak_mb"), number(p.at(name), "/sockets"));
        line(out, "  %-16s %8.3f", "hollow workers", number(w, "/cores"));
        line(out,
             "  a worker: %.0f bytes a second; reports %.1f/s of %.0f bytes, %.0f%% repeat the last; asked "
             "%.1f/s",
             number(w, "/bytes_a_worker_s"), number(w, "/reports_s"), number(w, "/report_bytes"),
             number(w, "/repeated_share") * 100, number(w, "/direct_s"));
        line(out,
             "  state service: %.1f requests, %.1f changes, %.0f bytes in, %.0f out a second; cloud %.2f "
             "requests/s",
             number(p, "/state_s/requests"), number(p, "/state_s/changes"), number(p, "/state_s/bytes_in"),
             number(p, "/state_s/bytes_out"), number(p, "/cloud_s/requests"));
        line(
            out,
            "  latest timer of the hollow side %.3f s; leases that ran out %.0f; reports without answer %.0f",
            std::max({number(w, "/lateness_s"), number(p, "/lateness_s/users"),
                      number(p, "/lateness_s/infrastructure")}),
            number(w, "/leases_expired"), number(w, "/unanswered"));
    }
    line(out, "\n  %-34s %8s %8s %8s %8s %8s", "phase/class/measure, seconds", "count", "p50", "p90", "p99",
         "max");
    for (auto& [name, row] : s.at("latencies").items())
        line(out, "  %-34s %8.0f %8.3f %8.3f %8.3f %8.3f", name.c_str(), number(row, "/count"),
             number(row, "/p50"), number(row, "/p90"), number(row, "/p99"), number(row, "/max"));
    auto& end = s.at("end");
    line(out,
         "\njobs: %.0f submitted, %.0f accepted, %.0f done, %.0f cancelled, %.0f given up; tasks: %.0f done; "
         "rules broken: %zu",
         number(end, "/submissions"), number(end, "/accepted"), number(end, "/done"),
         number(end, "/cancelled"), number(end, "/given_up"), number(end, "/tasks_done"),
         end.at("broken").size());
}

}  // namespace coralhitch::scale
