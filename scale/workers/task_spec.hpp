// Describes how the tasks of a job run.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/model.hpp"

namespace coralhitch::scale {

// Kind, size, resource request, image and mean run time of a job's tasks. The load process has the spec of
// each job, and worker processes fetch it from there.
struct TaskSpec {
    protocol::JobKind kind = protocol::JobKind::array;
    std::uint32_t tasks = 0;
    protocol::Resources request;
    std::string image;
    double image_gb = 0, run_s = 0;
};

nlohmann::json spec_to_json(const TaskSpec& spec);
TaskSpec spec_from_json(const nlohmann::json& object);

}  // namespace coralhitch::scale
