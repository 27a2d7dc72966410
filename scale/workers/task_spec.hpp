// How the tasks of a job are to run.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/model.hpp"

namespace coralhitch::scale {

// The load process knows it of each job; workers fetch it from there.
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
