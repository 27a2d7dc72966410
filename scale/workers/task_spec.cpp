#include "scale/workers/task_spec.hpp"

namespace coralhitch::scale {
using nlohmann::json;

json spec_to_json(const TaskSpec& spec) {
    return {{"kind", static_cast<int>(spec.kind)},
            {"tasks", spec.tasks},
            {"cpus", spec.request.cpus},
            {"memory_gb", spec.request.memory_gb},
            {"image", spec.image},
            {"image_gb", spec.image_gb},
            {"run_s", spec.run_s}};
}

TaskSpec spec_from_json(const json& object) {
    return {static_cast<protocol::JobKind>(object.at("kind").get<int>()),
            object.at("tasks").get<std::uint32_t>(),
            {object.at("cpus").get<double>(), 0, object.at("memory_gb").get<double>()},
            object.at("image").get<std::string>(),
            object.at("image_gb").get<double>(),
            object.at("run_s").get<double>()};
}

}  // namespace coralhitch::scale
