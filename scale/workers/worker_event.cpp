#include "scale/workers/worker_event.hpp"

namespace coralhitch::scale {
using nlohmann::json;

json event_to_json(const WorkerEvent& event) {
    return json::array({event.time, static_cast<int>(event.kind), event.machine, event.task.job,
                        event.task.index, event.attempt, static_cast<int>(event.cause), event.zone,
                        event.spot});
}

WorkerEvent event_from_json(const json& array) {
    WorkerEvent event;
    event.time = array[0].get<double>();
    event.kind = static_cast<WorkerEventKind>(array[1].get<int>());
    event.machine = array[2].get<std::string>();
    event.task = {array[3].get<std::string>(), array[4].get<std::uint32_t>()};
    event.attempt = array[5].get<std::uint64_t>();
    event.cause = static_cast<protocol::ExitCause>(array[6].get<int>());
    event.zone = array[7].get<std::string>();
    event.spot = array[8].get<bool>();
    return event;
}

}  // namespace coralhitch::scale
