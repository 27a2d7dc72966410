#include "scale/protocol/user_messages.hpp"

#include "protocol/names.hpp"
#include "scale/protocol/json_object.hpp"

namespace coralhitch::scale::messages {

protocol::JobStatus parse_status(std::string_view body) {
    auto object = parse_object(body);
    protocol::JobStatus status;
    status.id = object.value("id", "");
    status.state = protocol::named(protocol::job_state_names, object.value("status", ""), "status");
    if (object.contains("done")) status.done = object["done"].get<std::uint64_t>();
    if (object.contains("running")) status.running = object["running"].get<std::uint64_t>();
    return status;
}

}  // namespace coralhitch::scale::messages
