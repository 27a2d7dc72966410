// The events that hollow workers report to the checker.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/model.hpp"

namespace coralhitch::scale {

// Kind of an event. The values are sent as numbers.
enum class WorkerEventKind {
    machine_up,
    task_started,  // the start command was executed, and the image is being fetched
    image_ready,   // the task runs, or waits for the other tasks of its gang
    task_ended,
    machine_gone,
};

// One event on one machine. Fields that do not apply to the kind have their default values.
struct WorkerEvent {
    double time = 0;  // seconds on the host's monotonic clock, which all processes share
    WorkerEventKind kind = WorkerEventKind::task_started;
    std::string machine;
    protocol::TaskId task;
    std::uint64_t attempt = 0;
    protocol::ExitCause cause = protocol::ExitCause::none;
    std::string zone;  // set for `machine_up`, as is `spot`
    bool spot = false;
};

// Converts an event to a JSON array, which is shorter than an object: a run has several events for each task.
nlohmann::json event_to_json(const WorkerEvent& event);
WorkerEvent event_from_json(const nlohmann::json& array);

}  // namespace coralhitch::scale
