// What hollow workers tell the checker: what happened on which machine, with the time on the machine's one
// clock that all processes share. As JSON arrays, to be short.
#pragma once
#include <nlohmann/json.hpp>

#include "protocol/model.hpp"

namespace coralhitch::scale {

enum class WorkerEventKind { machine, started, ready, ended, gone };

struct WorkerEvent {
    double t = 0;
    WorkerEventKind what = WorkerEventKind::started;
    std::string machine;
    protocol::TaskId task;
    std::uint64_t attempt = 0;
    protocol::ExitCause cause = protocol::ExitCause::none;
    std::string zone;  // of a machine that came up
    bool spot = false;
};
inline nlohmann::json to_json(const WorkerEvent& o) {
    return nlohmann::json::array({o.t, static_cast<int>(o.what), o.machine, o.task.job, o.task.index,
                                  o.attempt, static_cast<int>(o.cause), o.zone, o.spot});
}
inline WorkerEvent worker_event_from(const nlohmann::json& j) {
    return {j[0].get<double>(),        static_cast<WorkerEventKind>(j[1].get<int>()),
            j[2].get<std::string>(),   {j[3].get<std::string>(), j[4].get<std::uint32_t>()},
            j[5].get<std::uint64_t>(), static_cast<protocol::ExitCause>(j[6].get<int>()),
            j[7].get<std::string>(),   j[8].get<bool>()};
}
// How a task is to run, which its worker fetches from the users.
struct TaskSpec {
    protocol::JobKind kind = protocol::JobKind::array;
    std::uint32_t tasks = 0;
    protocol::Resources request;
    std::string image;
    double image_gb = 0, run_s = 0;
};
inline nlohmann::json to_json(const TaskSpec& s) {
    return {{"kind", static_cast<int>(s.kind)},
            {"tasks", s.tasks},
            {"cpus", s.request.cpus},
            {"memory_gb", s.request.memory_gb},
            {"image", s.image},
            {"image_gb", s.image_gb},
            {"run_s", s.run_s}};
}
inline TaskSpec task_spec_from(const nlohmann::json& j) {
    return {static_cast<protocol::JobKind>(j.at("kind").get<int>()),
            j.at("tasks").get<std::uint32_t>(),
            {j.at("cpus").get<double>(), 0, j.at("memory_gb").get<double>()},
            j.at("image").get<std::string>(),
            j.at("image_gb").get<double>(),
            j.at("run_s").get<double>()};
}

}  // namespace coralhitch::scale
