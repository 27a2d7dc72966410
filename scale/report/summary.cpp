#include "scale/report/summary.hpp"

#include "scale/report/json_numbers.hpp"
#include "scale/report/phase_summary.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

json rounded_latencies(json latencies) {
    for (auto& [name, row] : latencies.items())
        for (auto& [key, value] : row.items())
            if (value.is_number_float()) value = rounded(value.get<double>());
    return latencies;
}

}  // namespace

json summarize(const json& measured) {
    json out{{"experiment", measured.at("experiment")},
             {"seconds", rounded(measured.at("seconds").get<double>())},
             {"most_memory_mb", rounded(measured.at("most_memory_bytes").get<double>() / 1e6)},
             {"fill", measured.at("fill")},
             {"faults", measured.value("faults", json::array())},
             // Rows of: seconds since the start, stage, number of machines, number of tasks on them.
             {"course", measured.value("course", json::array())},
             {"phases", json::array()}};
    for (auto& phase : measured.at("phases")) out["phases"].push_back(summarize_phase(phase));
    auto& load = measured.at("end").at("users");
    for (auto* key : {"broken", "started", "tasks_begun", "tasks_done", "submissions", "accepted", "done",
                      "cancelled", "refused", "given_up", "retries", "jobs_open"})
        out["end"][key] = load.at(key);
    out["latencies"] = rounded_latencies(load.at("latencies"));
    return out;
}

}  // namespace coralhitch::scale
