// What hollow workers report to the checker: what happened on which machine.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/model.hpp"

namespace coralhitch::scale {

enum class WorkerEventKind {
    machine_up,
    task_started,  // the command was carried out; the image is fetched
    image_ready,   // the task runs, or waits for the others of its gang
    task_ended,
    machine_gone,
};

struct WorkerEvent {
    double time = 0;  // on the machine's monotonic clock, which all processes share
    WorkerEventKind kind = WorkerEventKind::task_started;
    std::string machine;
    protocol::TaskId task;
    std::uint64_t attempt = 0;
    protocol::ExitCause cause = protocol::ExitCause::none;
    std::string zone;  // of a machine that came up
    bool spot = false;
};

// As an array, to be short: there are some for each task of a run.
nlohmann::json event_to_json(const WorkerEvent& event);
WorkerEvent event_from_json(const nlohmann::json& array);

}  // namespace coralhitch::scale
